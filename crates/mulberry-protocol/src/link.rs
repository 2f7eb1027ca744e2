//! Messages on the TCP links between entries and sides.
//!
//! A connection carries one exchange at a time, so that a slow stream never delays another. Every
//! message names its exchange, and an answer is whole only when its end message arrived.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::auth::MAC_BYTES;
use crate::auth::NONCE_BYTES;
use crate::bundle::BundleDelta;
use crate::digest::Digest;
use crate::error::ProtocolError;
use crate::heartbeat::Suspect;
use crate::name::ClientName;
use crate::name::EndpointName;
use crate::name::JobId;
use crate::name::ModelName;
use crate::name::ServiceName;
use crate::refusal::Refusal;
use crate::unit_enum;
use crate::value_type;

/// Largest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

unit_enum! {
    /// The class of a request.
    pub enum Urgency {
        /// A caller waits for the answer.
        Online,
        /// The answer is due much later.
        Batch,
    }
}

value_type! {
    /// Opens a connection: the dialer's nonce and proof over the acceptor's nonce.
    pub struct Hello {
        /// Nonce of the dialer.
        pub nonce: [u8; NONCE_BYTES],
        /// Proof that the dialer holds a secret.
        pub mac: [u8; MAC_BYTES],
    }
}

value_type! {
    /// A request for the endpoint.
    pub struct Dispatch {
        /// Identifier of this attempt; never used twice.
        pub attempt: u64,
        /// The service.
        pub service: ServiceName,
        /// The model, for engines.
        pub model: Option<ModelName>,
        /// The client account.
        pub client: ClientName,
        /// HTTP method.
        pub method: String,
        /// Path and query at the endpoint.
        pub path: String,
        /// Content type of the body.
        pub content_type: String,
        /// The body.
        pub body: Bytes,
        /// Whether a second run does no harm.
        pub idempotent: bool,
        /// Whether the answer is a stream.
        pub stream: bool,
        /// Milliseconds left until the first token is due.
        pub deadline_ms: u32,
        /// Fingerprint of the request, for finding poison.
        pub fingerprint: u64,
        /// Estimated tokens of the prompt.
        pub prompt_tokens: u32,
        /// Most tokens of the answer.
        pub answer_tokens: u32,
        /// Bundle number the entry acted on.
        pub bundle: u64,
        /// Whether the request is suspected of crashing endpoints and must run alone.
        pub alone: bool,
    }
}

value_type! {
    /// From an entry to a side.
    pub enum ToSide {
        /// Runs a request.
        Dispatch(Dispatch),
        /// Asks whether an attempt started, and bars it if it did not.
        Query {
            /// The attempt.
            attempt: u64,
        },
    }
}

value_type! {
    /// From a side to an entry.
    pub enum FromSide {
        /// The request was refused.
        Refused {
            /// The attempt.
            attempt: u64,
            /// Why.
            refusal: Refusal,
            /// Suspects, if an endpoint crashed.
            suspects: Vec<Suspect>,
        },
        /// The answer begins.
        Head {
            /// The attempt.
            attempt: u64,
            /// HTTP status.
            status: u16,
            /// Content type.
            content_type: String,
        },
        /// A part of the answer.
        Data {
            /// The attempt.
            attempt: u64,
            /// Bytes of the body.
            body: Bytes,
        },
        /// The answer is whole.
        End {
            /// The attempt.
            attempt: u64,
            /// Bytes of the whole body.
            bytes: u64,
        },
        /// Answer to a query: the attempt did not start and never will.
        Barred {
            /// The attempt.
            attempt: u64,
        },
        /// Answer to a query: the attempt started.
        Started {
            /// The attempt.
            attempt: u64,
        },
    }
}

value_type! {
    /// One batch item handed to a side.
    pub struct BatchItem {
        /// The job.
        pub job: JobId,
        /// Index of the item.
        pub index: u32,
        /// Owner number under which it is handed out.
        pub owner_number: u64,
        /// Shard of the job.
        pub shard: u32,
        /// The request.
        pub dispatch: Dispatch,
    }
}

value_type! {
    /// From a side to a job owner.
    pub enum ToOwner {
        /// Asks for items.
        Pull {
            /// The endpoint.
            endpoint: EndpointName,
            /// Its service.
            service: ServiceName,
            /// Models it holds.
            models: Vec<ModelName>,
            /// Most items wanted.
            room: u16,
        },
        /// Reports how an item ended.
        Done {
            /// The job.
            job: JobId,
            /// Index of the item.
            index: u32,
            /// HTTP status and body, or a refusal.
            result: Result<ItemAnswer, Refusal>,
            /// Suspects, if an endpoint crashed.
            suspects: Vec<Suspect>,
        },
        /// Asks for the content of a bundle.
        FetchBundle {
            /// Number of the bundle.
            number: u64,
            /// Digest of the content that the side holds, from which a delta may start.
            held: Option<Digest>,
        },
    }
}

value_type! {
    /// The answer to a batch item.
    pub struct ItemAnswer {
        /// HTTP status.
        pub status: u16,
        /// Body.
        pub body: Bytes,
    }
}

value_type! {
    /// From a job owner to a side.
    pub enum FromOwner {
        /// Items to run; empty when none wait.
        Items(
            /// The items.
            Vec<BatchItem>,
        ),
        /// Jobs whose items must stop.
        Stop {
            /// The jobs.
            jobs: Vec<JobId>,
        },
        /// Content of the bundle in force.
        Bundle {
            /// Its number.
            number: u64,
            /// Its digest.
            digest: Digest,
            /// Its text.
            text: String,
        },
        /// Delta to the content of the bundle in force.
        BundleDelta {
            /// Its number.
            number: u64,
            /// The delta.
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
