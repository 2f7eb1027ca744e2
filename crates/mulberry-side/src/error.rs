//! Errors of the side process.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::error::ProtocolError;

/// An error that keeps a side from starting.
#[derive(Debug, Error, Diagnostic)]
pub enum SideError {
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
        code(mulberryshed::side::listen),
        help("another side may run on this VM; only one may give orders to its endpoint")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}
