//! Describes the processes, zones and settings of a trial deployment.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use mulberry_standin::engine::EngineSettings;

/// Bundle that trials roll; operators also get it as a sample file.
pub const SAMPLE_BUNDLE: &str = include_str!("../../../samples/bundle.toml");

/// Key of the client account `chembakam` in the sample bundle.
pub const CLIENT_KEY: &str = "demo-key-chembakam";

/// Key of the client account `pokladna` in the sample bundle.
pub const OTHER_CLIENT_KEY: &str = "demo-key-pokladna";

/// Name and key of the operator who submits and rolls in the sample bundle.
pub const AUTHOR: (&str, &str) = ("anjali", "demo-operator-anjali");

/// Name and key of the operator who signs off in the sample bundle.
pub const SIGNER: (&str, &str) = ("vilem", "demo-operator-vilem");

/// Secret that the processes of a trial authenticate each other with.
pub const PEER_SECRET: &str = "trial-secret-of-sixteen-bytes-or-more";

/// An endpoint to start together with its side.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// Name of the endpoint, unique in the deployment.
    pub name: String,
    /// Name of the service that the endpoint belongs to.
    pub service: String,
    /// Availability zone of the endpoint and its side.
    pub zone: String,
    /// Settings of the stand-in engine, or `None` for a plain service.
    pub engine: Option<EngineSettings>,
}

/// The entries, endpoints and settings of a deployment.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Availability zone of each entry; the length is the number of entries.
    pub entry_zones: Vec<String>,
    /// Listen addresses for callers, in the order of the entries. An entry without one gets a free
    /// port.
    pub entry_addresses: Vec<SocketAddr>,
    /// Endpoints to start, each with a side.
    pub endpoints: Vec<EndpointPlan>,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Interval between renewals of a lease, in milliseconds.
    pub lease_renew_ms: u64,
    /// Delay until a change of the VM list is visible to its readers, in milliseconds.
    pub vm_lag_ms: u64,
    /// Number of shards that jobs are spread over.
    pub job_shards: u32,
    /// Folder under which each entry gets a folder for its cold-start copy of the bundle.
    pub data_dir: Option<PathBuf>,
    /// Time from when a stopping entry reports unready until it closes, in milliseconds.
    pub notice_ms: u64,
    /// Store writes and reads per second that each entry may make.
    pub store_rates: (f64, f64),
    /// Upper bound of a side's adaptive concurrency limit.
    pub max_concurrency: u32,
    /// Time between tokens that a side's concurrency limit aims for, in milliseconds.
    pub token_gap_ms: f64,
}

impl FleetPlan {
    /// Returns the sample deployment: `engines` engines spread over three zones, two endpoints of
    /// one plain service, and two entries.
    pub fn sample(engines: usize, engine: EngineSettings) -> Self {
        let zones = ["kochi-a", "kochi-b", "kochi-c"];
        let mut endpoints: Vec<EndpointPlan> = (0..engines)
            .map(|i| EndpointPlan {
                name: format!("copywriter-{i}"),
                service: "copywriter".to_owned(),
                zone: zones[i % zones.len()].to_owned(),
                engine: Some(engine.clone()),
            })
            .collect();
        for (i, zone) in zones.iter().take(2).enumerate() {
            endpoints.push(EndpointPlan {
                name: format!("editor-api-{i}"),
                service: "editor-api".to_owned(),
                zone: (*zone).to_owned(),
                engine: None,
            });
        }
        Self {
            entry_zones: vec![zones[0].to_owned(), zones[1].to_owned()],
            entry_addresses: Vec::new(),
            endpoints,
            heartbeat_ms: 300,
            lease_renew_ms: 300,
            vm_lag_ms: 1_000,
            job_shards: 8,
            data_dir: None,
            notice_ms: 600,
            store_rates: (100.0, 400.0),
            max_concurrency: 64,
            token_gap_ms: 20.0,
        }
    }

    /// Returns the listen address for callers of the entry at `index`; port 0 if none is set.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.entry_addresses.get(index).copied().unwrap_or(any_port)
    }
}
