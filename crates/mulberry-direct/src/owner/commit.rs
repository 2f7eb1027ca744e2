//! Commits results to the store. The results of a job are written in segments, each with several
//! results and one conditional write; a result is listed once its segment is written.

use std::rc::Rc;
use std::time::Duration;

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::commit_interval::commit_interval_ms;
use mulberry_policy::item_state::ItemPhase;
use mulberry_policy::item_state::ItemState;
use mulberry_policy::job_log::JobLog;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::batch_job::Segment;
use mulberry_protocol::batch_job::segment_key;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::time::Millis;

use crate::owner::Owner;
use crate::owner::load::apply_stored_segment;

/// Interval at which jobs are checked for results to write, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Writes segments of results until the process stops.
pub(crate) async fn commit_results(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        for (job, number, segment) in begin_segments(&owner, CommitPace::Batched) {
            actix_rt::spawn(write_segment(owner.clone(), job, number, segment));
        }
    }
}

/// Writes all results that are not written yet, once for each job.
pub(crate) async fn flush_results(owner: &Rc<Owner>) {
    let writes = begin_segments(owner, CommitPace::AtOnce)
        .into_iter()
        .map(|(job, number, segment)| write_segment(owner.clone(), job, number, segment));
    futures_util::future::join_all(writes).await;
}

/// Whether results may wait for others to be written with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitPace {
    /// They may, for [`commit_interval_ms`].
    Batched,
    /// They may not.
    AtOnce,
}

/// Starts a segment for each job that has results to write and is not writing a segment. Batched results
/// wait until the job's interval has passed, unless all its items have ended or the caller ends the
/// job. Returns each job with the segment's number and content.
fn begin_segments(owner: &Owner, pace: CommitPace) -> Vec<(JobId, u32, Segment)> {
    let now = owner.now();
    let mut state = owner.state.borrow_mut();
    if !state.serving {
        return Vec::new();
    }
    let state = &mut *state;
    let mut segments = Vec::new();
    for (id, log) in &mut state.jobs {
        let last_commit_at = state.last_commit_at.get(id).copied().unwrap_or_default();
        let is_waiting =
            pace == CommitPace::Batched && now.since(last_commit_at) < interval_ms(log, now);
        if is_waiting && !all_items_ended(log) && !log.is_ending() {
            continue;
        }
        if let Some((number, segment)) = log.begin_segment() {
            state.last_commit_at.insert(id.clone(), now);
            segments.push((id.clone(), number, segment));
        }
    }
    segments
}

/// Returns the time that must have passed since the job's last write. A failed item doesn't run again before
/// its failure is stored, so that it waits no longer than necessary.
fn interval_ms(log: &JobLog, now: Millis) -> u64 {
    let has_failed = log.items().iter().any(ItemState::has_unstored_failure);
    commit_interval_ms(if has_failed { now } else { log.due_at }, now)
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
