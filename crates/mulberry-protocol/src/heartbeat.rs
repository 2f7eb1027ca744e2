//! Heartbeats between entries and sides. Each is one signed datagram.

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

/// Largest heartbeat accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

value_type! {
    /// A request that was running when an endpoint crashed and may be the cause.
    pub struct Suspect {
        /// Hash of the request's method, path and body.
        pub fingerprint: u64,
        /// Number of crashes of endpoints while it ran; without sides, the points in a row that the
        /// sender has given, two for each crash.
        pub crashes: u8,
        /// Whether it had just started at a crash, which makes it the most likely cause.
        pub recent: bool,
        /// Whether it is confirmed as the cause, since it ran alone at the last crash.
        #[serde(rename = "convicted")]
        pub confirmed: bool,
    }
}

closed_set! {
    /// Whether a process takes new work.
    pub enum Presence {
        /// The process takes new work.
        Serving,
        /// The process is starting.
        Starting,
        /// The process is stopping: it finishes the work that it has and takes no more.
        Leaving,
    }
}

value_type! {
    /// Heartbeat of an entry, sent to each side in its subset.
    pub struct EntryHeartbeat {
        /// Name of the sender.
        pub entry: EntryName,
        /// Number that rises with each heartbeat of one process.
        pub sequence: u64,
        /// Address at which sides pull batch items and fetch bundles.
        pub owner_link: SocketAddr,
        /// Number of the bundle in force at the entry; zero if there is none.
        pub bundle: u64,
        /// Batch items at this entry that wait for the side's service.
        pub backlog: u32,
        /// Whether the entry takes new work.
        pub presence: Presence,
        /// Requests suspected of crashing endpoints.
        pub suspects: Vec<Suspect>,
    }
}

value_type! {
    /// Load of an endpoint, as its side reports it.
    pub struct SideLoad {
        /// Online requests admitted or queued.
        pub online: u16,
        /// Most requests that the side runs on the endpoint at the same time.
        pub limit: u16,
        /// Batch items running.
        pub batch: u16,
        /// Expected wait of a new online request, in milliseconds.
        pub wait_ms: u16,
    }
}

value_type! {
    /// Heartbeat of a side, sent in reply to an [`EntryHeartbeat`] and at once when its presence
    /// changes.
    pub struct SideHeartbeat {
        /// Endpoint that the side runs beside.
        pub endpoint: EndpointName,
        /// Number that rises with each heartbeat of one process.
        pub sequence: u64,
        /// Random number drawn at the start of the process, which tells a restart from the process
        /// before it.
        pub incarnation: u64,
        /// Availability zone in which the side runs.
        pub zone: ZoneName,
        /// Service of the endpoint.
        pub service: ServiceName,
        /// Models that the engine has loaded; empty for a plain service.
        pub models: Vec<ModelName>,
        /// Load of the endpoint.
        pub load: SideLoad,
        /// Highest bundle number known to the side.
        pub bundle: u64,
        /// Number of the bundle whose models the endpoint has loaded; zero while that is
        /// unfinished.
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

/// Encodes and signs a heartbeat as a datagram.
pub fn encode_heartbeat(
    heartbeat: &Heartbeat,
    secrets: &SecretKeyring,
) -> Result<Vec<u8>, ProtocolError> {
    let payload = postcard::to_stdvec(heartbeat)?;
    Ok(secrets.sign_datagram(&payload))
}

/// Verifies and decodes a heartbeat.
pub fn decode_heartbeat(
    datagram: &[u8],
    secrets: &SecretKeyring,
) -> Result<Heartbeat, ProtocolError> {
    let payload = secrets.verify_datagram(datagram)?;
    Ok(postcard::from_bytes(payload)?)
}
