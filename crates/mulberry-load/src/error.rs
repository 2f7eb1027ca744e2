//! Errors of the experiments and of their command line.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_trial::error::TrialError;

/// An error that ends an experiment, or the report that a bound was exceeded.
#[derive(Debug, Error, Diagnostic)]
pub enum LoadError {
    /// The deployment could not be started or changed, or a call to it failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Trial(#[from] TrialError),
    /// An output file cannot be written.
    #[error("cannot write `{path}`: {detail}")]
    #[diagnostic(code(mulberryshed::load::write))]
    Write {
        /// Path of the file.
        path: String,
        /// Text of the underlying error.
        detail: String,
    },
    /// A socket cannot be opened or configured.
    #[error("socket error: {source}")]
    #[diagnostic(code(mulberryshed::load::socket))]
    Socket {
        /// The underlying I/O error.
        #[from]
        source: std::io::Error,
    },
    /// At least one result is outside its bound.
    #[error("{count} bound(s) not met; see the printed results")]
    #[diagnostic(code(mulberryshed::load::bound))]
    Bound {
        /// Number of results outside their bounds.
        count: usize,
    },
    /// The value of `--break` is not the name of an injectable fault.
    #[error("unknown fault `{name}` for `--break`")]
    #[diagnostic(code(mulberryshed::load::no_promise), help("use one of: {known}"))]
    UnknownFault {
        /// The value given.
        name: String,
        /// All valid names, separated by commas.
        known: String,
    },
}
