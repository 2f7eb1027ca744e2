//! Errors of the local command.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_process::settings::SettingsError;
use mulberry_trial::error::TrialError;

/// An error of a command.
#[derive(Debug, Error, Diagnostic)]
pub enum LocalError {
    /// The settings can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The deployment or a call failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Trial(#[from] TrialError),
    /// The input can't be read.
    #[error("can't read {path}: {source}")]
    #[diagnostic(code(mulberryshed::local::input))]
    Input {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The job did not end in time.
    #[error("the job had not ended after {waited_s} s")]
    #[diagnostic(code(mulberryshed::local::job_late))]
    JobLate {
        /// How long it was waited for.
        waited_s: u64,
    },
    /// A promise was broken.
    #[error("{count} promise(s) were broken; the table says which")]
    #[diagnostic(code(mulberryshed::local::broken))]
    Broken {
        /// How many.
        count: usize,
    },
}
