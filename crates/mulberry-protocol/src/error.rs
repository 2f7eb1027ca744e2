//! Errors in decoding and authenticating messages, and in parsing secrets.

use miette::Diagnostic;
use thiserror::Error;

/// An error in a message between processes, or in the secrets that authenticate messages.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum ProtocolError {
    /// A datagram is shorter than a signature.
    #[error("datagram of {bytes} bytes is too short for a signature")]
    #[diagnostic(code(mulberryshed::protocol::datagram_too_short))]
    DatagramTooShort {
        /// Size of the datagram, in bytes.
        bytes: usize,
    },
    /// The signature was made with none of the deployment's secrets.
    #[error("signature does not match")]
    #[diagnostic(
        code(mulberryshed::protocol::bad_signature),
        help("check that both processes have the same --secrets")
    )]
    BadSignature,
    /// A secret is shorter than the minimum.
    #[error("each secret needs at least {min} bytes")]
    #[diagnostic(
        code(mulberryshed::protocol::secret_too_short),
        help("separate several secrets by commas")
    )]
    SecretTooShort {
        /// Shortest accepted length, in bytes.
        min: usize,
    },
    /// A message can't be decoded.
    #[error("message can't be decoded: {source}")]
    #[diagnostic(code(mulberryshed::protocol::decode))]
    Decode {
        /// Error of the codec.
        #[from]
        source: postcard::Error,
    },
    /// A message arrived that the handshake does not allow at this point.
    #[error("unexpected message in a handshake")]
    #[diagnostic(code(mulberryshed::protocol::handshake))]
    Handshake,
}
