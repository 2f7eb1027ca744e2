//! Loads jobs and results from the platform's store.

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
use mulberry_policy::job_log::JobOrigin;
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
use crate::owner::copy::use_copies;

/// Wait after a failed load, in milliseconds.
const RETRY_MS: u64 = 100;

/// Time between looks at what has been read, in milliseconds.
const CURRENT_LOOK_MS: u64 = 10;

/// Time in which jobs are due if their route is not known, in milliseconds.
const DEFAULT_COMPLETION_MS: u64 = 18_000;

/// Loads every job after the lease was taken, then begins to serve.
pub(crate) async fn load_jobs(owner: Rc<Owner>) {
    let generation = owner.state.borrow().generation;
    wait_until_current(&owner).await;
    loop {
        let still_held = {
            let state = owner.state.borrow();
            state.generation == generation && state.lease.is_held()
        };
        if !still_held {
            return;
        }
        let started = owner.now();
        match read_and_seal(&owner).await {
            Ok(jobs) => {
                let mut state = owner.state.borrow_mut();
                if state.generation != generation {
                    return;
                }
                let open = jobs.values().filter(|j| !j.is_settled()).count();
                let span_ms = owner.now().since(started);
                log_event!(info, Event::JobsLoaded, jobs = jobs.len(), open, span_ms);
                state.jobs = jobs;
                use_copies(&mut state, owner.now());
                state.serving = true;
                drop(state);
                owner.work.notify_one();
                return;
            }
            Err(e) => {
                log_event!(debug, Event::StoreFailed, what = "jobs", error = %e);
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Waits until the configuration and the endpoints were read after the lease was taken. What was known
/// from before may be old.
async fn wait_until_current(owner: &Owner) {
    let since = owner.now();
    let is_read = |read: &Cell<Option<Millis>>| read.get().is_some_and(|at| at >= since);
    while !is_read(&owner.configuration_read) || !is_read(&owner.endpoints_read) {
        tokio::time::sleep(Duration::from_millis(CURRENT_LOOK_MS)).await;
        if !owner.state.borrow().lease.is_held() {
            return;
        }
    }
}

async fn read_and_seal(owner: &Owner) -> Result<IndexMap<JobId, JobLog>, PlatformError> {
    let mut jobs = read_all(owner).await?;
    let open = jobs.iter_mut().filter(|(_, job)| !job.is_settled());
    let sealing = open.map(|(id, job)| seal_job(owner, id, job));
    futures_util::future::try_join_all(sealing).await?;
    Ok(jobs)
}

/// Adds an empty segment, so that an owner before this one can add no further results. Those that it
/// added meanwhile are taken first.
async fn seal_job(owner: &Owner, id: &JobId, job: &mut JobLog) -> Result<(), PlatformError> {
    let seal = Segment { results: Vec::new(), ends: false };
    while !job.is_settled() {
        let key = segment_key(id.as_str(), job.next_segment());
        match owner.store.create(CallClass::Commit, &key, to_json(&seal)?).await? {
            WriteOutcome::Written(_) => {
                job.adopt_segment(seal);
                return Ok(());
            }
            WriteOutcome::Conflict(Some(object)) => adopt_segment(job, &object)?,
            WriteOutcome::Conflict(None) => {}
        }
    }
    Ok(())
}

async fn read_all(owner: &Owner) -> Result<IndexMap<JobId, JobLog>, PlatformError> {
    let list = |prefix| owner.store.list_all(CallClass::Commit, prefix, true);
    let (stored, _) = list("jobs/").await?;
    let (parts, _) = list("job-parts/").await?;
    let (segments, _) = list("results/").await?;
    let parts = group(&parts);
    let segments = group(&segments);
    let mut jobs = IndexMap::new();
    for object in &stored {
        let id = name_of(object);
        let job_parts = parts.get(id).cloned().unwrap_or_default();
        match make_job(owner, object, &job_parts) {
            Ok(mut job) => {
                for segment in segments.get(id).into_iter().flatten() {
                    adopt_segment(&mut job, segment)?;
                }
                jobs.insert(JobId::new(id), job);
            }
            Err(e) => log_event!(error, Event::JobUnreadable, job = id, error = %e),
        }
    }
    Ok(jobs)
}

/// Loads one job that the owner does not know, if there is one.
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
    let mut job = make_job(owner, &object, &parts.iter().collect::<Vec<_>>())?;
    while let Some(segment) =
        owner.store.read(class, &segment_key(id.as_str(), job.next_segment())).await?
    {
        adopt_segment(&mut job, &segment)?;
    }
    seal_job(owner, id, &mut job).await?;
    insert_job(&mut owner.state.borrow_mut(), id, job);
    owner.work.notify_one();
    Ok(true)
}

/// Adds a job unless it is known already.
pub(crate) fn insert_job(state: &mut OwnerState, id: &JobId, job: JobLog) {
    state.jobs.entry(id.clone()).or_insert(job);
}

fn make_job(owner: &Owner, object: &Object, parts: &[&Object]) -> Result<JobLog, PlatformError> {
    let mut stored: StoredJob = parse_json(object)?;
    let mut items = std::mem::take(&mut stored.items);
    for part in parts {
        items.extend(parse_json::<Vec<JobItem>>(part)?);
    }
    Ok(new_job(owner, &stored, items))
}

/// Makes the state of a job that was stored.
pub(crate) fn new_job(owner: &Owner, stored: &StoredJob, items: Vec<JobItem>) -> JobLog {
    let configuration = owner.fleet.configuration.load();
    let route = configuration.as_ref().and_then(|c| c.route_by_name(&stored.route));
    let completion_ms = route.map_or(DEFAULT_COMPLETION_MS, |r| r.batch.completion_ms);
    let unix_ms = owner.fleet.clock.unix_s() * 1_000;
    let age_ms = unix_ms.saturating_sub(stored.accepted_unix_ms).min(completion_ms);
    let now = owner.now();
    let origin = JobOrigin {
        route: stored.route.clone(),
        host: stored.host.clone(),
        due_at: now + (completion_ms - age_ms),
        now,
    };
    JobLog::new(origin, items)
}

/// Takes a segment as the store holds it, if it is the next one.
pub(crate) fn adopt_segment(job: &mut JobLog, object: &Object) -> Result<(), PlatformError> {
    let number = split_numbered_key(&object.key).map(|(_, number)| number);
    if number == Some(job.next_segment()) {
        job.adopt_segment(parse_json::<Segment>(object)?);
    }
    Ok(())
}

/// Groups numbered objects by the name before the number, in order of the numbers.
fn group(objects: &[Object]) -> IndexMap<&str, Vec<&Object>> {
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

fn name_of(object: &Object) -> &str {
    object.key.split_once('/').map_or(&object.key, |(_, name)| name)
}
