//! Removes jobs whose results need not be readable any more.

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

/// Time between looks at old jobs.
const LOOK_TIME: Duration = Duration::from_secs(5);

/// Time beyond the promised one for which a job is kept, in milliseconds.
const SLACK_MS: u64 = 30_000;

/// Removes old jobs until the process stops.
pub(crate) async fn remove_old_jobs(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(LOOK_TIME).await;
        let Some((job, segments)) = find_old_job(&owner) else { continue };
        if remove_job(&owner, &job, segments).await {
            owner.state.borrow_mut().jobs.shift_remove(&job);
            log_event!(info, Event::JobEnded, job = %job, cause = "removed");
        }
    }
}

fn find_old_job(owner: &Owner) -> Option<(JobId, u32)> {
    let keep_ms = owner.fleet.settings.keep_results_ms + SLACK_MS;
    let state = owner.state.borrow();
    let old = |since| owner.now().since(since) > keep_ms;
    let mut jobs = state.jobs.iter().filter(|_| state.serving);
    let (job, log) = jobs.find(|(_, log)| log.is_settled() && old(log.known_since))?;
    Some((job.clone(), log.next_segment()))
}

/// Deletes a job's objects, the job itself first, so that a rest never looks like a job.
async fn remove_job(owner: &Owner, job: &JobId, segments: u32) -> bool {
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
