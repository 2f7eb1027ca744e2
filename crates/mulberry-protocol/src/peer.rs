//! Datagrams between processes that dispatch to endpoints without sides: who is there, who owns the
//! batch jobs, and how much each has in flight where.

use std::net::SocketAddr;

use crate::auth::SecretKeyring;
use crate::closed_set;
use crate::error::ProtocolError;
use crate::heartbeat::Suspect;
use crate::name::EntryName;
use crate::value_type;

closed_set! {
    /// What a process does.
    pub enum PeerRole {
        /// It takes callers' requests.
        Entry,
        /// It may own batch jobs.
        Owner,
    }
}

value_type! {
    /// What one process has in flight at one endpoint.
    pub struct EndpointLoad {
        /// Short key of the endpoint.
        pub endpoint: u64,
        /// Online requests.
        pub online: u16,
        /// Batch items.
        pub batch: u16,
    }
}

value_type! {
    /// A process's claim to own the batch jobs.
    pub struct OwnerClaim {
        /// Term of the lease; each new owner has a higher one.
        pub term: u64,
        /// Revision of the lease at its last renewal.
        pub revision: u64,
        /// Age of the last renewal, in milliseconds.
        pub renewed_ms_ago: u64,
        /// Whether the jobs are loaded and calls are answered.
        pub serving: bool,
    }
}

value_type! {
    /// A process as its peers reach it.
    pub struct Member {
        /// Name of the process.
        pub name: EntryName,
        /// What it does.
        pub role: PeerRole,
        /// Address of its datagrams and links.
        pub address: SocketAddr,
    }
}

value_type! {
    /// One datagram.
    pub struct PeerHeartbeat {
        /// The sender.
        pub member: Member,
        /// Number drawn at the sender's start.
        pub incarnation: u64,
        /// Rises with each datagram of one incarnation.
        pub sequence: u64,
        /// Time until the sender's next datagram to the same receiver, in milliseconds.
        pub next_ms: u64,
        /// Version of the configuration that the sender works by, zero before the first.
        pub version: u64,
        /// Times that the store has answered the sender again after it had not.
        #[serde(rename = "store_returns")]
        pub store_recoveries: u64,
        /// The sender's claim to own the batch jobs.
        pub owner: Option<OwnerClaim>,
        /// What the sender has in flight; endpoints without load are left out.
        pub loads: Vec<EndpointLoad>,
        /// Requests suspected of crashing endpoints.
        pub suspects: Vec<Suspect>,
    }
}

/// Encodes and seals a datagram.
pub fn encode_peer_heartbeat(
    beat: &PeerHeartbeat,
    secrets: &SecretKeyring,
) -> Result<Vec<u8>, ProtocolError> {
    let payload = postcard::to_stdvec(beat)?;
    Ok(secrets.seal(&payload))
}

/// Opens and decodes a datagram.
pub fn decode_peer_heartbeat(
    datagram: &[u8],
    secrets: &SecretKeyring,
) -> Result<PeerHeartbeat, ProtocolError> {
    let payload = secrets.open(datagram)?;
    Ok(postcard::from_bytes(payload)?)
}
