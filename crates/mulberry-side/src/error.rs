//! Errors that occur while a side process starts.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::error::ProtocolError;

/// An error that keeps a side from starting.
#[derive(Debug, Error, Diagnostic)]
pub enum SideError {
    /// A setting is missing or invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] mulberry_process::settings::SettingsError),
    /// A secret of the deployment is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secrets(#[from] ProtocolError),
    /// A socket can't be bound to an address.
    #[error("can't listen on {address}: {source}")]
    #[diagnostic(
        code(mulberryshed::side::listen),
        help("another side may already run on this VM; only one may give orders to its endpoint")
    )]
    Listen {
        /// Address that was given in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
