//! Serves reads of results and item bodies, and the ending of jobs.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;

use mulberry_policy::job_log::JobLog;
use mulberry_protocol::batch_job::ItemResult;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;

use crate::dialect::Dialect;
use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::load::load_job;
use crate::owner::submit::not_owner;

/// Maximum size of the results in one page, in bytes. A larger result has a page of its own.
const MAX_PAGE_BYTES: usize = 900_000;

/// Returns the page of results after the first `after` ones. If there are none, waits up to
/// `wait_ms` for new results or the end of the job.
pub(crate) async fn read_results(
    owner: &Owner,
    job: &JobId,
    account: Option<&ClientName>,
    after: usize,
    wait_ms: u64,
) -> JobReply {
    let until = owner.now() + wait_ms;
    if let Some(reply) = ensure_job_readable(owner, job, account).await {
        return reply;
    }
    loop {
        let changed = owner.results_changed.notified();
        {
            let state = owner.state.borrow();
            let Some(log) = state.jobs.get(job) else { return JobReply::Refused(not_owner()) };
            let must_wait = log.listed().len() <= after && !log.is_settled() && owner.now() < until;
            if !must_wait {
                return JobReply::Page(encode_page(&*owner.shared.dialect, log, after));
            }
        }
        let left = Duration::from_millis(until.since(owner.now()));
        let _in_time = tokio::time::timeout(left, changed).await;
    }
}

fn encode_page(dialect: &dyn Dialect, log: &JobLog, after: usize) -> Bytes {
    let listed = log.listed().get(after..).unwrap_or_default();
    let mut bytes = 0;
    let fits = |r: &&ItemResult| {
        bytes += r.text.len() + r.item.len();
        bytes <= MAX_PAGE_BYTES
    };
    let count = listed.iter().take_while(fits).count().max(1).min(listed.len());
    dialect.encode_results(log.items().len(), after + count, &listed[..count])
}

/// Returns the request body of an item whose result is not listed yet.
pub(crate) async fn read_item_body(
    owner: &Owner,
    job: &JobId,
    account: Option<&ClientName>,
    item: &str,
) -> JobReply {
    if let Some(reply) = ensure_job_readable(owner, job, account).await {
        return reply;
    }
    let state = owner.state.borrow();
    let Some(log) = state.jobs.get(job) else { return JobReply::Refused(not_owner()) };
    let body = log.find_unlisted(item).map(|i| BASE64_STANDARD.decode(i.body.as_bytes()));
    match body {
        Some(Ok(body)) => JobReply::Body(Bytes::from(body)),
        Some(Err(e)) => {
            JobReply::Refused(Refusal::not_run(RefusalReason::Malformed, e.to_string()))
        }
        None => JobReply::NotFound,
    }
}

/// Interval at which a pending end of a job is checked, in milliseconds.
const END_POLL_INTERVAL_MS: u64 = 20;

/// Ends a job. The end is written to the job's segments before the reply, so that it also holds for
/// later owners.
pub(crate) async fn end_job(
    owner: &Owner,
    job: &JobId,
    account: Option<&ClientName>,
    left_ms: u64,
) -> JobReply {
    let until = owner.now() + left_ms;
    if let Some(reply) = ensure_job_readable(owner, job, account).await {
        return reply;
    }
    loop {
        {
            let mut state = owner.state.borrow_mut();
            let Some(log) = state.jobs.get_mut(job) else {
                // The end may be among the writes of an owner that has lost the lease meanwhile.
                return JobReply::Refused(Refusal { run: RunState::Unknown, ..not_owner() });
            };
            if log.is_ended() {
                break;
            }
            log.request_end();
        }
        if owner.now() >= until {
            let detail = "the end is not stored yet";
            let refusal = Refusal::unknown(RefusalReason::StoreUnavailable, detail);
            return JobReply::Refused(refusal);
        }
        tokio::time::sleep(Duration::from_millis(END_POLL_INTERVAL_MS)).await;
    }
    abort_runs(owner, job);
    log_event!(info, Event::JobEnded, job = %job, cause = "caller");
    owner.results_changed.notify_waiters();
    owner.work.notify_one();
    JobReply::Ended
}

fn abort_runs(owner: &Owner, job: &JobId) {
    owner.state.borrow_mut().runs.retain(|(id, _), run| {
        if id == job {
            run.abort.abort();
        }
        id != job
    });
}

/// Loads a job like [`ensure_job_loaded`]. Replies that it doesn't exist if it belongs to another client
/// account than the caller's.
async fn ensure_job_readable(
    owner: &Owner,
    job: &JobId,
    account: Option<&ClientName>,
) -> Option<JobReply> {
    if let Some(reply) = ensure_job_loaded(owner, job).await {
        return Some(reply);
    }
    let state = owner.state.borrow();
    let log = state.jobs.get(job)?;
    (!may_access(owner, log, account)).then_some(JobReply::NotFound)
}

/// Returns whether a caller of the account may access a job. Jobs without an account belong to everybody,
/// and without accounts in the configuration nobody has a key.
pub(crate) fn may_access(owner: &Owner, job: &JobLog, account: Option<&ClientName>) -> bool {
    let configuration = owner.shared.configuration.load();
    let has_accounts = configuration.as_ref().is_some_and(|c| c.accounts.is_some());
    match (&job.account, account) {
        (None, _) => true,
        (Some(_), None) => !has_accounts,
        (Some(job), Some(caller)) => job == caller,
    }
}

/// Loads a job from the store if the state does not have it. Returns the reply to send if that is
/// not possible.
async fn ensure_job_loaded(owner: &Owner, job: &JobId) -> Option<JobReply> {
    if !owner.state.borrow().serving {
        return Some(JobReply::Refused(not_owner()));
    }
    if owner.state.borrow().jobs.contains_key(job) {
        return None;
    }
    match load_job(owner, job).await {
        Ok(true) => None,
        Ok(false) => Some(JobReply::NotFound),
        Err(e) => Some(JobReply::Refused(e.into_refusal())),
    }
}
