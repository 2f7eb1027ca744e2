//! Errors of a trial deployment and its callers.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_ctl::CtlError;
use mulberry_entry::EntryError;
use mulberry_side::SideError;
use mulberry_standin::server::StandinError;

/// An error from starting a deployment or from a call to it.
#[derive(Debug, Error, Diagnostic)]
pub enum TrialError {
    /// A stand-in can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Standin(#[from] StandinError),
    /// An entry can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// A side can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Side(#[from] SideError),
    /// An operator's command failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] CtlError),
    /// The thread of an endpoint's stand-in ended before the stand-in was running.
    #[error("an endpoint's stand-in did not start: its thread ended")]
    #[diagnostic(code(mulberryshed::trial::thread))]
    Thread,
    /// Some entry was not ready, or missed a side, when the timeout expired.
    #[error("the deployment was not ready after {waited_ms} ms")]
    #[diagnostic(
        code(mulberryshed::trial::not_ready),
        help("run again with --log debug to see what is missing")
    )]
    NotReady {
        /// Time waited, in milliseconds.
        waited_ms: u64,
    },
    /// A request to an entry failed, or its response was not the expected one.
    #[error("{call} failed: {detail}")]
    #[diagnostic(code(mulberryshed::trial::call))]
    Call {
        /// Name of the call.
        call: &'static str,
        /// Cause of the failure.
        detail: String,
    },
}
