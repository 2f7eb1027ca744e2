//! Questions between entries whether a request of a client account is within the account's rate.

use std::net::SocketAddr;

use crate::auth::SecretKeyring;
use crate::error::ProtocolError;
use crate::value_type;

value_type! {
    /// Whether a request is within its account's rate.
    pub enum RateDecision {
        /// It is, and was counted.
        Granted,
        /// It is not.
        Refused {
            /// Time after which it may be sent again, in milliseconds.
            wait_ms: u32,
        },
    }
}

value_type! {
    /// A message between an entry that has a request and the granting entry of its account.
    pub enum RateMessage {
        /// Asks about one request.
        Ask {
            /// Number of the question, which the answer repeats.
            question: u64,
            /// Address for the answer.
            reply_to: SocketAddr,
            /// The account, as returned by [`crate::account::account_id`].
            account: u32,
        },
        /// Answers a question.
        Answer {
            /// Number of the question.
            question: u64,
            /// Account of the question.
            account: u32,
            /// What was decided.
            decision: RateDecision,
        },
    }
}

/// First bytes of the payload. A process that knows only heartbeats reads them as the length of a name
/// that is longer than any datagram, and refuses the datagram.
const RATE_MESSAGE_TAG: [u8; 3] = [0xff, 0xff, 0x7d];

/// Encodes and signs a message as a datagram.
pub fn encode_rate_message(
    message: &RateMessage,
    secrets: &SecretKeyring,
) -> Result<Vec<u8>, ProtocolError> {
    let mut payload = RATE_MESSAGE_TAG.to_vec();
    payload.extend(postcard::to_stdvec(message)?);
    Ok(secrets.sign_datagram(&payload))
}

/// Decodes the verified payload of a datagram. Returns `None` if it is of another kind.
pub fn decode_rate_message(payload: &[u8]) -> Result<Option<RateMessage>, ProtocolError> {
    match payload.strip_prefix(&RATE_MESSAGE_TAG) {
        Some(message) => Ok(Some(postcard::from_bytes(message)?)),
        None => Ok(None),
    }
}
