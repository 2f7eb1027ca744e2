//! Accepts jobs: a job is the system's once the store has acknowledged it, and not before.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::MAX_SEGMENT_BYTES;
use mulberry_protocol::batch_job::StoredJob;
use mulberry_protocol::batch_job::job_key;
use mulberry_protocol::batch_job::part_key;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::Submission;
use crate::owner::load::insert_job;
use crate::owner::load::load_job;
use crate::owner::load::new_job;

/// Time between looks at a submission that another task writes, in milliseconds.
const LOOK_MS: u64 = 30;

/// Wait before a write without a known end is tried again, in milliseconds.
const SETTLE_MS: u64 = 250;

/// Time after which a caller may try again while the store is away, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// A submission as it came.
pub(crate) struct NewJob {
    pub(crate) job: JobId,
    pub(crate) route: String,
    pub(crate) host: String,
    pub(crate) body: Bytes,
    pub(crate) left_ms: u64,
}

/// Accepts a job, or says why not.
pub(crate) async fn accept(owner: &Rc<Owner>, new: NewJob) -> JobReply {
    let until = owner.now() + new.left_ms;
    if let Some(reply) = answer_known(owner, &new.job, until).await {
        return reply;
    }
    let items = match owner.fleet.dialect.parse_job(&new.body) {
        Ok(items) => items,
        Err(e) => return refused(Refusal::not_run(RefusalReason::Malformed, e.to_string())),
    };
    if !wait_until_certain(owner, until).await {
        let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, "the lease is not certain");
        return refused(refusal.retry_after(RETRY_AFTER_MS));
    }
    let tokens: u64 = items.iter().map(|i| i.tokens).sum();
    let route: Arc<str> = Arc::from(new.route.as_str());
    {
        let mut state = owner.state.borrow_mut();
        let waiting = waiting_tokens(&state, &route);
        let most = max_waiting(owner, &route);
        if most > 0 && waiting + tokens > most {
            log_event!(info, Event::JobRefused, job = %new.job, reason = "over-quota", waiting,
                tokens, most);
            return JobReply::OverQuota;
        }
        let submission = Submission { route: route.clone(), tokens };
        state.submissions.insert(new.job.clone(), submission);
    }
    let write = write_job(owner.clone(), new.job.clone(), route, new.host, items);
    let left = Duration::from_millis(until.since(owner.now()));
    // The write goes on when the caller's time is over: only its end tells what was stored.
    match tokio::time::timeout(left, actix_rt::spawn(write)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => {
            refused(Refusal::unknown(RefusalReason::StoreUnavailable, "the write has no known end"))
        }
    }
}

/// Answers for a job that is known, being written, or stored by an earlier owner.
async fn answer_known(owner: &Owner, job: &JobId, until: Millis) -> Option<JobReply> {
    loop {
        {
            let state = owner.state.borrow();
            if !state.serving {
                return Some(refused(not_owner()));
            }
            if state.jobs.contains_key(job) {
                return Some(JobReply::Accepted);
            }
            if !state.submissions.contains_key(job) {
                // A submission that another task gave up on is begun anew.
                return None;
            }
        }
        if owner.now() >= until {
            let detail = "the write has no known end";
            return Some(refused(Refusal::unknown(RefusalReason::StoreUnavailable, detail)));
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

async fn wait_until_certain(owner: &Owner, until: Millis) -> bool {
    loop {
        if owner.state.borrow().lease.is_exclusive(owner.now()) {
            return true;
        }
        if owner.now() >= until || !owner.state.borrow().serving {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Writes a job until its end is known.
async fn write_job(
    owner: Rc<Owner>,
    job: JobId,
    route: Arc<str>,
    host: String,
    items: Vec<JobItem>,
) -> JobReply {
    let generation = owner.state.borrow().generation;
    let (first, rest) = split_items(&items);
    let stored = StoredJob {
        route,
        host: Arc::from(host),
        accepted_unix_ms: owner.fleet.clock.unix_s() * 1_000,
        parts: rest.len() as u32,
        items: first.to_vec(),
    };
    let mut uncertain = false;
    loop {
        let reply = match write_once(&owner, &job, &stored, &rest).await {
            Ok(WriteOutcome::Written(_)) => {
                let log = new_job(&owner, &stored, items.clone());
                let mut state = owner.state.borrow_mut();
                if state.generation == generation {
                    insert_job(&mut state, &job, log);
                }
                log_event!(info, Event::JobAccepted, job = %job, items = items.len());
                JobReply::Accepted
            }
            // An earlier submission of the same job was stored.
            Ok(WriteOutcome::Conflict(_)) => match load_job(&owner, &job).await {
                Ok(_) => JobReply::Accepted,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
                    uncertain = true;
                    continue;
                }
            },
            Err(e) if is_uncertain(&e) || uncertain => {
                uncertain = true;
                if owner.state.borrow().generation != generation {
                    return refused(Refusal::unknown(
                        RefusalReason::StoreUnavailable,
                        e.to_string(),
                    ));
                }
                tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
                continue;
            }
            Err(e) => refused(e.into_refusal()),
        };
        owner.state.borrow_mut().submissions.shift_remove(&job);
        owner.work.notify_one();
        return reply;
    }
}

async fn write_once(
    owner: &Owner,
    job: &JobId,
    stored: &StoredJob,
    rest: &[&[JobItem]],
) -> Result<WriteOutcome, PlatformError> {
    for (number, part) in rest.iter().enumerate() {
        let key = part_key(job.as_str(), number as u32);
        // Parts are the same in every submission of a job, so that an earlier one serves as well.
        owner.store.create(CallClass::Commit, &key, to_json(part)?).await?;
    }
    owner.store.create(CallClass::Commit, &job_key(job.as_str()), to_json(stored)?).await
}

/// Splits the items into those stored with the job and further parts.
fn split_items(items: &[JobItem]) -> (&[JobItem], Vec<&[JobItem]>) {
    let mut parts: Vec<&[JobItem]> = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (index, item) in items.iter().enumerate() {
        let size = item.body.len() + item.path.len() + ITEM_OVERHEAD_BYTES;
        if bytes + size > MAX_SEGMENT_BYTES && index > start {
            parts.push(&items[start..index]);
            (start, bytes) = (index, 0);
        }
        bytes += size;
    }
    parts.push(&items[start..]);
    let first = parts.remove(0);
    (first, parts)
}

/// Bytes of an item's headers and names, about.
const ITEM_OVERHEAD_BYTES: usize = 400;

fn is_uncertain(error: &PlatformError) -> bool {
    matches!(error, PlatformError::NoAnswer { .. } | PlatformError::BadAnswer { .. })
}

fn waiting_tokens(state: &OwnerState, route: &str) -> u64 {
    let jobs = state.jobs.values().filter(|j| &*j.route == route);
    let stored: u64 = jobs.map(|j| j.waiting_tokens()).sum();
    let coming = state.submissions.values().filter(|s| &*s.route == route);
    stored + coming.map(|s| s.tokens).sum::<u64>()
}

fn max_waiting(owner: &Owner, route: &str) -> u64 {
    let configuration = owner.fleet.configuration.load();
    let route = configuration.as_ref().and_then(|c| c.route_by_name(route));
    route.map_or(0, |r| r.batch.max_waiting_tokens)
}

/// Makes the answer of a process that does not own the jobs.
pub(crate) fn not_owner() -> Refusal {
    Refusal::not_run(RefusalReason::NotReady, "this process does not own the jobs")
}

fn refused(refusal: Refusal) -> JobReply {
    JobReply::Refused(refusal)
}
