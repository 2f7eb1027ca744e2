//! Settings of the entry process.

use std::net::SocketAddr;
use std::path::PathBuf;

use mulberry_policy::membership::HeartbeatSettings;
use mulberry_policy::ownership::LeaseSettings;
use mulberry_policy::store_budget::StoreRates;
use mulberry_policy::subset::SubsetSizes;
use mulberry_process::logging::LogFormat;
use mulberry_process::settings;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ZoneName;

settings! {
    /// Settings of the entry process.
    pub struct EntrySettings {
        /// Name of this entry, unique in the deployment
        entry: EntryName = "entry";
        /// Availability zone of this VM
        zone: ZoneName = "zone";
        /// Address of the HTTP API for callers
        listen: SocketAddr = "listen", default "127.0.0.1:8080";
        /// Address at which sides pull batch items; must be reachable from them
        owner_listen: SocketAddr = "owner-listen";
        /// Address of the platform's object API
        object_api: SocketAddr = "object-api";
        /// Token for the object API
        object_api_token: Option<String> = "object-api-token", default "", secret true;
        /// Address of the platform's VM list
        vm_list: SocketAddr = "vm-list";
        /// Shared secrets of the deployment, separated by commas, the one in use first
        secrets: String = "secrets", secret true;
        /// Folder on a small disk for the cold-start copy of the bundle; none if empty
        data_dir: Option<PathBuf> = "data-dir", default "";
        /// Worker threads of the HTTP API
        threads: usize = "threads", default "2";
        /// Number of shards of the batch jobs; must be the same on all entries
        job_shards: u32 = "job-shards", default "16";
        /// Milliseconds between heartbeats to a side
        heartbeat_ms: u64 = "beat-ms", default "2000";
        /// Milliseconds between reads of the VM list
        vm_list_ms: u64 = "vm-list-ms", default "3000";
        /// Milliseconds between renewals of a lease; it expires after three such intervals
        lease_renew_ms: u64 = "lease-renew-ms", default "2000";
        /// Most writes per second that this entry makes to the object API
        store_writes_per_s: f64 = "store-writes-per-s", default "50";
        /// Most reads per second that this entry makes from the object API
        store_reads_per_s: f64 = "store-reads-per-s", default "150";
        /// Entries in its own availability zone that each endpoint talks to
        near_entries: usize = "near-entries", default "3";
        /// Entries in other availability zones that each endpoint talks to
        far_entries: usize = "far-entries", default "1";
        /// Least number of endpoints of each service that each entry talks to
        min_endpoints: usize = "min-endpoints", default "4";
        /// Largest body of an online request, in bytes
        max_body_bytes: usize = "max-body-bytes", default "1048576";
        /// Largest uploaded file, in bytes
        max_file_bytes: u64 = "max-file-bytes", default "209715200";
        /// Milliseconds from reporting not ready to closing, for the load balancer to notice
        notice_ms: u64 = "notice-ms", default "3000";
        /// Milliseconds after that for running requests to end
        drain_ms: u64 = "drain-ms", default "30000";
        /// Address of a statsd server; none if empty
        statsd: Option<SocketAddr> = "statsd", default "";
        /// Format of log lines: text or json
        log_format: LogFormat = "log-format", default "text";
        /// Log filter, such as info or mulberry_entry=debug
        log: String = "log", default "info";
    }
}

/// Heartbeats in a row that a side may leave unanswered before it is considered lost.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Renewal intervals after which a lease that is not renewed expires.
const RENEWALS_PER_TTL: u64 = 3;

impl EntrySettings {
    /// Returns the interval and the loss threshold of heartbeats to sides.
    pub fn heartbeat_timing(&self) -> HeartbeatSettings {
        HeartbeatSettings { interval_ms: self.heartbeat_ms, max_missed: MAX_MISSED_HEARTBEATS }
    }

    /// Returns the timing of shard leases, all in proportion to the renewal interval.
    pub fn lease_timing(&self) -> LeaseSettings {
        let defaults = LeaseSettings::default();
        LeaseSettings {
            renew_ms: self.lease_renew_ms,
            ttl_ms: self.lease_renew_ms * RENEWALS_PER_TTL,
            standby_poll_ms: self.lease_renew_ms * 3 / 2,
            far_poll_ms: self.lease_renew_ms * 15,
            rank_delay_ms: self.lease_renew_ms / 2,
            min_hold_ms: self.lease_renew_ms * 15,
            ..defaults
        }
    }

    /// Returns the rate limits of calls to the object API.
    pub fn store_rates(&self) -> StoreRates {
        StoreRates { writes_per_s: self.store_writes_per_s, reads_per_s: self.store_reads_per_s }
    }

    /// Returns how many entries each endpoint and how many endpoints each entry talks to.
    pub fn subset_sizes(&self) -> SubsetSizes {
        SubsetSizes {
            near_entries: self.near_entries,
            far_entries: self.far_entries,
            min_endpoints: self.min_endpoints,
        }
    }
}
