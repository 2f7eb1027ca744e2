//! Errors of the operators' commands, with their exit codes.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_platform::error::PlatformError;
use mulberry_process::settings::SettingsError;
use mulberry_protocol::bundle::BundleErrors;
use mulberry_protocol::bundle::Right;

/// Exit code of a command that was refused or found nothing to work on.
const EXIT_REFUSED: u8 = 1;

/// Exit code for invalid settings; the same as for arguments that the parser rejects.
const EXIT_USAGE: u8 = 2;

/// Exit code when a call to the platform failed.
const EXIT_PLATFORM: u8 = 3;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CtlError {
    /// A setting is missing or invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The bundle has errors, reported together.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Bundle(#[from] BundleErrors),
    /// A call to the platform failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Platform(#[from] PlatformError),
    /// A bundle file can't be read, or standard output can't be written.
    #[error("can't access {path}: {source}")]
    #[diagnostic(code(mulberryshed::ctl::file))]
    File {
        /// Path of the file, or `standard output`.
        path: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The store has no object under the name.
    #[error("{kind} `{name}` does not exist")]
    #[diagnostic(
        code(mulberryshed::ctl::not_found),
        help(
            "list the rolled bundles with `mulberryshedctl bundle history`, the jobs with \
             `mulberryshedctl job list`"
        )
    )]
    NotFound {
        /// Kind of the object, such as `bundle` or `job`.
        kind: &'static str,
        /// Digest, identifier or number that was looked up.
        name: String,
    },
    /// The operator is unknown, has another key, or lacks the right.
    #[error("operator `{operator}` is unknown, has another key, or lacks the right {right:?}")]
    #[diagnostic(
        code(mulberryshed::ctl::forbidden),
        help("check --operator, --operator-key and the rights in the bundle in force")
    )]
    Forbidden {
        /// Name of the operator.
        operator: String,
        /// Right that the command needs.
        right: Right,
    },
    /// The operator who signs off is the author of the bundle.
    #[error("operator `{operator}` submitted this bundle and can't sign it off")]
    #[diagnostic(
        code(mulberryshed::ctl::own_bundle),
        help("ask another operator who has the right `sign-off`")
    )]
    OwnBundle {
        /// Name of the operator.
        operator: String,
    },
    /// No operator other than the author has signed off the bundle.
    #[error("bundle {digest} is not signed off")]
    #[diagnostic(
        code(mulberryshed::ctl::not_signed_off),
        help("run `mulberryshedctl bundle sign-off {digest}` as another operator first")
    )]
    NotSignedOff {
        /// Digest of the bundle.
        digest: String,
    },
    /// Another operator rolled a bundle at the same time and won.
    #[error("`{winner}` rolled {digest} as number {number} at the same time")]
    #[diagnostic(
        code(mulberryshed::ctl::lost_race),
        help(
            "check `mulberryshedctl bundle status`, then roll again if the bundle is still wanted"
        )
    )]
    LostRace {
        /// Name of the other operator.
        winner: String,
        /// Digest of the bundle that the other operator rolled.
        digest: String,
        /// Number of the other operator's roll.
        number: u64,
    },
    /// The content stored under a digest does not match it.
    #[error("the content stored under digest {digest} does not match the digest")]
    #[diagnostic(code(mulberryshed::ctl::altered))]
    Altered {
        /// Digest under which the content is stored.
        digest: String,
    },
    /// Every attempt to update the job met a concurrent change.
    #[error("job `{job}` was changed by others during every attempt to update it")]
    #[diagnostic(code(mulberryshed::ctl::busy_job), help("try again"))]
    BusyJob {
        /// Identifier of the job.
        job: String,
    },
}

impl CtlError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Settings(_) => EXIT_USAGE,
            CtlError::Platform(_) => EXIT_PLATFORM,
            _ => EXIT_REFUSED,
        }
    }
}
