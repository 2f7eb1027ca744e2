//! What a trial's deployment consists of.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use mulberry_standin::engine::EngineSettings;

/// The bundle that trials roll, kept as a sample for operators too.
pub const SAMPLE_BUNDLE: &str = include_str!("../../../samples/bundle.toml");

/// Key of the client account `chembakam` in the sample bundle.
pub const CLIENT_KEY: &str = "demo-key-chembakam";

/// Key of the client account `pokladna` in the sample bundle.
pub const OTHER_CLIENT_KEY: &str = "demo-key-pokladna";

/// Name and key of the operator who submits and rolls in the sample bundle.
pub const AUTHOR: (&str, &str) = ("anjali", "demo-operator-anjali");

/// Name and key of the operator who signs off in the sample bundle.
pub const SIGNER: (&str, &str) = ("vilem", "demo-operator-vilem");

/// The shared secret of trials.
pub const PEER_SECRET: &str = "trial-secret-of-sixteen-bytes-or-more";

/// One endpoint and its side.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// Name of the endpoint.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Settings of an engine, or none for a plain service.
    pub engine: Option<EngineSettings>,
}

/// A deployment.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Zone of each entry.
    pub entry_zones: Vec<String>,
    /// Addresses for callers, in order of the entries; port 0 where none is given.
    pub entry_addresses: Vec<SocketAddr>,
    /// The endpoints.
    pub endpoints: Vec<EndpointPlan>,
    /// Milliseconds between heartbeats.
    pub heartbeat_ms: u64,
    /// Milliseconds between renewals of leases.
    pub lease_renew_ms: u64,
    /// Milliseconds by which the VM list lags.
    pub vm_lag_ms: u64,
    /// Shards of the jobs.
    pub job_shards: u32,
    /// Folder for the entries' cold-start copies, one below it for each.
    pub data_dir: Option<PathBuf>,
    /// Time between an entry's becoming unready and its closing, in milliseconds.
    pub notice_ms: u64,
    /// Writes and reads a second that each entry may make.
    pub store_rates: (f64, f64),
    /// Highest concurrency of a side.
    pub max_concurrency: u32,
    /// Time between tokens that sides keep to, in milliseconds.
    pub token_gap_ms: f64,
}

impl FleetPlan {
    /// Plans the sample deployment: engines and one plain service over three zones, two entries.
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

    /// Returns the address for callers of the entry with this index.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.entry_addresses.get(index).copied().unwrap_or(free)
    }
}
