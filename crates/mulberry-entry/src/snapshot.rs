//! The snapshot that traffic threads read: the bundle in force and the routes, as one immutable
//! value that the control thread publishes whenever either changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;

use mulberry_policy::routing::Candidate;
use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::bundle::BundleDelta;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::name::ServiceName;

/// A parsed bundle with its text and number.
#[derive(Debug, Clone)]
pub(crate) struct LoadedBundle {
    pub number: u64,
    pub digest: Digest,
    pub text: Arc<str>,
    pub bundle: Arc<Bundle>,
    /// Delta from the previous bundle, for sides that hold that one.
    pub delta: Option<Arc<BundleDelta>>,
}

/// An endpoint that may get online requests, as last reported by its side.
#[derive(Debug, Clone)]
pub(crate) struct EndpointRoute {
    pub endpoint: EndpointName,
    pub address: SocketAddr,
    /// Hash of the endpoint's name, for rendezvous hashing.
    pub name_hash: u64,
    /// Whether the endpoint is in the entry's availability zone.
    pub near: bool,
    pub models: Vec<ModelName>,
    pub load: SideLoad,
    /// Online requests of this entry in flight at the endpoint.
    pub in_flight: Arc<AtomicU32>,
}

impl EndpointRoute {
    /// Returns the routing policy's view of the endpoint. `avoid` marks one to be used only if no
    /// other is left.
    pub fn to_candidate(&self, avoid: bool) -> Candidate {
        Candidate {
            name_hash: self.name_hash,
            near: self.near,
            own_in_flight: self.in_flight.load(Ordering::Relaxed),
            reported_online: u32::from(self.load.online),
            limit: u32::from(self.load.limit),
            reported_wait_ms: u32::from(self.load.wait_ms),
            avoid,
        }
    }
}

/// State that the control thread publishes for the traffic threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    pub bundle: Option<LoadedBundle>,
    pub routes: IndexMap<ServiceName, Vec<EndpointRoute>>,
    /// Number of endpoints in the entry's subset, whether they are live or not.
    pub known_endpoints: usize,
    /// Whether the entry can serve: it has a bundle and a route, and is not stopping.
    pub ready: bool,
}

impl Snapshot {
    /// Returns the endpoints of a service, only those that hold the model if one is given.
    pub fn endpoints(
        &self,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> Vec<&EndpointRoute> {
        let routes = self.routes.get(service).into_iter().flatten();
        routes.filter(|r| model.is_none_or(|m| r.models.contains(m))).collect()
    }
}
