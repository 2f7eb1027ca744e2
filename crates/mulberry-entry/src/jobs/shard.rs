//! Reads the jobs of a shard and watches them for as long as this entry owns the shard.

use std::time::Duration;

use actix::Message;
use actix::Recipient;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::Object;
use mulberry_platform::store::Store;
use mulberry_platform::store::parse_json;
use mulberry_policy::backoff::Backoff;
use mulberry_policy::store_budget::CallClass;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::event::Event;
use mulberry_protocol::job::Job;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;

use crate::shared::Shared;

/// Records the current state of a job of an owned shard.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct JobReported {
    pub shard: u32,
    pub job: Job,
    /// Chunks that are committed already. Only read for a job that this owner does not know yet and
    /// that has not ended.
    pub committed: Option<Vec<u32>>,
}

/// Asks whether the owner has loaded a job.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct HasJob(pub JobId);

/// The actor that receives the jobs of one shard.
pub(crate) struct ShardObserver {
    pub shard: u32,
    /// Returns whether a job is loaded already.
    pub has_job: Recipient<HasJob>,
    /// Receives each job and its changes.
    pub job_reported: Recipient<JobReported>,
}

/// Timeout of one watch call, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 30_000;

/// First delay after a failed call, in milliseconds.
const FIRST_RETRY_DELAY_MS: u64 = 100;

/// Longest delay after failed calls, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// Reports a shard's jobs and their changes until the shard is lost or the process stops.
pub(super) async fn watch_shard(observer: ShardObserver, shared: Shared, lost: StopSignal) {
    let store = shared.store();
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    loop {
        let watched = tokio::select! {
            watched = read_and_watch(&observer, &store) => watched,
            () = lost.wait() => return,
            () = shared.stopped.wait() => return,
        };
        if let Err(PlatformError::Compacted) = watched {
            backoff.reset();
        }
        let delay_ms = backoff.next_delay_ms(&mut rand::rng());
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Reads all jobs of the shard, then watches them until a call fails.
async fn read_and_watch(observer: &ShardObserver, store: &Store) -> Result<(), PlatformError> {
    let prefix = object_key::shard_jobs(observer.shard);
    let (objects, mut revision) = store.list_all(CallClass::Lease, &prefix, true).await?;
    for object in &objects {
        report_job(observer, object, store).await?;
    }
    loop {
        let batch = store.watch(&prefix, revision, WATCH_TIMEOUT_MS).await?;
        for event in batch.events.iter().filter(|e| !e.deleted) {
            report_job(observer, &event.object, store).await?;
        }
        revision = batch.revision;
    }
}

/// Reports one job object to the observer, with its committed chunks if the job is new.
async fn report_job(
    observer: &ShardObserver,
    object: &Object,
    store: &Store,
) -> Result<(), PlatformError> {
    let job: Job = match parse_json(object) {
        Ok(job) => job,
        Err(e) => {
            // An unreadable job is skipped, so that the other jobs of its shard still run.
            log_event!(error, Event::JobUnreadable, key = object.key, error = %e);
            return Ok(());
        }
    };
    let known = observer.has_job.send(HasJob(job.id.clone())).await.unwrap_or(false);
    let committed = if known || job.state.is_final() {
        None
    } else {
        Some(list_committed_chunks(&job.id, store).await?)
    };
    observer.job_reported.do_send(JobReported { shard: observer.shard, job, committed });
    Ok(())
}

/// Returns the numbers of a job's committed chunks.
async fn list_committed_chunks(job: &JobId, store: &Store) -> Result<Vec<u32>, PlatformError> {
    let prefix = object_key::chunks(job);
    let (objects, _) = store.list_all(CallClass::Lease, &prefix, false).await?;
    let numbers = objects.iter().filter_map(|o| o.key.strip_prefix(&prefix)?.parse().ok());
    Ok(numbers.collect())
}
