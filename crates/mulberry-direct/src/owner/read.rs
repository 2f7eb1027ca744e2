//! Reads results and item bodies, and ends jobs.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;

use mulberry_policy::job_log::JobLog;
use mulberry_protocol::batch_job::ItemResult;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::dialect::Dialect;
use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::accept::not_owner;
use crate::owner::load::load_job;

/// Most bytes of results in one page.
const MAX_PAGE_BYTES: usize = 900_000;

/// Reads a page of results; waits up to `wait_ms` for one.
pub(crate) async fn read_results(
    owner: &Owner,
    job: &JobId,
    after: usize,
    wait_ms: u64,
) -> JobReply {
    let until = owner.now() + wait_ms;
    if let Some(reply) = find_job(owner, job).await {
        return reply;
    }
    loop {
        let listed = owner.listed.notified();
        {
            let state = owner.state.borrow();
            let Some(log) = state.jobs.get(job) else { return JobReply::Refused(not_owner()) };
            let waits = log.listed().len() <= after && !log.is_settled() && owner.now() < until;
            if !waits {
                return JobReply::Page(write_page(&*owner.fleet.dialect, log, after));
            }
        }
        let left = Duration::from_millis(until.since(owner.now()));
        let _in_time = tokio::time::timeout(left, listed).await;
    }
}

fn write_page(dialect: &dyn Dialect, log: &JobLog, after: usize) -> Bytes {
    let listed = log.listed().get(after..).unwrap_or_default();
    let mut bytes = 0;
    let fits = |r: &&ItemResult| {
        bytes += r.text.len() + r.item.len();
        bytes <= MAX_PAGE_BYTES
    };
    let count = listed.iter().take_while(fits).count().max(1).min(listed.len());
    dialect.encode_results(log.items().len(), after + count, &listed[..count])
}

/// Reads the body of an item that is not listed.
pub(crate) async fn read_body(owner: &Owner, job: &JobId, item: &str) -> JobReply {
    if let Some(reply) = find_job(owner, job).await {
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

/// Time between looks at whether a job has ended, in milliseconds.
const END_LOOK_MS: u64 = 20;

/// Ends a job: recorded in its list first, so that it holds whatever happens next.
pub(crate) async fn end_job(owner: &Owner, job: &JobId, left_ms: u64) -> JobReply {
    let until = owner.now() + left_ms;
    if let Some(reply) = find_job(owner, job).await {
        return reply;
    }
    loop {
        {
            let mut state = owner.state.borrow_mut();
            let Some(log) = state.jobs.get_mut(job) else {
                return JobReply::Refused(not_owner());
            };
            if log.is_ended() {
                break;
            }
            log.request_end();
        }
        if owner.now() >= until {
            let refusal =
                Refusal::not_run(RefusalReason::StoreUnavailable, "the end is not stored");
            return JobReply::Refused(refusal);
        }
        tokio::time::sleep(Duration::from_millis(END_LOOK_MS)).await;
    }
    stop_runs(owner, job);
    log_event!(info, Event::JobEnded, job = %job, cause = "caller");
    owner.listed.notify_waiters();
    owner.work.notify_one();
    JobReply::Ended
}

fn stop_runs(owner: &Owner, job: &JobId) {
    owner.state.borrow_mut().runs.retain(|(id, _), run| {
        if id == job {
            run.abort.abort();
        }
        id != job
    });
}

/// Makes sure that the job is known. Returns the answer if it can't be.
async fn find_job(owner: &Owner, job: &JobId) -> Option<JobReply> {
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
