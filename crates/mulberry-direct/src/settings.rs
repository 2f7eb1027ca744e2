//! Settings of the entry and owner processes.

use std::net::SocketAddr;

use mulberry_policy::revocation::Revocation;
use mulberry_policy::store_budget::StoreRates;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ZoneName;

/// Settings of one entry or owner process.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Name of the process, unique in the deployment.
    pub name: EntryName,
    /// Name of the VM on which the process runs.
    pub vm: String,
    /// Availability zone of the VM; endpoints in the same zone are preferred.
    pub zone: ZoneName,
    /// Listen address for callers; owners have none.
    pub callers: Option<SocketAddr>,
    /// Listen address for the load balancer's readiness probes; only entries serve it.
    pub readiness: Option<SocketAddr>,
    /// Listen address for heartbeats (UDP) and links (TCP) of peers.
    pub peers: SocketAddr,
    /// Address at which peers reach `peers`.
    pub advertised: SocketAddr,
    /// Listen address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Rate limits of this process's calls to the store.
    pub store_rates: StoreRates,
    /// Longest time for which the store holds a watch call of endpoints that has no events, in
    /// milliseconds.
    pub endpoint_wait_ms: u64,
    /// The same for the watch of the configuration.
    pub configuration_wait_ms: u64,
    /// Time from the stop signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Time for which results stay readable after submission, in milliseconds.
    pub keep_results_ms: u64,
    /// What may go beyond the rates and quotas of client accounts.
    pub quota: QuotaBounds,
    /// How removed API keys stop.
    pub revocation: Revocation,
    /// What the process may use of its VM.
    pub vm_limits: VmLimits,
}

/// What may go beyond the rates and quotas of client accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Span in which the requests of an account are counted, in milliseconds.
    pub window_ms: u64,
    /// Share of a quota by which it may be exceeded.
    pub overage: f64,
    /// Number of requests in a window by which a rate may be exceeded besides.
    pub slack: f64,
}

/// What a process may use of its VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory at which the process is ended, in bytes; none if the settings state none.
    pub memory_bytes: Option<u64>,
    /// Descriptors that the process may open; none if the settings state none.
    pub descriptors: Option<u64>,
}
