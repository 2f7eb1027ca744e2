//! Endpoints as they register themselves with the platform.

use std::net::SocketAddr;

use crate::closed_set;
use crate::digest::stable_hash;
use crate::name::EndpointName;
use crate::name::ServiceName;
use crate::name::SoftwareVersion;
use crate::name::ZoneName;
use crate::value_type;

closed_set! {
    /// The state that an endpoint reports of itself.
    pub enum EndpointState {
        /// The endpoint takes requests.
        Ready,
        /// The endpoint is stopping and takes no new requests.
        Draining,
    }
}

value_type! {
    /// The record with which an endpoint registers.
    pub struct EndpointRecord {
        /// Name. Requests carry it, so that another endpoint that has taken over the address does
        /// not run them.
        pub name: EndpointName,
        /// Service that the endpoint belongs to.
        pub service: ServiceName,
        /// Address for requests.
        pub address: SocketAddr,
        /// Version of its software. What two versions write can't be joined.
        pub software: SoftwareVersion,
        /// Availability zone in which it runs.
        pub zone: ZoneName,
        /// Most requests that it runs at the same time.
        pub slots: u32,
        /// State that it reports.
        pub state: EndpointState,
        /// Whether it started so recently that it is still slow.
        pub is_cold: bool,
        /// Unix time of its start, in milliseconds. A new value means that it has restarted.
        pub started_unix_ms: u64,
    }
}

impl EndpointRecord {
    /// Returns the key that identifies the endpoint in load reports between processes.
    pub fn load_key(&self) -> u64 {
        load_key(&self.name)
    }

    /// Returns the key of the endpoint's process in reports of its speed. It changes when the endpoint
    /// restarts.
    pub fn speed_key(&self) -> u32 {
        stable_hash(self.name.as_str().as_bytes(), self.started_unix_ms) as u32
    }
}

/// Returns the key that identifies an endpoint in load reports between processes: a 64-bit hash of
/// its name.
pub fn load_key(name: &EndpointName) -> u64 {
    stable_hash(name.as_str().as_bytes(), 0)
}
