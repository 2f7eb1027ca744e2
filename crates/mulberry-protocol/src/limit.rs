//! Limits that endpoints name in their responses, as processes tell each other of them, and permits to
//! send a request to an endpoint within its limit.

use std::net::SocketAddr;

use crate::auth::SecretKeyring;
use crate::closed_set;
use crate::error::ProtocolError;
use crate::value_type;

value_type! {
    /// The limit that an endpoint named in a response, as one process knows it.
    pub struct SeenLimit {
        /// Key of the endpoint, as returned by [`crate::endpoint::load_key`].
        pub endpoint: u64,
        /// Requests a second that it takes from all processes together; none if it named no limit.
        pub per_s: Option<f64>,
        /// Time since the response, in milliseconds.
        pub seen_ms_ago: u32,
    }
}

closed_set! {
    /// What a permit is for.
    pub enum PermitClass {
        /// An online request, whose caller waits.
        Online,
        /// An item of a batch job.
        Batch,
    }
}

value_type! {
    /// A message between a process that wants to send a request to an endpoint with a limit and the
    /// process that gives the permits.
    pub enum LimitMessage {
        /// Asks for a permit at one of the endpoints.
        Ask {
            /// Number of the question, which the answer repeats.
            question: u64,
            /// Address for the answer.
            reply_to: SocketAddr,
            /// What the permit is for.
            class: PermitClass,
            /// The endpoints, the preferred one first, with the limits that the sender knows.
            endpoints: Vec<SeenLimit>,
        },
        /// Answers a question.
        Answer {
            /// Number of the question.
            question: u64,
            /// What was decided.
            decision: PermitDecision,
        },
    }
}

value_type! {
    /// Whether a request may be sent to one of the endpoints that were asked for.
    pub struct PermitDecision {
        /// Position of the endpoint that may get it; none if none may.
        pub granted: Option<u8>,
        /// Time until each endpoint may get one, in the order of the question, in milliseconds.
        pub waits_ms: Vec<u32>,
    }
}

/// First bytes of the payload. A process that knows only heartbeats reads them as the length of a name
/// that is longer than any datagram, and refuses the datagram.
const LIMIT_MESSAGE_TAG: [u8; 3] = [0xff, 0xff, 0x7e];

/// Encodes and signs a message as a datagram.
pub fn encode_limit_message(
    message: &LimitMessage,
    secrets: &SecretKeyring,
) -> Result<Vec<u8>, ProtocolError> {
    let mut payload = LIMIT_MESSAGE_TAG.to_vec();
    payload.extend(postcard::to_stdvec(message)?);
    Ok(secrets.sign_datagram(&payload))
}

/// Decodes the verified payload of a datagram. Returns `None` if it is of another kind.
pub fn decode_limit_message(payload: &[u8]) -> Result<Option<LimitMessage>, ProtocolError> {
    match payload.strip_prefix(&LIMIT_MESSAGE_TAG) {
        Some(message) => Ok(Some(postcard::from_bytes(message)?)),
        None => Ok(None),
    }
}
