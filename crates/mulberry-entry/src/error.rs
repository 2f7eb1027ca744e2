//! Errors of the entry process.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::error::ProtocolError;

/// An error that keeps an entry from starting.
#[derive(Debug, Error, Diagnostic)]
pub enum EntryError {
    /// The settings can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] mulberry_process::settings::SettingsError),
    /// The secrets can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secrets(#[from] ProtocolError),
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    #[diagnostic(
        code(mulberryshed::entry::listen),
        help("stop the process that uses the address, or choose another")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}
