//! Reads the jobs of a shard and watches them for as long as the shard is owned.

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

/// Reports a job object of an owned shard.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct JobSeen {
    pub shard: u32,
    pub job: Job,
    /// Chunks committed already; read only for jobs that are new to this owner.
    pub committed: Option<Vec<u32>>,
}

/// Asks whether a job is known to the owner.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct KnowsJob(pub JobId);

/// Who is told of the jobs of one shard.
pub(crate) struct JobReader {
    pub shard: u32,
    pub knows: Recipient<KnowsJob>,
    pub seen: Recipient<JobSeen>,
}

/// Length of one watch, in milliseconds.
const WATCH_MS: u64 = 30_000;

/// First wait after a failure, in milliseconds.
const FIRST_WAIT_MS: u64 = 100;

/// Longest wait after failures, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

/// Follows a shard's jobs until it is lost or the process stops.
pub(super) async fn follow_shard(reader: JobReader, shared: Shared, lost: StopSignal) {
    let store = shared.store();
    let mut backoff = Backoff::new(FIRST_WAIT_MS, MAX_WAIT_MS);
    loop {
        let followed = tokio::select! {
            followed = follow_once(&reader, &store) => followed,
            () = lost.wait() => return,
            () = shared.stopped.wait() => return,
        };
        if let Err(PlatformError::Compacted) = followed {
            backoff.reset();
        }
        let wait_ms = backoff.next_wait_ms(&mut rand::rng());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

async fn follow_once(reader: &JobReader, store: &Store) -> Result<(), PlatformError> {
    let prefix = object_key::shard_jobs(reader.shard);
    let (objects, mut revision) = store.list_all(CallClass::Lease, &prefix, true).await?;
    for object in &objects {
        load_job(reader, object, store).await?;
    }
    loop {
        let batch = store.watch(&prefix, revision, WATCH_MS).await?;
        for event in batch.events.iter().filter(|e| !e.deleted) {
            load_job(reader, &event.object, store).await?;
        }
        revision = batch.revision;
    }
}

async fn load_job(reader: &JobReader, object: &Object, store: &Store) -> Result<(), PlatformError> {
    let job: Job = match parse_json(object) {
        Ok(job) => job,
        Err(e) => {
            // One job that can't be read must not keep the others of its shard from running.
            log_event!(error, Event::JobUnreadable, key = object.key, error = %e);
            return Ok(());
        }
    };
    let known = reader.knows.send(KnowsJob(job.id.clone())).await.unwrap_or(false);
    let committed = if known || job.state.is_final() {
        None
    } else {
        Some(read_committed(&job.id, store).await?)
    };
    reader.seen.do_send(JobSeen { shard: reader.shard, job, committed });
    Ok(())
}

/// Lists the chunks of a job that are committed.
async fn read_committed(job: &JobId, store: &Store) -> Result<Vec<u32>, PlatformError> {
    let prefix = object_key::chunks(job);
    let (objects, _) = store.list_all(CallClass::Lease, &prefix, false).await?;
    let numbers = objects.iter().filter_map(|o| o.key.strip_prefix(&prefix)?.parse().ok());
    Ok(numbers.collect())
}
