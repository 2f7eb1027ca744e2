//! Settings of a process that dispatches to endpoints.

use std::net::SocketAddr;

use mulberry_policy::store_budget::StoreRates;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ZoneName;

/// Settings of one process.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Name of the process.
    pub name: EntryName,
    /// Name of its VM.
    pub vm: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for callers; owners have none.
    pub callers: Option<SocketAddr>,
    /// Address at which the balancer asks for readiness.
    pub readiness: Option<SocketAddr>,
    /// Address on which datagrams and links of peers are taken.
    pub peers: SocketAddr,
    /// Address at which peers reach that one.
    pub advertised: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits of this process's calls to the store.
    pub store_rates: StoreRates,
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Time that results stay readable after submission, in milliseconds.
    pub keep_results_ms: u64,
}
