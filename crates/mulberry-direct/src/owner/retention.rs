//! Deletes jobs whose retention time is over.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::batch_job::StoredJob;
use mulberry_protocol::batch_job::job_key;
use mulberry_protocol::batch_job::part_key;
use mulberry_protocol::batch_job::segment_key;
use mulberry_protocol::batch_job::split_numbered_key;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::time::Millis;

use crate::owner::Owner;

/// Interval at which expired jobs are searched for. At most one is deleted at a time.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which a job is kept beyond its retention time, in milliseconds.
const RETENTION_MARGIN_MS: u64 = 30_000;

/// Objects that are to be deleted, the rest of what was a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Removal {
    job: JobId,
    /// Keys of the objects, in the order in which they are deleted.
    keys: Vec<String>,
}

/// Objects of jobs that have no object of their own, as an owner leaves them that dies between two
/// deletions, or before it has written the job's own object.
#[derive(Debug, Default)]
pub(crate) struct Leftovers {
    found_at: Millis,
    removals: Vec<Removal>,
}

impl Leftovers {
    /// Finds the leftovers among the keys of all parts and segments.
    pub(crate) fn find(jobs: &IndexSet<JobId>, keys: Vec<String>, found_at: Millis) -> Self {
        let mut by_job: IndexMap<JobId, Vec<String>> = IndexMap::new();
        for key in keys {
            let job = split_numbered_key(&key).map(|(job, _)| JobId::new(job));
            if let Some(job) = job.filter(|job| !jobs.contains(job)) {
                by_job.entry(job).or_default().push(key);
            }
        }
        let removals = by_job.into_iter().map(|(job, keys)| Removal { job, keys }).collect();
        Self { found_at, removals }
    }
}

/// Deletes expired jobs and leftovers until the process stops.
pub(crate) async fn delete_expired_jobs(owner: Rc<Owner>) {
    let mut unfinished: Option<Removal> = None;
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if !owner.state.borrow().serving {
            // The next owner finds what is left.
            unfinished = None;
            continue;
        }
        let removal = match unfinished.take() {
            Some(removal) => removal,
            None => match next_removal(&owner).await {
                Some(removal) => removal,
                None => continue,
            },
        };
        if delete_objects(&owner, &removal.keys).await {
            owner.state.borrow_mut().jobs.shift_remove(&removal.job);
            log_event!(info, Event::JobEnded, job = %removal.job, cause = "removed");
        } else {
            unfinished = Some(removal);
        }
    }
}

/// Returns what is to be deleted next: the objects of an expired job, else leftovers that are as old.
async fn next_removal(owner: &Owner) -> Option<Removal> {
    if let Some((job, segments)) = find_expired_job(owner) {
        return removal_of_job(owner, job, segments).await;
    }
    let keep_ms = owner.shared.settings.keep_results_ms + RETENTION_MARGIN_MS;
    let removal = {
        let mut state = owner.state.borrow_mut();
        if owner.now().since(state.leftovers.found_at) <= keep_ms {
            return None;
        }
        state.leftovers.removals.pop()?
    };
    // The job may have been accepted while the objects were listed; it is removed at its own time.
    match owner.store.read(CallClass::Listing, &job_key(removal.job.as_str())).await {
        Ok(None) => Some(removal),
        Ok(Some(_)) => None,
        Err(e) => {
            log_event!(debug, Event::StoreFailed, what = "job", error = %e);
            owner.state.borrow_mut().leftovers.removals.push(removal);
            None
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

/// Returns the objects of a job. Its own object goes first, so that objects left behind by a failure are
/// never loaded as a job. `None` if the store does not say how many parts there are.
async fn removal_of_job(owner: &Owner, job: JobId, segments: u32) -> Option<Removal> {
    let id = job.as_str();
    let parts = match owner.store.read_json::<StoredJob>(CallClass::Listing, &job_key(id)).await {
        Ok(Some((stored, _))) => stored.parts,
        Ok(None) => 0,
        Err(e) => {
            log_event!(debug, Event::StoreFailed, what = "job", error = %e);
            return None;
        }
    };
    let mut keys = vec![job_key(id)];
    keys.extend((0..parts).map(|number| part_key(id, number)));
    keys.extend((0..segments).map(|number| segment_key(id, number)));
    Some(Removal { job, keys })
}

/// Deletes objects, those that are gone already among them. Returns false if a call to the store failed.
async fn delete_objects(owner: &Owner, keys: &[String]) -> bool {
    for key in keys {
        let deleted = match owner.store.read(CallClass::Listing, key).await {
            Ok(Some(object)) => {
                owner.store.delete(CallClass::Listing, key, object.version).await.is_ok()
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
