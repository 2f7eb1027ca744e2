//! Accepts submitted jobs. A job is accepted only once the store has acknowledged its write.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::job_log::JobLog;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::MAX_SEGMENT_BYTES;
use mulberry_protocol::batch_job::StoredJob;
use mulberry_protocol::batch_job::job_key;
use mulberry_protocol::batch_job::part_key;
use mulberry_protocol::event::Event;
use mulberry_protocol::job_address::JobAddress;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::time::Millis;

use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::PendingSubmission;
use crate::owner::load::build_job_log;
use crate::owner::load::insert_job;
use crate::owner::load::load_job;
use crate::owner::read::may_access;

/// Interval at which a waiting submission checks the state again, in milliseconds.
const POLL_INTERVAL_MS: u64 = 30;

/// Delay before a write whose outcome is unknown is tried again, in milliseconds.
const WRITE_RETRY_DELAY_MS: u64 = 250;

/// `Retry-After` of submissions refused because the lease is not confirmed, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// The fields of `JobCall::Submit`.
pub(crate) struct SubmitRequest {
    pub(crate) job: JobId,
    pub(crate) route: String,
    pub(crate) host: String,
    pub(crate) path: Option<String>,
    pub(crate) account: Option<ClientName>,
    pub(crate) body: Bytes,
    pub(crate) left_ms: u64,
}

/// A job that is to be written.
struct Submitted {
    route: Arc<Route>,
    address: JobAddress,
    account: Option<ClientName>,
    items: Vec<JobItem>,
}

/// Accepts and stores a job, or returns why it is refused.
pub(crate) async fn submit_job(owner: &Rc<Owner>, req: SubmitRequest) -> JobReply {
    let until = owner.now() + req.left_ms;
    if let Some(reply) = reply_if_known(owner, &req.job, req.account.as_ref(), until).await {
        return reply;
    }
    let items = match owner.shared.dialect.parse_job(&req.body) {
        Ok(items) => items,
        Err(e) => return refuse(Refusal::not_run(RefusalReason::Malformed, e.to_string())),
    };
    while !owner.state.borrow().lease.is_exclusive(owner.now()) {
        if !wait_for_exclusive_lease(owner, until).await {
            let detail = "the lease is not certain";
            let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, detail);
            return refuse(refusal.retry_after(RETRY_AFTER_MS));
        }
        // Another submission of the job may have begun meanwhile. From here to the record of this one,
        // nothing is waited for.
        if let Some(reply) = reply_if_known(owner, &req.job, req.account.as_ref(), until).await {
            return reply;
        }
    }
    let tokens: u64 = items.iter().map(|i| i.tokens).sum();
    let path = req.path.as_deref().map(Arc::from);
    let name_at_entry = Arc::from(req.route.as_str());
    let address = JobAddress::new(Arc::from(req.host), path, &name_at_entry, &items);
    let configuration = owner.shared.configuration.load_full();
    let route = configuration.as_ref().and_then(|c| c.route_of_job(&address)).cloned();
    let (Some(configuration), Some(route)) = (configuration, route) else {
        return refuse(unknown_route(&req.route, &address));
    };
    let pending =
        PendingSubmission { address: address.clone(), account: req.account.clone(), tokens };
    if !reserve_tokens(owner, &req.job, &configuration, &route, pending) {
        return JobReply::OverQuota;
    }
    let submitted = Submitted { route, address, account: req.account, items };
    let write = write_until_settled(owner.clone(), req.job.clone(), submitted);
    let left = Duration::from_millis(until.since(owner.now()));
    // The write continues after the caller's timeout, because only its end shows whether the job
    // was stored.
    match tokio::time::timeout(left, actix_rt::spawn(write)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => {
            refuse(Refusal::unknown(RefusalReason::StoreUnavailable, "the write has no known end"))
        }
    }
}

/// Counts the tokens of a submission as waiting on its route until it is stored. Returns false if the quota of the
/// route has no room for them.
fn reserve_tokens(
    owner: &Owner,
    job: &JobId,
    configuration: &Configuration,
    route: &Route,
    submission: PendingSubmission,
) -> bool {
    let mut state = owner.state.borrow_mut();
    let (tokens, account) = (submission.tokens, submission.account.as_ref());
    let waiting = waiting_tokens(&state, configuration, route, account);
    let max_tokens = route.batch.max_waiting_tokens;
    if max_tokens > 0 && waiting + tokens > max_tokens {
        log_event!(info, Event::JobRefused, job = %job, reason = "over-quota", waiting,
            account = account.map_or("", ClientName::as_str), tokens, most = max_tokens);
        return false;
    }
    state.pending_submissions.insert(job.clone(), submission);
    true
}

/// Returns the reply for a job that is already known. Waits while another submission of the job is
/// being written. Returns `None` if the job is to be written.
async fn reply_if_known(
    owner: &Owner,
    job: &JobId,
    account: Option<&ClientName>,
    until: Millis,
) -> Option<JobReply> {
    loop {
        {
            let state = owner.state.borrow();
            if !state.serving {
                return Some(refuse(not_owner()));
            }
            if let Some(known) = state.jobs.get(job) {
                return Some(reply_to_repeat(owner, known, account));
            }
            if !state.pending_submissions.contains_key(job) {
                // No other submission of the job is being written, or it has failed.
                return None;
            }
        }
        if owner.now() >= until {
            let detail = "the write has no known end";
            return Some(refuse(Refusal::unknown(RefusalReason::StoreUnavailable, detail)));
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Returns the reply to a submission whose job exists already.
fn reply_to_repeat(owner: &Owner, known: &JobLog, account: Option<&ClientName>) -> JobReply {
    if may_access(owner, known, account) {
        return JobReply::Accepted;
    }
    let detail = "another client account has a job with this ID";
    refuse(Refusal::not_run(RefusalReason::Conflict, detail))
}

/// Waits until the last renewal of the lease is so recent that no other process can have acquired
/// it. Returns false if that is not the case by `until`, or if the lease is lost.
async fn wait_for_exclusive_lease(owner: &Owner, until: Millis) -> bool {
    loop {
        if owner.state.borrow().lease.is_exclusive(owner.now()) {
            return true;
        }
        if owner.now() >= until || !owner.state.borrow().serving {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Writes a job, and repeats the write until its outcome is known or the lease is lost.
async fn write_until_settled(owner: Rc<Owner>, job: JobId, submitted: Submitted) -> JobReply {
    let Submitted { route, address, account, items } = submitted;
    let generation = owner.state.borrow().generation;
    let (first, rest) = split_items(&items);
    let stored = StoredJob {
        route: route.name.clone(),
        host: address.host.clone(),
        path: address.path.known().cloned(),
        account: account.clone(),
        accepted_unix_ms: owner.shared.clock.unix_s() * 1_000,
        completion_ms: Some(route.batch.completion_ms),
        parts: rest.len() as u32,
        items: first.to_vec(),
    };
    let mut outcome_unknown = false;
    loop {
        let reply = match write_job_objects(&owner, &job, &stored, &rest).await {
            Ok(WriteOutcome::Written(_)) => {
                let log = build_job_log(&owner, &stored, items.clone());
                let mut state = owner.state.borrow_mut();
                if state.generation == generation {
                    insert_job(&mut state, &job, log);
                }
                let name = account.as_ref().map_or("", ClientName::as_str);
                log_event!(info, Event::JobAccepted, job = %job, account = name, items = items.len(),
                    route = &*route.name, host = &*address.host, path = stored.path.as_deref());
                JobReply::Accepted
            }
            // An earlier submission of the same job was stored.
            Ok(WriteOutcome::Conflict(_)) => match load_job(&owner, &job).await {
                Ok(_) => match owner.state.borrow().jobs.get(&job) {
                    Some(known) => reply_to_repeat(&owner, known, account.as_ref()),
                    // The store had the job a moment ago.
                    None => refuse(Refusal { run: RunState::Unknown, ..not_owner() }),
                },
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(WRITE_RETRY_DELAY_MS)).await;
                    outcome_unknown = true;
                    continue;
                }
            },
            Err(e) if e.may_have_taken_effect() || outcome_unknown => {
                outcome_unknown = true;
                if owner.state.borrow().generation != generation {
                    return refuse(Refusal::unknown(
                        RefusalReason::StoreUnavailable,
                        e.to_string(),
                    ));
                }
                tokio::time::sleep(Duration::from_millis(WRITE_RETRY_DELAY_MS)).await;
                continue;
            }
            Err(e) => refuse(e.into_refusal()),
        };
        owner.state.borrow_mut().pending_submissions.shift_remove(&job);
        owner.work.notify_one();
        return reply;
    }
}

async fn write_job_objects(
    owner: &Owner,
    job: &JobId,
    stored: &StoredJob,
    rest: &[&[JobItem]],
) -> Result<WriteOutcome, PlatformError> {
    for (number, part) in rest.iter().enumerate() {
        let key = part_key(job.as_str(), number as u32);
        // Every submission of a job has the same parts, so a part that exists already can be kept.
        owner.store.create(CallClass::Commit, &key, to_json(part)?).await?;
    }
    owner.store.create(CallClass::Commit, &job_key(job.as_str()), to_json(stored)?).await
}

/// Splits the items into those stored in the job's own object and those of further part objects, so
/// that no object is too large for the store.
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

/// Assumed size of an item's headers and field names, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 400;

/// Returns the tokens of all items of an account that wait or run on a route, those of pending
/// submissions included. Each job counts on the route to which its items belong now.
fn waiting_tokens(
    state: &OwnerState,
    configuration: &Configuration,
    route: &Route,
    account: Option<&ClientName>,
) -> u64 {
    let is_of_route = |address: &JobAddress| {
        configuration.route_of_job(address).is_some_and(|r| r.name == route.name)
    };
    let jobs = state.jobs.values();
    let jobs = jobs.filter(|j| j.account.as_ref() == account && is_of_route(&j.address));
    let stored: u64 = jobs.map(|j| j.waiting_tokens()).sum();
    let pending = state.pending_submissions.values();
    let pending = pending.filter(|s| s.account.as_ref() == account && is_of_route(&s.address));
    stored + pending.map(|s| s.tokens).sum::<u64>()
}

/// Returns the refusal of a job for whose route this process has no limits: its configuration is older or
/// newer than that of the entry, which asks again.
fn unknown_route(name_at_entry: &str, address: &JobAddress) -> Refusal {
    let JobAddress { host, path } = address;
    let detail = format!(
        "the configuration in force here has no batch route for {host} and {path:?}, {name_at_entry:?} at the entry"
    );
    Refusal::not_run(RefusalReason::NotReady, detail).retry_after(RETRY_AFTER_MS)
}

/// Returns the refusal of a process that does not own the batch jobs.
pub(crate) fn not_owner() -> Refusal {
    Refusal::not_run(RefusalReason::NotReady, "this process does not own the jobs")
}

fn refuse(refusal: Refusal) -> JobReply {
    JobReply::Refused(refusal)
}
