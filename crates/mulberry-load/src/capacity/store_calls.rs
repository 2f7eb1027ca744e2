//! Counts the object API calls of a real deployment: lease calls while it is idle, and calls by the
//! number of chunks in a job. Also times how long a bundle takes to reach every process.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;

use mulberry_standin::engine::EngineSettings;
use mulberry_standin::object_api::CallCounts;
use mulberry_trial::caller::Caller;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::SAMPLE_BUNDLE;
use mulberry_trial::request::ChatRequest;

use crate::error::LoadError;
use crate::stats::Line;

/// Duration of the idle measurement.
const IDLE_DURATION: Duration = Duration::from_secs(6);

/// Interval between lease renewals while measuring, in milliseconds.
const LEASE_RENEW_INTERVAL_MS: u64 = 500;

/// Sizes of the measured jobs, in items.
const JOB_ITEMS: [u32; 3] = [32, 256, 1_024];

/// Number of rolls that are timed.
const ROLLS: u32 = 5;

/// Timeout for a job to complete.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// Object API calls by their cause, and the time of a roll.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct StoreCalls {
    /// Writes per held shard and renewal interval.
    pub writes_per_renewal: f64,
    /// Reads per standby and poll of a lease.
    pub reads_per_poll: f64,
    /// Writes of a job by its chunks: upload, acceptance, commits and final state.
    pub job_writes_by_chunks: Line,
    /// Reads of a job by its chunks, including those that serve its caller.
    pub job_reads_by_chunks: Line,
    /// Longest time from the start of a roll until every process uses the new bundle, in milliseconds.
    pub bundle_spread_ms: f64,
}

/// Starts a deployment of two entries and measures its calls to the object API.
pub(super) async fn measure() -> Result<StoreCalls, LoadError> {
    let mut plan = FleetPlan::sample(2, EngineSettings::default());
    plan.lease_renew_ms = LEASE_RENEW_INTERVAL_MS;
    let shards = f64::from(plan.job_shards);
    let fleet = Fleet::start(plan).await?;
    fleet.roll(SAMPLE_BUNDLE).await?;
    fleet.wait_ready().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = fleet.object_api.counts();
    let started = Instant::now();
    tokio::time::sleep(IDLE_DURATION).await;
    let elapsed_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let idle = subtract_counts(&before, &fleet.object_api.counts());
    let renewals = elapsed_ms / LEASE_RENEW_INTERVAL_MS as f64;
    // Of the two entries, one holds each shard and the other is its standby, which polls the lease
    // at 1.5 times the renewal interval.
    let polls = elapsed_ms / (LEASE_RENEW_INTERVAL_MS as f64 * 1.5);
    let (mut writes, mut reads) = (Vec::new(), Vec::new());
    for items in JOB_ITEMS {
        let calls =
            measure_job(&fleet, items, renewals / elapsed_ms, polls / elapsed_ms, shards).await?;
        writes.push((calls.chunks, calls.writes));
        reads.push((calls.chunks, calls.reads));
    }
    let bundle_spread_ms = measure_longest_roll(&fleet).await?;
    fleet.stop().await;
    Ok(StoreCalls {
        writes_per_renewal: idle.writes as f64 / renewals / shards,
        reads_per_poll: idle.reads as f64 / polls / shards,
        job_writes_by_chunks: Line::fit(&writes),
        job_reads_by_chunks: Line::fit(&reads),
        bundle_spread_ms,
    })
}

fn subtract_counts(before: &CallCounts, after: &CallCounts) -> CallCounts {
    CallCounts {
        reads: after.reads - before.reads,
        writes: after.writes - before.writes,
        lists: after.lists - before.lists,
        watches: after.watches - before.watches,
        ..CallCounts::default()
    }
}

struct JobCalls {
    chunks: f64,
    writes: f64,
    reads: f64,
}

/// Runs a job and returns its calls, less the expected lease calls in the same time.
async fn measure_job(
    fleet: &Fleet,
    items: u32,
    renewals_per_ms: f64,
    polls_per_ms: f64,
    shards: f64,
) -> Result<JobCalls, LoadError> {
    let caller = Caller::new(fleet.entry_addresses(), CLIENT_KEY);
    let entry = caller.next_entry();
    let lines: String = (0..items).map(|i| job_line(i, items)).collect();
    let before = fleet.object_api.counts();
    let started = Instant::now();
    let file = caller.upload(entry, &lines).await?;
    let job = caller.create_batch(entry, &file, "/v1/chat/completions", None).await?;
    let key = format!("jobs/{:04}/{job}", shard_of(fleet, &job));
    loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        // Reads the stand-in's state directly, because polling through an entry would be counted.
        let value = fleet.object_api.value(&key).unwrap_or_default();
        let state: Value = serde_json::from_slice(&value).unwrap_or(Value::Null);
        if state["state"] == "completed" || started.elapsed() > JOB_TIMEOUT {
            break;
        }
    }
    let elapsed_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let calls = subtract_counts(&before, &fleet.object_api.counts());
    let chunks = fleet.object_api.keys(&format!("chunks/{job}/")).len() as f64;
    let lease_writes = elapsed_ms * renewals_per_ms * shards;
    let lease_reads = elapsed_ms * polls_per_ms * shards;
    Ok(JobCalls {
        chunks,
        writes: calls.writes as f64 - lease_writes,
        reads: (calls.reads + calls.lists + calls.watches) as f64 - lease_reads,
    })
}

fn job_line(index: u32, item_count: u32) -> String {
    let request = ChatRequest {
        model: "caption-7b".to_owned(),
        system: "You write short captions.".to_owned(),
        user: format!("Caption {index} of {item_count}."),
        max_tokens: 8,
        stream: false,
    };
    format!("{}\n", request.job_line(&format!("item-{index}")))
}

fn shard_of(fleet: &Fleet, job: &str) -> u32 {
    let keys = fleet.object_api.keys("jobs/");
    let key = keys.iter().find(|k| k.ends_with(job));
    key.and_then(|k| k.split('/').nth(1)?.parse().ok()).unwrap_or(0)
}

async fn measure_longest_roll(fleet: &Fleet) -> Result<f64, LoadError> {
    let mut longest = 0.0_f64;
    for roll in 0..ROLLS {
        let text = SAMPLE_BUNDLE.replace("2026-12-01", &format!("2026-12-01.{roll}"));
        let started = Instant::now();
        fleet.roll(&text).await?;
        fleet.wait_ready().await?;
        longest = longest.max(started.elapsed().as_secs_f64() * 1_000.0);
    }
    Ok(longest)
}
