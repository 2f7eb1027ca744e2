//! Endpoints as they register themselves with the platform.

use std::net::SocketAddr;

use crate::closed_set;
use crate::digest::stable_hash;
use crate::name::EndpointName;
use crate::name::ServiceName;
use crate::name::ZoneName;
use crate::value_type;

closed_set! {
    /// What an endpoint says of itself.
    pub enum EndpointState {
        /// It takes requests.
        Ready,
        /// It is leaving and takes no new requests.
        Draining,
    }
}

value_type! {
    /// One endpoint's entry.
    pub struct EndpointRecord {
        /// Name; requests name it so that no other endpoint at the address runs them.
        pub name: EndpointName,
        /// Service that it serves.
        pub service: ServiceName,
        /// Address for requests.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: ZoneName,
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// What it says of itself.
        pub state: EndpointState,
        /// Whether it has started so lately that it is still slow.
        pub is_cold: bool,
        /// Unix time of its start in milliseconds; another start has another value.
        pub started_unix_ms: u64,
    }
}

impl EndpointRecord {
    /// Returns the short key under which load is told between processes.
    pub fn load_key(&self) -> u64 {
        load_key(&self.name)
    }
}

/// Returns the short key of an endpoint.
pub fn load_key(name: &EndpointName) -> u64 {
    stable_hash(name.as_str().as_bytes(), 0)
}
