//! Heartbeats between entries and sides: one signed datagram each way.

use std::net::SocketAddr;

use crate::auth::SecretKeyring;
use crate::closed_set;
use crate::error::ProtocolError;
use crate::name::EndpointName;
use crate::name::EntryName;
use crate::name::ModelName;
use crate::name::ServiceName;
use crate::name::ZoneName;
use crate::value_type;

/// Most suspects carried by one heartbeat.
pub const MAX_SUSPECTS_PER_HEARTBEAT: usize = 8;

/// Largest datagram accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

value_type! {
    /// A request that was running when an endpoint crashed.
    pub struct Suspect {
        /// Fingerprint of the request.
        pub fingerprint: u64,
        /// Endpoints that crashed while it ran.
        pub crashes: u8,
        /// Whether it had just begun at a crash, so that it is the likeliest cause.
        pub recent: bool,
        /// Whether the request ran alone at the last crash, so that its guilt is certain.
        #[serde(rename = "convicted")]
        pub confirmed: bool,
    }
}

closed_set! {
    /// Whether a process takes new work.
    pub enum Presence {
        /// The process takes work.
        Serving,
        /// The process is starting.
        Starting,
        /// The process finishes what it has.
        Leaving,
    }
}

value_type! {
    /// Sent by an entry to each side of its subset.
    pub struct EntryHeartbeat {
        /// The sender.
        pub entry: EntryName,
        /// Rises with each beat of one process.
        pub sequence: u64,
        /// Address for pulls and bundle content.
        pub owner_link: SocketAddr,
        /// Number of the bundle in force, or zero.
        pub bundle: u64,
        /// Batch items that wait for this side's service.
        pub backlog: u32,
        /// Whether the entry takes new work.
        pub presence: Presence,
        /// Requests suspected of crashing endpoints.
        pub suspects: Vec<Suspect>,
    }
}

value_type! {
    /// What a side reports of its endpoint.
    pub struct SideLoad {
        /// Online requests admitted or queued.
        pub online: u16,
        /// Concurrency limit.
        pub limit: u16,
        /// Batch items running.
        pub batch: u16,
        /// Expected wait of a new online request, in milliseconds.
        pub wait_ms: u16,
    }
}

value_type! {
    /// Sent by a side in answer to an [`EntryHeartbeat`], and at once when its presence changes.
    pub struct SideHeartbeat {
        /// The endpoint the side stands beside.
        pub endpoint: EndpointName,
        /// Rises with each beat of one process.
        pub sequence: u64,
        /// Random number of the process.
        pub incarnation: u64,
        /// Where the side runs.
        pub zone: ZoneName,
        /// What it serves.
        pub service: ServiceName,
        /// Models that the engine holds; empty for a plain service.
        pub models: Vec<ModelName>,
        /// Load of the endpoint.
        pub load: SideLoad,
        /// Highest bundle number known to the side.
        pub bundle: u64,
        /// Highest bundle number that the endpoint has carried out.
        pub bundle_done: u64,
        /// Whether the side takes new work.
        pub presence: Presence,
        /// Requests suspected of crashing endpoints.
        pub suspects: Vec<Suspect>,
    }
}

value_type! {
    /// A heartbeat of either kind.
    pub enum Heartbeat {
        /// From an entry.
        Entry(EntryHeartbeat),
        /// From a side.
        Side(SideHeartbeat),
    }
}

/// Encodes and signs a heartbeat.
pub fn encode_heartbeat(
    beat: &Heartbeat,
    secrets: &SecretKeyring,
) -> Result<Vec<u8>, ProtocolError> {
    let payload = postcard::to_stdvec(beat)?;
    Ok(secrets.seal(&payload))
}

/// Checks and decodes a heartbeat.
pub fn decode_heartbeat(
    datagram: &[u8],
    secrets: &SecretKeyring,
) -> Result<Heartbeat, ProtocolError> {
    let payload = secrets.open(datagram)?;
    Ok(postcard::from_bytes(payload)?)
}
