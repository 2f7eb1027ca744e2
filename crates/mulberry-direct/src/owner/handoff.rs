//! Hands the progress of items without a listed result from an owner that lost the lease to the
//! next owner.
//!
//! The handoff only saves work: items whose progress does not arrive are run from the start.

use std::rc::Rc;
use std::time::Duration;

use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::name::JobId;

use crate::job_calls::JobCall;
use crate::job_calls::JobReply;
use crate::job_client::JobClient;
use crate::owner::Owner;
use crate::owner::submit::not_owner;

/// Time after which the handoff is given up, in milliseconds.
const HANDOFF_TIMEOUT_MS: u64 = 4_000;

/// Delay before a call that the next owner did not accept is sent again, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// Sends all progress that was left when the lease was lost to the next owner.
pub(crate) async fn hand_off_progress(owner: Rc<Owner>) {
    let progress = std::mem::take(&mut owner.state.borrow_mut().unfinished_progress);
    send_progress(owner.clone(), progress).await;
    owner.handoff_done.notify_one();
}

/// Sends the progress of items to the current owner. Stops when this process becomes the owner.
pub(crate) async fn send_progress(owner: Rc<Owner>, progress: Vec<(JobId, Vec<ItemProgress>)>) {
    let until = owner.now() + HANDOFF_TIMEOUT_MS;
    let client = JobClient::new(owner.shared.clone());
    for (job, items) in progress {
        let call = JobCall::TakeProgress { job, items };
        while owner.now() < until && !owner.state.borrow().lease.is_held() {
            let reply = client.call(&call, until.since(owner.now())).await;
            if reply != JobReply::Taken {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            }
            owner.shared.metrics.count("direct.progress_passed_on");
            break;
        }
    }
}

/// Imports the progress that an earlier owner sent for a job's items.
pub(crate) fn import_progress(owner: &Owner, job: &JobId, items: Vec<ItemProgress>) -> JobReply {
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
