//! What processes tell each other about the streams that they have begun, so that each stream goes on
//! only at the software version that began it.

use std::net::SocketAddr;

use crate::auth::SecretKeyring;
use crate::digest::stable_hash;
use crate::error::ProtocolError;
use crate::name::ServiceName;
use crate::name::SoftwareVersion;
use crate::value_type;

value_type! {
    #[derive(Eq)]
    /// What began a stream. It may go on only at endpoints of the same service and software version.
    pub struct StreamOrigin {
        /// Service of the endpoint.
        pub service: ServiceName,
        /// Version of its software.
        pub software: SoftwareVersion,
    }
}

value_type! {
    /// What a process knows of the origin of a stream.
    pub enum OriginAnswer {
        /// It has not heard of the stream.
        Unknown,
        /// It began the stream, most likely at this origin, but that is not certain yet.
        Pending(StreamOrigin),
        /// The origin.
        Known(StreamOrigin),
    }
}

value_type! {
    /// A message between processes about one stream. The key is that of [`stream_key`].
    pub enum StreamMessage {
        /// The stream began at this origin.
        Begun {
            /// Key of the stream.
            stream: u64,
            /// What began it.
            origin: StreamOrigin,
        },
        /// Asks for the origin of a stream.
        Ask {
            /// Key of the stream.
            stream: u64,
            /// Number of the question, which the answer repeats.
            question: u64,
            /// Address for the answer.
            reply_to: SocketAddr,
        },
        /// Answers a question.
        Answer {
            /// Number of the question.
            question: u64,
            /// What the sender knows.
            answer: OriginAnswer,
        },
    }
}

/// Returns the key of a stream: a hash of the ID of the request that brought its first event.
pub fn stream_key(request_id: &[u8]) -> u64 {
    stable_hash(request_id, 0)
}

/// First bytes of the payload. A process that knows only heartbeats reads them as the length of a name
/// that is longer than any datagram, and refuses the datagram.
const STREAM_MESSAGE_TAG: [u8; 3] = [0xff, 0xff, 0x7f];

/// Encodes and signs a message as a datagram.
pub fn encode_stream_message(
    message: &StreamMessage,
    secrets: &SecretKeyring,
) -> Result<Vec<u8>, ProtocolError> {
    let mut payload = STREAM_MESSAGE_TAG.to_vec();
    payload.extend(postcard::to_stdvec(message)?);
    Ok(secrets.sign_datagram(&payload))
}

/// Decodes the verified payload of a datagram. Returns `None` if it is of another kind.
pub fn decode_stream_message(payload: &[u8]) -> Result<Option<StreamMessage>, ProtocolError> {
    match payload.strip_prefix(&STREAM_MESSAGE_TAG) {
        Some(message) => Ok(Some(postcard::from_bytes(message)?)),
        None => Ok(None),
    }
}
