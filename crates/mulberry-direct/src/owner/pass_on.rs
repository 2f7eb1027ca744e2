//! Passes the work on items that are not listed from an owner that lost the lease to the next one.
//!
//! This only saves work: items of which nothing arrives are run from their start.

use std::rc::Rc;
use std::time::Duration;

use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::name::JobId;

use crate::job_calls::JobCall;
use crate::job_calls::JobClient;
use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::accept::not_owner;

/// Time in which the next owner must be known, in milliseconds.
const LIMIT_MS: u64 = 4_000;

/// Wait before the next owner is asked again, in milliseconds.
const RETRY_MS: u64 = 100;

/// Passes everything that was left at the loss of the lease to the next owner.
pub(crate) async fn pass_progress_on(owner: Rc<Owner>) {
    let left = std::mem::take(&mut owner.state.borrow_mut().left_over);
    pass_on(owner.clone(), left).await;
    owner.passed_on.notify_one();
}

/// Passes output of items to the process that owns the jobs, while this one doesn't.
pub(crate) async fn pass_on(owner: Rc<Owner>, left: Vec<(JobId, Vec<ItemProgress>)>) {
    let until = owner.now() + LIMIT_MS;
    let client = JobClient::new(owner.fleet.clone());
    for (job, items) in left {
        let call = JobCall::TakeProgress { job, items };
        while owner.now() < until && !owner.state.borrow().lease.is_held() {
            let reply = client.call(&call, until.since(owner.now())).await;
            if reply != JobReply::Taken {
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
            owner.fleet.metrics.count("direct.progress_passed_on");
            break;
        }
    }
}

/// Takes what an earlier owner had of a job's items.
pub(crate) fn take_progress(owner: &Owner, job: &JobId, items: Vec<ItemProgress>) -> JobReply {
    let now = owner.now();
    let mut state = owner.state.borrow_mut();
    if !state.serving {
        return JobReply::Refused(not_owner());
    }
    state.import_progress(job, items, now);
    drop(state);
    owner.work.notify_one();
    JobReply::Taken
}
