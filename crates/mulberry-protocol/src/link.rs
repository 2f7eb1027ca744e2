//! Messages on the TCP links between entries and sides.
//!
//! A connection carries one request at a time, so that a slow stream never delays another one.
//! Messages name the attempt or the item that they belong to, and a response is complete only once
//! its end message has arrived.

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::auth::MAC_BYTES;
use crate::auth::NONCE_BYTES;
use crate::bundle::BundleDelta;
use crate::closed_set;
use crate::digest::Digest;
use crate::error::ProtocolError;
use crate::heartbeat::Suspect;
use crate::name::ClientName;
use crate::name::EndpointName;
use crate::name::JobId;
use crate::name::ModelName;
use crate::name::ServiceName;
use crate::refusal::Refusal;
use crate::value_type;

/// Largest frame accepted, in bytes: a request body of the usual limit, 4 MB, with what is sent around it.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024 + 64 * 1024;

/// Interval at which a job owner sends a sign of life over its link to a side, in milliseconds. The side sends one
/// back for each.
pub const OWNER_LINK_ALIVE_INTERVAL_MS: u64 = 3_000;

/// Time after which a link between a job owner and a side counts as broken if nothing comes over it, in milliseconds.
pub const OWNER_LINK_SILENCE_LIMIT_MS: u64 = 10_000;

closed_set! {
    /// The urgency of a request.
    pub enum Urgency {
        /// A caller waits for the response.
        Online,
        /// No caller waits; the response is due much later.
        Batch,
    }
}

value_type! {
    /// First message of the process that opens a connection. It answers the nonce of the process
    /// that accepts it.
    pub struct Hello {
        /// Nonce of the sender.
        pub nonce: [u8; NONCE_BYTES],
        /// Code over both nonces, which proves that the sender holds a secret of the deployment.
        pub mac: [u8; MAC_BYTES],
    }
}

value_type! {
    /// A request to be run on the endpoint.
    pub struct Dispatch {
        /// Identifier of this attempt, never used twice.
        pub attempt: u64,
        /// Service that the request is for.
        pub service: ServiceName,
        /// Model that the request names; `None` for plain services.
        pub model: Option<ModelName>,
        /// Client account of the caller.
        pub client: ClientName,
        /// HTTP method of the request.
        pub method: String,
        /// Path and query of the request at the endpoint.
        pub path: String,
        /// Content type of the body.
        pub content_type: String,
        /// Body of the request.
        pub body: Bytes,
        /// Whether the request may be run more than once.
        pub idempotent: bool,
        /// Whether the response is streamed.
        pub stream: bool,
        /// Time left until the first token is due, in milliseconds.
        pub deadline_ms: u32,
        /// Hash of the method, path and body, by which requests that crash endpoints are
        /// recognized.
        pub fingerprint: u64,
        /// Estimated number of tokens of the prompt.
        pub prompt_tokens: u32,
        /// Most tokens that the response may have.
        pub answer_tokens: u32,
        /// Number of the bundle that was in force at the entry when it sent the request.
        pub bundle: u64,
        /// Whether the request is suspected of crashing endpoints and must run alone.
        pub alone: bool,
    }
}

value_type! {
    /// Messages from an entry to a side.
    pub enum ToSide {
        /// Asks the side to run a request.
        Dispatch(Dispatch),
        /// Asks whether an attempt started. If it did not, the side refuses it from then on.
        Query {
            /// Identifier of the attempt.
            attempt: u64,
        },
    }
}

value_type! {
    /// Messages from a side to an entry.
    pub enum FromSide {
        /// The request was refused.
        Refused {
            /// Identifier of the attempt.
            attempt: u64,
            /// Reason, and whether the request ran.
            refusal: Refusal,
            /// Requests suspected of crashing the endpoint; empty if it did not crash.
            suspects: Vec<Suspect>,
        },
        /// Start of a response.
        Head {
            /// Identifier of the attempt.
            attempt: u64,
            /// HTTP status of the response.
            status: u16,
            /// Content type of the response.
            content_type: String,
        },
        /// Next part of the response's body.
        Data {
            /// Identifier of the attempt.
            attempt: u64,
            /// Content of the part.
            body: Bytes,
        },
        /// End of a complete response.
        End {
            /// Identifier of the attempt.
            attempt: u64,
            /// Length of the whole body, in bytes.
            bytes: u64,
        },
        /// Reply to a query: the attempt did not start and never will.
        Barred {
            /// Identifier of the attempt.
            attempt: u64,
        },
        /// Reply to a query: the attempt started.
        Started {
            /// Identifier of the attempt.
            attempt: u64,
        },
    }
}

value_type! {
    /// A batch item handed to a side.
    pub struct BatchItem {
        /// Job that the item belongs to.
        pub job: JobId,
        /// Index of the item in the job's input, from zero.
        pub index: u32,
        /// Owner number of the shard under which the item is handed out. Sides refuse numbers lower
        /// than the highest that they have seen.
        pub owner_number: u64,
        /// Shard that the job belongs to.
        pub shard: u32,
        /// Request to run.
        pub dispatch: Dispatch,
    }
}

value_type! {
    /// Messages from a side to the entry that owns a job.
    pub enum ToOwner {
        /// Asks for batch items.
        Pull {
            /// Endpoint on which the items are to run.
            endpoint: EndpointName,
            /// Service of the endpoint.
            service: ServiceName,
            /// Models that the endpoint has loaded.
            models: Vec<ModelName>,
            /// Most items wanted.
            room: u16,
        },
        /// Reports how an item ended.
        Done {
            /// Job that the item belongs to.
            job: JobId,
            /// Index of the item in the job's input, from zero.
            index: u32,
            /// The response, or the reason why there is none.
            result: Result<ItemResponse, Refusal>,
            /// Requests suspected of crashing the endpoint; empty if it did not crash.
            suspects: Vec<Suspect>,
        },
        /// Asks for the content of a bundle.
        FetchBundle {
            /// Number of the bundle.
            number: u64,
            /// Digest of the content that the side already has, to which a delta may apply.
            held: Option<Digest>,
        },
    }
}

value_type! {
    /// The response to a batch item.
    pub struct ItemResponse {
        /// HTTP status of the response.
        pub status: u16,
        /// Body of the response.
        pub body: Bytes,
    }
}

value_type! {
    /// Messages from the entry that owns a job to a side.
    pub enum FromOwner {
        /// Items to run; empty if none wait.
        Items(
            /// The items.
            Vec<BatchItem>,
        ),
        /// Asks the side to stop the items of some jobs.
        Stop {
            /// Jobs whose items must stop.
            jobs: Vec<JobId>,
        },
        /// Content of the bundle in force.
        Bundle {
            /// Number of the bundle.
            number: u64,
            /// Digest of the text.
            digest: Digest,
            /// TOML text of the bundle.
            text: String,
        },
        /// Content of the bundle in force, as a delta from the content that the side has.
        BundleDelta {
            /// Number of the bundle.
            number: u64,
            /// Delta from the side's content.
            delta: BundleDelta,
        },
        /// The owner has no such bundle.
        NoBundle,
    }
}

/// Encodes a link message.
pub fn encode_message<T: Serialize>(message: &T) -> Result<Bytes, ProtocolError> {
    Ok(Bytes::from(postcard::to_stdvec(message)?))
}

/// Decodes a link message.
pub fn decode_message<T: DeserializeOwned>(frame: &[u8]) -> Result<T, ProtocolError> {
    Ok(postcard::from_bytes(frame)?)
}

/// Deserializes the last field of a message that earlier builds send without it: `None` where the message ends before
/// the field. Earlier builds pass over the field, since they read nothing behind the message that they know.
pub fn none_at_end<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    // A frame is complete once it is decoded, so that only its end can be missing here.
    Ok(Option::deserialize(deserializer).unwrap_or(None))
}
