//! Deletes jobs whose retention time is over.

use std::rc::Rc;
use std::time::Duration;

use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::batch_job::job_key;
use mulberry_protocol::batch_job::part_key;
use mulberry_protocol::batch_job::segment_key;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;

use crate::owner::Owner;

/// Interval at which expired jobs are searched for. At most one is deleted at a time.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which a job is kept beyond its retention time, in milliseconds.
const RETENTION_MARGIN_MS: u64 = 30_000;

/// Deletes expired jobs until the process stops.
pub(crate) async fn delete_expired_jobs(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let Some((job, segments)) = find_expired_job(&owner) else { continue };
        if delete_job(&owner, &job, segments).await {
            owner.state.borrow_mut().jobs.shift_remove(&job);
            log_event!(info, Event::JobEnded, job = %job, cause = "removed");
        }
    }
}

/// Returns a settled job that this owner has known for longer than the retention time, with its
/// number of segments.
fn find_expired_job(owner: &Owner) -> Option<(JobId, u32)> {
    let keep_ms = owner.shared.settings.keep_results_ms + RETENTION_MARGIN_MS;
    let state = owner.state.borrow();
    let is_expired = |since| owner.now().since(since) > keep_ms;
    let mut jobs = state.jobs.iter().filter(|_| state.serving);
    let (job, log) = jobs.find(|(_, log)| log.is_settled() && is_expired(log.known_since))?;
    Some((job.clone(), log.next_segment()))
}

/// Deletes the objects of a job. The job's own object goes first, so that objects left behind by a
/// failure are never loaded as a job. Returns false if a call to the store failed.
async fn delete_job(owner: &Owner, job: &JobId, segments: u32) -> bool {
    let id = job.as_str();
    let mut keys = vec![job_key(id), part_key(id, 0)];
    keys.extend((0..segments).map(|number| segment_key(id, number)));
    for key in keys {
        let deleted = match owner.store.read(CallClass::Listing, &key).await {
            Ok(Some(object)) => {
                owner.store.delete(CallClass::Listing, &key, object.version).await.is_ok()
            }
            Ok(None) => true,
            Err(_) => false,
        };
        if !deleted {
            return false;
        }
    }
    true
}
