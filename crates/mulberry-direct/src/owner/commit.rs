//! Commits results to the store. The results of a job are written in segments, each with several
//! results and one conditional write; a result is listed once its segment is written.

use std::rc::Rc;
use std::time::Duration;

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::job_log::ItemPhase;
use mulberry_policy::job_log::JobLog;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::batch_job::Segment;
use mulberry_protocol::batch_job::segment_key;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;

use crate::owner::Owner;
use crate::owner::load::apply_stored_segment;

/// Interval at which jobs are checked for results to write, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Minimum time between two segments of a job, in milliseconds, so that results are written in
/// batches. The last results and the end of a job are written without this delay.
const COMMIT_INTERVAL_MS: u64 = 400;

/// Writes segments of results until the process stops.
pub(crate) async fn commit_results(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        for (job, number, segment) in begin_segments(&owner, COMMIT_INTERVAL_MS) {
            actix_rt::spawn(write_segment(owner.clone(), job, number, segment));
        }
    }
}

/// Writes all results that are not written yet, once for each job.
pub(crate) async fn flush_results(owner: &Rc<Owner>) {
    let writes = begin_segments(owner, 0)
        .into_iter()
        .map(|(job, number, segment)| write_segment(owner.clone(), job, number, segment));
    futures_util::future::join_all(writes).await;
}

/// Starts a segment for each job that has results to write and is not writing a segment. Skips jobs
/// whose last segment was started less than `min_interval_ms` ago, unless all their items have
/// ended or the caller ends the job. Returns each job with the segment's number and content.
fn begin_segments(owner: &Owner, min_interval_ms: u64) -> Vec<(JobId, u32, Segment)> {
    let now = owner.now();
    let mut state = owner.state.borrow_mut();
    if !state.serving {
        return Vec::new();
    }
    let state = &mut *state;
    let mut segments = Vec::new();
    for (id, log) in &mut state.jobs {
        let last_commit_at = state.last_commit_at.get(id).copied().unwrap_or_default();
        if now.since(last_commit_at) < min_interval_ms && !all_items_ended(log) && !log.is_ending()
        {
            continue;
        }
        if let Some((number, segment)) = log.begin_segment() {
            state.last_commit_at.insert(id.clone(), now);
            segments.push((id.clone(), number, segment));
        }
    }
    segments
}

/// Returns whether every item has ended.
fn all_items_ended(log: &JobLog) -> bool {
    log.items().iter().all(|s| matches!(s.phase, ItemPhase::Ended | ItemPhase::Listed))
}

async fn write_segment(owner: Rc<Owner>, job: JobId, number: u32, segment: Segment) {
    let generation = owner.state.borrow().generation;
    let key = segment_key(job.as_str(), number);
    let written = match to_json(&segment) {
        Ok(value) => owner.store.create(CallClass::Commit, &key, value).await,
        Err(e) => Err(e),
    };
    let mut state = owner.state.borrow_mut();
    if state.generation != generation {
        return;
    }
    let Some(log) = state.jobs.get_mut(&job) else { return };
    match written {
        Ok(WriteOutcome::Written(_)) => {
            log.commit_segment();
            let listed = log.listed().len();
            log_event!(info, Event::ResultsListed, job = %job, segment = number,
                results = segment.results.len(), listed, total = log.items().len());
        }
        Ok(WriteOutcome::Conflict(Some(object))) => {
            if let Err(e) = apply_stored_segment(log, &object) {
                log.abandon_segment();
                log_event!(error, Event::JobUnreadable, job = %job, error = %e);
            }
        }
        Ok(WriteOutcome::Conflict(None)) => log.abandon_segment(),
        Err(e) => {
            log.abandon_segment();
            log_event!(info, Event::ResultsUnwritten, job = %job, segment = number, error = %e);
        }
    }
    drop(state);
    owner.results_changed.notify_waiters();
}
