//! Projects the measured costs to the planned size of the deployment and compares them with bounds.

use serde::Serialize;

use super::Measured;

/// Size and settings of a deployment.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct DeploymentSize {
    pub entries: f64,
    pub endpoints: f64,
    pub requests_per_s: f64,
    pub tokens_per_s: f64,
    pub items_per_day: f64,
    pub jobs_per_day: f64,
    pub clients: f64,
    pub models: f64,
    pub regions: f64,
    pub changes_per_day: f64,
    pub shards: f64,
    /// Jobs that are open at the same time.
    pub open_jobs: f64,
    /// Items per chunk of a large job.
    pub chunk_items: f64,
    /// Interval between heartbeats, in milliseconds.
    pub beat_ms: f64,
    /// Interval between lease renewals, in milliseconds.
    pub renew_ms: f64,
    /// Entries ranked for a shard: its owner and the ones on standby.
    pub standbys: f64,
    /// Interval between listings of the shards, in milliseconds.
    pub far_poll_ms: f64,
    /// Duration of a watch until it is renewed, in milliseconds.
    pub watch_ms: f64,
    /// Interval between reads of the VM list, in milliseconds.
    pub vm_list_ms: f64,
    /// VMs that fail or are replaced per day.
    pub vm_changes_per_day: f64,
    /// Entries assigned to each endpoint.
    pub entries_per_endpoint: f64,
    /// Least number of endpoints of each service in an entry's subset.
    pub min_endpoints: f64,
}

/// The size that the requirements name, with the settings for it.
pub(crate) const PLANNED: DeploymentSize = DeploymentSize {
    entries: 360.0,
    endpoints: 1_100.0,
    requests_per_s: 2_300.0,
    tokens_per_s: 510_000.0,
    items_per_day: 320e6,
    jobs_per_day: 10_000.0,
    clients: 2_500.0,
    models: 11.0,
    regions: 4.0,
    changes_per_day: 1_600.0,
    shards: 64.0,
    open_jobs: 3_000.0,
    chunk_items: 256.0,
    beat_ms: 4_000.0,
    renew_ms: 2_000.0,
    standbys: 3.0,
    far_poll_ms: 60_000.0,
    watch_ms: 30_000.0,
    vm_list_ms: 10_000.0,
    vm_changes_per_day: 238.0,
    entries_per_endpoint: 4.0,
    min_endpoints: 2.0,
};

const DAY_S: f64 = 86_400.0;

/// Mean tokens of a batch item's answer at the planned size.
const ITEM_TOKENS: f64 = 40.0;

/// Bytes per VM in the VM list.
const VM_BYTES: f64 = 150.0;

/// Bytes of a call and its response without a body.
const SMALL_CALL_BYTES: f64 = 400.0;

/// Bytes that a process reads after a roll: the bundle in force, its sign-off and the content delta.
const BUNDLE_BYTES: f64 = 2_500.0;

/// One projected value.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub role: &'static str,
    pub what: &'static str,
    pub unit: &'static str,
    pub value: f64,
    /// The required upper bound, if any.
    pub bound: Option<f64>,
    pub holds: bool,
}

/// All projected values for one deployment size.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Projection {
    pub size: DeploymentSize,
    pub rows: Vec<Row>,
}

/// Computes all values for the planned size.
pub(super) fn project(m: &Measured) -> Projection {
    let s = PLANNED;
    let mut rows = Vec::new();
    let mut add = |role, what, unit, value: f64, bound: Option<f64>| {
        let holds = bound.is_none_or(|b| value <= b);
        rows.push(Row { role, what, unit, value, bound, holds });
    };
    // There is one service per model. A subset must satisfy both the entries per endpoint and the
    // endpoints of each service per entry, so the larger number applies.
    let assigned_peers = s.endpoints * s.entries_per_endpoint / s.entries;
    let peers = assigned_peers.max(s.min_endpoints * s.models);
    let entry_heartbeats = peers * 1_000.0 / s.beat_ms;
    let side_peers = peers * s.entries / s.endpoints;
    let side_heartbeats = side_peers * 1_000.0 / s.beat_ms;
    let entry_bytes = m.beats.entry_by_suspects.at(0.0);
    let side_bytes = m.beats.side_by_models.at(1.0);
    let entry_endpoint_pairs = (s.entries / s.regions) * (s.endpoints / s.regions);
    let subset_us = m.control.subset_us_by_pairs.at(entry_endpoint_pairs) * 1_000.0 / s.vm_list_ms;
    let ranks_us = m.control.ranks_us_by_pairs.at(s.entries * s.shards) * 1_000.0 / s.vm_list_ms;
    let entry_us = m.control.entry_us_by_beats.at(entry_heartbeats) + subset_us + ranks_us;
    // The full list is sent only after a change; each restart or failure changes it twice.
    let vm_changes = 2.0 * s.vm_changes_per_day / s.regions / DAY_S;
    let vm_list_bytes = VM_BYTES * (s.entries + s.endpoints) / s.regions;
    let vm_bytes = vm_list_bytes * vm_changes + SMALL_CALL_BYTES * 1_000.0 / s.vm_list_ms;
    let watch_bytes =
        SMALL_CALL_BYTES * 1_000.0 / s.watch_ms + BUNDLE_BYTES * s.changes_per_day / DAY_S;
    // The list has 170 bytes per shard.
    let shard_list_bytes = 170.0 * s.shards * 1_000.0 / s.far_poll_ms;
    let heartbeat_bytes = entry_heartbeats * (entry_bytes + side_bytes);
    let jobs_per_shard = s.open_jobs / s.shards;
    let chunks_per_shard = jobs_per_shard * s.items_per_day / s.jobs_per_day / s.chunk_items;
    // Each open item also holds its input line, of about 1,500 bytes.
    let open_items = 512.0 * s.models;
    let entry_memory = peers * m.memory.peer
        + s.clients * m.memory.client
        + jobs_per_shard * m.memory.job
        + chunks_per_shard * m.memory.chunk
        + open_items * (m.memory.open_item + 1_500.0);

    add("entry", "endpoints in its subset", "peers", peers, None);
    add("entry", "heartbeats sent and answered", "1/s", entry_heartbeats, None);
    add("entry", "control processor time", "% of a core", entry_us / 1e4, Some(1.8));
    add("entry", "heartbeats, both ways", "B/s", heartbeat_bytes, None);
    add("entry", "VM list of its region", "B/s", vm_bytes, None);
    add("entry", "list of shards", "B/s", shard_list_bytes, None);
    add("entry", "watch and content of bundles", "B/s", watch_bytes, None);
    let all_bytes = heartbeat_bytes + vm_bytes + shard_list_bytes + watch_bytes;
    add("entry", "all control traffic", "B/s", all_bytes, Some(3_000.0));
    add("entry", "control state beyond an empty process", "MB", entry_memory / 1e6, Some(64.0));
    add("side", "entries that talk to it", "peers", side_peers, None);
    add("side", "heartbeats answered", "1/s", side_heartbeats, None);
    let side_us = m.control.side_us_by_beats.at(side_heartbeats);
    add("side", "control processor time", "% of a core", side_us / 1e4, Some(1.8));
    let side_traffic = side_heartbeats * (entry_bytes + side_bytes);
    let side_bundles = BUNDLE_BYTES * s.changes_per_day / DAY_S;
    add("side", "content of bundles", "B/s", side_bundles, None);
    add("side", "all control traffic", "B/s", side_traffic + side_bundles, Some(3_000.0));

    let items_per_s = s.items_per_day / DAY_S;
    let chunks_per_day = s.items_per_day / s.chunk_items;
    let job_base_writes = m.calls.job_writes_by_chunks.base.max(0.0) * s.jobs_per_day / DAY_S;
    let job_base_reads = m.calls.job_reads_by_chunks.base.max(0.0) * s.jobs_per_day / DAY_S;
    let lease_writes = m.calls.writes_per_renewal * s.shards * 1_000.0 / s.renew_ms;
    let commit_writes = m.calls.job_writes_by_chunks.slope.max(0.0) * chunks_per_day / DAY_S;
    let roll_writes = 4.0 * s.changes_per_day / DAY_S;
    add("store", "lease renewals", "writes/s", lease_writes, None);
    add("store", "chunk commits and uploads", "writes/s", commit_writes, None);
    add("store", "acceptance and ends of jobs", "writes/s", job_base_writes, None);
    add("store", "rolls", "writes/s", roll_writes, None);
    let writes = lease_writes + commit_writes + job_base_writes + roll_writes;
    add("store", "all writes", "writes/s", writes, Some(200.0));
    let standby_reads =
        m.calls.reads_per_poll * s.shards * (s.standbys - 1.0) * 1_000.0 / (s.renew_ms * 1.5);
    let shard_list_reads = s.entries * 1_000.0 / s.far_poll_ms;
    let watch_reads = (s.entries + s.shards) * 1_000.0 / s.watch_ms;
    let chunk_reads = m.calls.job_reads_by_chunks.slope.max(0.0) * chunks_per_day / DAY_S;
    let roll_reads = 3.0 * s.entries * s.changes_per_day / DAY_S;
    add("store", "standby reads of leases", "reads/s", standby_reads, None);
    add("store", "lists of shards", "reads/s", shard_list_reads, None);
    add("store", "waiting watches, made anew", "reads/s", watch_reads, None);
    add("store", "input and results of jobs", "reads/s", chunk_reads + job_base_reads, None);
    add("store", "bundles after rolls", "reads/s", roll_reads, None);
    let reads =
        standby_reads + shard_list_reads + watch_reads + chunk_reads + job_base_reads + roll_reads;
    add("store", "all reads", "reads/s", reads, Some(1_000.0));

    let tokens = s.tokens_per_s / s.requests_per_s;
    let online_us = m.path.entry_us_by_tokens.at(tokens) * s.requests_per_s;
    let online_side_us = m.path.side_us_by_tokens.at(tokens) * s.requests_per_s;
    let batch_us = m.path.entry_us_per_item * items_per_s;
    // The measured batch items had answers of up to 16 tokens.
    let batch_tokens = m.path.side_us_by_tokens.slope * (ITEM_TOKENS - 16.0);
    let batch_side_us = (m.path.side_us_per_item + batch_tokens) * items_per_s;
    add("entry", "online traffic", "% of a core", online_us / s.entries / 1e4, None);
    add("side", "online traffic", "% of a core", online_side_us / s.endpoints / 1e4, None);
    add("entry", "batch items, of one owner", "% of a core", batch_us / s.shards / 1e4, None);
    add("side", "batch items", "% of a core", batch_side_us / s.endpoints / 1e4, None);
    add("fleet", "batch items committed", "items/s", items_per_s, None);
    add("fleet", "spread of a bundle, measured", "ms", m.calls.bundle_spread_ms, Some(3_000.0));
    Projection { size: s, rows }
}
