//! Errors that prevent the entry process from starting.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::error::ProtocolError;

/// An error that prevents an entry from starting.
#[derive(Debug, Error, Diagnostic)]
pub enum EntryError {
    /// A setting is missing or invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] mulberry_process::settings::SettingsError),
    /// The shared secrets are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secrets(#[from] ProtocolError),
    /// A socket can't listen on its address.
    #[error("can't listen on {address}: {source}")]
    #[diagnostic(
        code(mulberryshed::entry::listen),
        help("stop the process that uses the address, or choose another")
    )]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
