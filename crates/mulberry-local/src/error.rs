//! Errors of `mulberryshed-local`.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_process::settings::SettingsError;
use mulberry_trial::error::TrialError;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum LocalError {
    /// A setting is missing or invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The deployment did not start, or a call to it failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Trial(#[from] TrialError),
    /// The file with the job's input can't be read.
    #[error("can't read {path}: {source}")]
    #[diagnostic(code(mulberryshed::local::input))]
    Input {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The job did not end before the timeout.
    #[error("the job did not end within {waited_s} s")]
    #[diagnostic(code(mulberryshed::local::job_late))]
    JobLate {
        /// Time waited, in seconds.
        waited_s: u64,
    },
    /// The checks at the end of the demonstration found a broken promise.
    #[error("{count} promise(s) broken; see the table of promises")]
    #[diagnostic(code(mulberryshed::local::broken))]
    Broken {
        /// Number of broken promises.
        count: usize,
    },
}
