//! Errors of the operator's commands.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_platform::error::PlatformError;
use mulberry_process::settings::SettingsError;
use mulberry_protocol::bundle::BundleErrors;
use mulberry_protocol::bundle::Right;

/// Exit code of a command that was refused.
const EXIT_REFUSED: u8 = 1;

/// Exit code of wrong settings or arguments.
const EXIT_USAGE: u8 = 2;

/// Exit code when the platform gave no answer.
const EXIT_PLATFORM: u8 = 3;

/// An error of a command.
#[derive(Debug, Error, Diagnostic)]
pub enum CtlError {
    /// The settings can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The bundle has mistakes.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Bundle(#[from] BundleErrors),
    /// The platform failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Platform(#[from] PlatformError),
    /// A file can't be read.
    #[error("can't read {path}: {source}")]
    #[diagnostic(code(mulberryshed::ctl::file))]
    File {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// Nothing is known under the name.
    #[error("there is no {kind} `{name}`")]
    #[diagnostic(
        code(mulberryshed::ctl::not_found),
        help("`mulberryshedctl bundle history` and `job list` show what there is")
    )]
    NotFound {
        /// The kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The operator lacks a right, or the key is wrong.
    #[error("`{operator}` may not {right:?}")]
    #[diagnostic(
        code(mulberryshed::ctl::forbidden),
        help("the operators and their rights stand in the bundle in force; check --operator-key")
    )]
    Forbidden {
        /// The operator.
        operator: String,
        /// The right.
        right: Right,
    },
    /// The author wanted to sign off their own bundle.
    #[error("`{operator}` submitted this bundle and may not sign it off")]
    #[diagnostic(
        code(mulberryshed::ctl::own_bundle),
        help("ask another operator with the right `sign-off`")
    )]
    OwnBundle {
        /// The operator.
        operator: String,
    },
    /// The bundle was not signed off.
    #[error("the bundle {digest} is not signed off")]
    #[diagnostic(
        code(mulberryshed::ctl::not_signed_off),
        help("run `mulberryshedctl bundle sign-off {digest}` as another operator first")
    )]
    NotSignedOff {
        /// Digest of the bundle.
        digest: String,
    },
    /// Another operator was faster.
    #[error("`{winner}` rolled {digest} as number {number} at the same time")]
    #[diagnostic(
        code(mulberryshed::ctl::lost_race),
        help("look at `mulberryshedctl bundle status`, then roll again if it is still wanted")
    )]
    LostRace {
        /// The other operator.
        winner: String,
        /// Digest of the bundle that the other operator rolled.
        digest: String,
        /// Its number.
        number: u64,
    },
    /// Another object is stored under the same digest.
    #[error("the store holds another content under digest {digest}")]
    #[diagnostic(code(mulberryshed::ctl::altered))]
    Altered {
        /// The digest.
        digest: String,
    },
    /// The job changed too often.
    #[error("the job `{job}` changes too often")]
    #[diagnostic(code(mulberryshed::ctl::busy_job), help("try again"))]
    BusyJob {
        /// The job.
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
