//! Errors of connections between processes.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::error::ProtocolError;

/// An error while connecting, sending or receiving on a link.
#[derive(Debug, Error, Diagnostic)]
pub enum LinkError {
    /// No connection was made. No message was sent, so the caller can safely try another peer.
    #[error("can't connect: {source}")]
    #[diagnostic(code(mulberryshed::link::connect))]
    Connect {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer did not prove that it holds a secret of the deployment, or a message can't be
    /// encoded or decoded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Protocol(#[from] ProtocolError),
    /// Sending or receiving failed, or the connection ended within a frame. The peer may have
    /// received the message.
    #[error("the connection failed: {source}")]
    #[diagnostic(code(mulberryshed::link::broken))]
    Broken {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer closed the connection where a message was expected.
    #[error("the peer closed the connection")]
    #[diagnostic(code(mulberryshed::link::closed))]
    Closed,
    /// The handshake or a response of the peer took too long.
    #[error("the peer did not answer in time")]
    #[diagnostic(code(mulberryshed::link::timeout))]
    TimedOut,
}
