//! Loads jobs and results from the platform's store, and fences out earlier owners.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::Object;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::job_log::JobLog;
use mulberry_policy::job_origin::JobOrigin;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::Segment;
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
use crate::owner::OwnerState;
use crate::owner::copy::import_copies;
use crate::owner::retention::Leftovers;

/// Delay after a failed load, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// Interval at which a new owner checks whether its watches are up to date, in milliseconds.
const WATCH_POLL_INTERVAL_MS: u64 = 10;

/// Loads all jobs after the lease was acquired, then starts to serve.
pub(crate) async fn load_jobs(owner: Rc<Owner>) {
    let generation = owner.state.borrow().generation;
    wait_for_fresh_watches(&owner).await;
    loop {
        let still_held = {
            let state = owner.state.borrow();
            state.generation == generation && state.lease.is_held()
        };
        if !still_held {
            return;
        }
        let started = owner.now();
        match load_and_fence(&owner).await {
            Ok((jobs, leftovers)) => {
                let mut state = owner.state.borrow_mut();
                if state.generation != generation {
                    return;
                }
                let open = jobs.values().filter(|j| !j.is_settled()).count();
                let duration_ms = owner.now().since(started);
                log_event!(info, Event::JobsLoaded, jobs = jobs.len(), open, span_ms = duration_ms);
                state.jobs = jobs;
                state.leftovers = leftovers;
                import_copies(&mut state, owner.now());
                state.serving = true;
                drop(state);
                owner.work.notify_one();
                return;
            }
            Err(e) => {
                log_event!(debug, Event::StoreFailed, what = "jobs", error = %e);
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Waits until the configuration and the endpoints have been listed since the lease was acquired.
/// What was known before may be out of date.
async fn wait_for_fresh_watches(owner: &Owner) {
    let since = owner.now();
    let is_fresh = |read: &Cell<Option<Millis>>| read.get().is_some_and(|at| at >= since);
    while !is_fresh(&owner.configuration_listed_at) || !is_fresh(&owner.endpoints_listed_at) {
        tokio::time::sleep(Duration::from_millis(WATCH_POLL_INTERVAL_MS)).await;
        if !owner.state.borrow().lease.is_held() {
            return;
        }
    }
}

async fn load_and_fence(
    owner: &Owner,
) -> Result<(IndexMap<JobId, JobLog>, Leftovers), PlatformError> {
    let (mut jobs, leftovers) = load_all(owner).await?;
    let open = jobs.iter_mut().filter(|(_, job)| !job.is_settled());
    let fencing = open.map(|(id, job)| async move {
        let fenced = fence_job(owner, id, job).await;
        Ok(pass_over_unreadable(id, fenced)?.is_none().then(|| id.clone()))
    });
    let unreadable = futures_util::future::try_join_all(fencing).await?;
    for id in unreadable.into_iter().flatten() {
        jobs.shift_remove(&id);
    }
    Ok((jobs, leftovers))
}

/// Passes a result on, or none if the job's objects can't be read: it is left out then, and the others
/// are served. Fails if the store did.
fn pass_over_unreadable<T>(
    id: &JobId,
    result: Result<T, PlatformError>,
) -> Result<Option<T>, PlatformError> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(e @ PlatformError::BadAnswer { .. }) => {
            log_event!(error, Event::JobUnreadable, job = id.as_str(), error = %e);
            Ok(None)
        }
        Err(e) => Err(e),
    }
}

/// Writes an empty segment, which makes the next conditional write of an earlier owner fail, so
/// that it can add no further results. Segments that it has written in the meantime are applied
/// first.
async fn fence_job(owner: &Owner, id: &JobId, job: &mut JobLog) -> Result<(), PlatformError> {
    let fence = Segment::default();
    while !job.is_settled() {
        let key = segment_key(id.as_str(), job.next_segment());
        match owner.store.create(CallClass::Commit, &key, to_json(&fence)?).await? {
            WriteOutcome::Written(_) => {
                job.adopt_segment(fence);
                return Ok(());
            }
            WriteOutcome::Conflict(Some(object)) => apply_stored_segment(job, &object)?,
            WriteOutcome::Conflict(None) => {}
        }
    }
    Ok(())
}

async fn load_all(owner: &Owner) -> Result<(IndexMap<JobId, JobLog>, Leftovers), PlatformError> {
    let list = |prefix| owner.store.list_all(CallClass::Commit, prefix, true);
    let (stored, _) = list("jobs/").await?;
    let (parts, _) = list("job-parts/").await?;
    let (segments, _) = list("results/").await?;
    // Jobs that can't be read are jobs all the same.
    let ids = stored.iter().map(|object| JobId::new(job_id_in_key(object))).collect();
    let keys = parts.iter().chain(&segments).map(|object| object.key.clone()).collect();
    let leftovers = Leftovers::find(&ids, keys, owner.now());
    let parts = group_by_job(&parts);
    let segments = group_by_job(&segments);
    let mut jobs = IndexMap::new();
    for object in &stored {
        let id = job_id_in_key(object);
        let job_parts = parts.get(id).cloned().unwrap_or_default();
        let segments = segments.get(id).into_iter().flatten();
        let id = JobId::new(id);
        let job = parse_job_log(owner, object, &job_parts).and_then(|mut job| {
            segments.copied().try_for_each(|s| apply_stored_segment(&mut job, s)).map(|()| job)
        });
        if let Some(job) = pass_over_unreadable(&id, job)? {
            jobs.insert(id, job);
        }
    }
    Ok((jobs, leftovers))
}

/// Loads and fences one job that is not in the state. Returns false if the store has no such job.
pub(crate) async fn load_job(owner: &Owner, id: &JobId) -> Result<bool, PlatformError> {
    let class = CallClass::Commit;
    let Some(object) = owner.store.read(class, &job_key(id.as_str())).await? else {
        return Ok(false);
    };
    let stored: StoredJob = parse_json(&object)?;
    let mut parts = Vec::new();
    for number in 0..stored.parts {
        parts.extend(owner.store.read(class, &part_key(id.as_str(), number)).await?);
    }
    let mut job = parse_job_log(owner, &object, &parts.iter().collect::<Vec<_>>())?;
    while let Some(segment) =
        owner.store.read(class, &segment_key(id.as_str(), job.next_segment())).await?
    {
        apply_stored_segment(&mut job, &segment)?;
    }
    fence_job(owner, id, &mut job).await?;
    insert_job(&mut owner.state.borrow_mut(), id, job);
    owner.work.notify_one();
    Ok(true)
}

/// Adds a job unless the state has it already.
pub(crate) fn insert_job(state: &mut OwnerState, id: &JobId, job: JobLog) {
    state.jobs.entry(id.clone()).or_insert(job);
}

fn parse_job_log(
    owner: &Owner,
    object: &Object,
    parts: &[&Object],
) -> Result<JobLog, PlatformError> {
    let mut stored: StoredJob = parse_json(object)?;
    let mut items = std::mem::take(&mut stored.items);
    for part in parts {
        items.extend(parse_json::<Vec<JobItem>>(part)?);
    }
    Ok(build_job_log(owner, &stored, items))
}

/// Builds the state of a stored job. Its due time counts from its acceptance by the wall clock.
pub(crate) fn build_job_log(owner: &Owner, stored: &StoredJob, items: Vec<JobItem>) -> JobLog {
    let configuration = owner.shared.configuration.load();
    let address = stored.address(&items);
    let route = configuration.as_ref().and_then(|c| c.route_of_job(&address));
    // Without its route and without what was promised at its acceptance, nothing says when it is due.
    let completion_ms = route.map(|r| r.batch.completion_ms).or(stored.completion_ms).unwrap_or(0);
    let unix_ms = owner.shared.clock.unix_s() * 1_000;
    let age_ms = unix_ms.saturating_sub(stored.accepted_unix_ms).min(completion_ms);
    let now = owner.now();
    let origin = JobOrigin {
        route: stored.route.clone(),
        address,
        account: stored.account.clone(),
        due_at: now + (completion_ms - age_ms),
        now,
    };
    JobLog::new(origin, items)
}

/// Applies a segment read from the store if it is the job's next one.
pub(crate) fn apply_stored_segment(job: &mut JobLog, object: &Object) -> Result<(), PlatformError> {
    let number = split_numbered_key(&object.key).map(|(_, number)| number);
    if number == Some(job.next_segment()) {
        job.adopt_segment(parse_json::<Segment>(object)?);
    }
    Ok(())
}

/// Groups objects whose keys end in a number by their job, sorted by number.
fn group_by_job(objects: &[Object]) -> IndexMap<&str, Vec<&Object>> {
    let mut groups: IndexMap<&str, Vec<(u32, &Object)>> = IndexMap::new();
    for object in objects {
        if let Some((job, number)) = split_numbered_key(&object.key) {
            groups.entry(job).or_default().push((number, object));
        }
    }
    let sorted = groups.into_iter().map(|(job, mut list)| {
        list.sort_by_key(|(number, _)| *number);
        (job, list.into_iter().map(|(_, object)| object).collect())
    });
    sorted.collect()
}

fn job_id_in_key(object: &Object) -> &str {
    object.key.split_once('/').map_or(&object.key, |(_, name)| name)
}
