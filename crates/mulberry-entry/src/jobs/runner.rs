//! Store calls for a job: reads and claims a chunk, commits its outcomes, and writes the job's end.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::Store;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::backoff::Backoff;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::event::Event;
use mulberry_protocol::job::ChunkOutcome;
use mulberry_protocol::job::FileInfo;
use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::ItemOutcome;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobLine;
use mulberry_protocol::job::JobState;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;

use super::chunk_codec::decode_chunk;
use super::chunk_codec::encode_chunk;
use super::chunk_codec::inflate;
use crate::shared::Shared;

/// Numbers of items in a chunk that succeeded and failed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ChunkCounts {
    pub completed: u32,
    pub failed: u32,
}

/// First delay after a failed call, in milliseconds.
const FIRST_RETRY_DELAY_MS: u64 = 100;

/// Longest delay after failed calls, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 5_000;

/// The input lines of a chunk that this owner may run.
pub(super) struct OpenedChunk {
    pub lines: Vec<JobLine>,
    /// Whether an earlier owner may have run the items, and they must not run twice.
    pub may_have_run: bool,
}

/// Reads a chunk's lines, and claims the chunk if its items may run only once. Returns none if a
/// store call fails or the input is incomplete.
pub(super) async fn open_chunk(shared: Shared, job: Job, chunk: u32) -> Option<OpenedChunk> {
    let store = shared.store();
    let opened = async {
        let lines = read_chunk_lines(&store, &job, chunk).await?;
        let may_have_run = !job.idempotent && !claim_chunk(&store, &shared, &job, chunk).await?;
        Ok::<_, PlatformError>(OpenedChunk { lines, may_have_run })
    };
    match opened.await {
        Ok(opened) => Some(opened),
        Err(e) => {
            shared.metrics.count("entry.chunk_opens_failed");
            log_event!(warn, Event::StoreFailed, job = %job.id, chunk, error = %e);
            // Without the delay, an unreadable chunk would be requested again at every tick.
            tokio::time::sleep(Duration::from_millis(MAX_RETRY_DELAY_MS / 5)).await;
            None
        }
    }
}

/// Creates the claim on a chunk. Returns whether this call created it.
async fn claim_chunk(
    store: &Store,
    shared: &Shared,
    job: &Job,
    chunk: u32,
) -> Result<bool, PlatformError> {
    let key = object_key::chunk_claim(&job.id, chunk);
    // If the store's response is lost, the random number shows whether the claim that exists is
    // from this call or from another owner.
    let attempt: u64 = rand::rng().random();
    let value = to_json(&(shared.settings.entry.as_str(), attempt))?;
    let end = store.create(CallClass::Commit, &key, value).await?;
    Ok(matches!(end, WriteOutcome::Written(_)))
}

/// Reads the lines of a chunk from the segments of the input file that hold them.
async fn read_chunk_lines(
    store: &Store,
    job: &Job,
    chunk: u32,
) -> Result<Vec<JobLine>, PlatformError> {
    let missing = |what: &str| PlatformError::BadAnswer {
        call: "read",
        detail: format!("{what} of `{}` is missing", job.id),
    };
    let key = object_key::file(&job.client, &job.input);
    let info = store.read_json::<FileInfo>(CallClass::Lease, &key).await?;
    let (info, _) = info.ok_or_else(|| missing("the input"))?;
    let range = job.chunk_range(chunk);
    let first = info.segment_starts.partition_point(|start| *start <= range.start) - 1;
    let mut lines = Vec::with_capacity(range.len());
    for (number, start) in info.segment_starts.iter().enumerate().skip(first) {
        if *start >= range.end {
            break;
        }
        let key = object_key::file_segment(&job.client, &job.input, number as u32);
        let object = store.read(CallClass::Lease, &key).await?;
        let object = object.ok_or_else(|| missing("a segment"))?;
        let text = inflate(&object.value)?;
        for (index, line) in (*start..).zip(text.split(|b| *b == b'\n')) {
            if range.contains(&index) && !line.is_empty() {
                lines.push(parse_line(line)?);
            }
        }
    }
    if lines.len() == range.len() { Ok(lines) } else { Err(missing("a line")) }
}

fn parse_line(line: &[u8]) -> Result<JobLine, PlatformError> {
    serde_json::from_slice(line)
        .map_err(|e| PlatformError::BadAnswer { call: "read", detail: e.to_string() })
}

/// Creates the chunk object, retrying for as long as the store fails. Returns the counts of its
/// outcomes, or none if another owner has created it or the outcomes can't be encoded.
pub(super) async fn commit_chunk(
    shared: Shared,
    job: JobId,
    chunk: u32,
    outcomes: Vec<ItemOutcome>,
    sealed_by_cancel: bool,
) -> Option<ChunkCounts> {
    let store = shared.store();
    let counts = count_outcomes(&outcomes);
    let committed_by = shared.settings.entry.clone();
    let value = encode_chunk(ChunkOutcome { committed_by, sealed_by_cancel, outcomes });
    let Ok(value) = value else {
        log_event!(error, Event::JobUnreadable, %job, chunk);
        return None;
    };
    let key = object_key::chunk(&job, chunk);
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    loop {
        match store.create(CallClass::Commit, &key, value.clone()).await {
            Ok(WriteOutcome::Written(_)) => {
                shared.metrics.count("entry.chunks_committed");
                log_event!(debug, Event::ChunkCommitted, %job, chunk);
                return Some(counts);
            }
            Ok(WriteOutcome::Conflict(_)) => {
                shared.metrics.count("entry.chunks_committed_by_other");
                log_event!(info, Event::ChunkAlreadyCommitted, %job, chunk);
                return None;
            }
            Err(_) => {
                shared.metrics.count("entry.commit_retries");
                let delay_ms = backoff.next_delay_ms(&mut rand::rng());
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

fn count_outcomes(outcomes: &[ItemOutcome]) -> ChunkCounts {
    let completed = outcomes.iter().filter(|o| is_success(&o.end)).count() as u32;
    ChunkCounts { completed, failed: outcomes.len() as u32 - completed }
}

/// Returns whether an item belongs in the output file rather than the error file.
pub(super) fn is_success(end: &ItemEnd) -> bool {
    matches!(end, ItemEnd::Answered { status, .. } if (200..300).contains(status))
}

/// Writes a job's final state. Returns whether the job has ended, by this or any other process.
pub(super) async fn end_job(
    shared: Shared,
    job: JobId,
    counts: IndexMap<u32, ChunkCounts>,
) -> bool {
    let store = shared.store();
    match try_end_job(&shared, &store, &job, counts).await {
        Ok(ended) => ended,
        Err(_) => {
            tokio::time::sleep(Duration::from_millis(FIRST_RETRY_DELAY_MS * 5)).await;
            false
        }
    }
}

async fn try_end_job(
    shared: &Shared,
    store: &Store,
    id: &JobId,
    mut counts: IndexMap<u32, ChunkCounts>,
) -> Result<bool, PlatformError> {
    let key = object_key::job(id, shared.settings.job_shards);
    let Some((job, version)) = store.read_json::<Job>(CallClass::Commit, &key).await? else {
        return Ok(true);
    };
    if job.state.is_final() {
        return Ok(true);
    }
    for chunk in 0..job.chunks() {
        if !counts.contains_key(&chunk) {
            let object = store.read(CallClass::Lease, &object_key::chunk(id, chunk)).await?;
            // The job stays open if a chunk turns out not to be committed.
            let Some(object) = object else { return Ok(false) };
            counts.insert(chunk, count_outcomes(&decode_chunk(&object.value)?.outcomes));
        }
    }
    let state = match job.state {
        JobState::Cancelling => JobState::Cancelled,
        _ => JobState::Completed,
    };
    let completed = counts.values().map(|c| c.completed).sum();
    let failed = counts.values().map(|c| c.failed).sum();
    let ended = Job { state, completed, failed, ..job };
    // If a cancel was written since the read, the version differs, nothing is written, and the job
    // is read again.
    let end = store.update(CallClass::Commit, &key, to_json(&ended)?, version).await?;
    let written = matches!(end, WriteOutcome::Written(_));
    if written {
        shared.metrics.count("entry.jobs_ended");
        log_event!(info, Event::JobEnded, job = %id, ?state, completed, failed);
    }
    Ok(written)
}
