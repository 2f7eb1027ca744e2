//! Lists results: several at a time, each time with one conditional write.

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
use crate::owner::load::adopt_segment;

/// Time between looks at what is to be written, in milliseconds.
const LOOK_MS: u64 = 50;

/// Time for which results of a job are gathered, in milliseconds.
const GATHER_MS: u64 = 400;

/// Writes results until the process stops.
pub(crate) async fn list_results(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        for (job, number, segment) in take_segments(&owner, GATHER_MS) {
            actix_rt::spawn(write_segment(owner.clone(), job, number, segment));
        }
    }
}

/// Writes everything that is left.
pub(crate) async fn flush_results(owner: &Rc<Owner>) {
    let writes = take_segments(owner, 0)
        .into_iter()
        .map(|(job, number, segment)| write_segment(owner.clone(), job, number, segment));
    futures_util::future::join_all(writes).await;
}

fn take_segments(owner: &Owner, gather_ms: u64) -> Vec<(JobId, u32, Segment)> {
    let now = owner.now();
    let mut state = owner.state.borrow_mut();
    if !state.serving {
        return Vec::new();
    }
    let state = &mut *state;
    let mut segments = Vec::new();
    for (id, log) in &mut state.jobs {
        let written_at = state.written_at.get(id).copied().unwrap_or_default();
        if now.since(written_at) < gather_ms && !is_whole(log) && !log.is_ending() {
            continue;
        }
        if let Some((number, segment)) = log.begin_segment() {
            state.written_at.insert(id.clone(), now);
            segments.push((id.clone(), number, segment));
        }
    }
    segments
}

/// Tells whether every item has ended.
fn is_whole(log: &JobLog) -> bool {
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
            if let Err(e) = adopt_segment(log, &object) {
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
    owner.listed.notify_waiters();
}
