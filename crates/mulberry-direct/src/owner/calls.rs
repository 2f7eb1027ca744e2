//! Carries out the calls that entries pass on.

use std::rc::Rc;

use crate::job_calls::JobCall;
use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::accept::NewJob;
use crate::owner::accept::accept;
use crate::owner::copy::keep_copies;
use crate::owner::pass_on::take_progress;
use crate::owner::read::end_job;
use crate::owner::read::read_body;
use crate::owner::read::read_results;

/// Carries out one call.
pub(crate) async fn carry_out(owner: &Rc<Owner>, call: JobCall) -> JobReply {
    match call {
        JobCall::Submit { job, route, host, body, left_ms } => {
            accept(owner, NewJob { job, route, host, body, left_ms }).await
        }
        JobCall::Read { job, after, wait_ms } => read_results(owner, &job, after, wait_ms).await,
        JobCall::ItemBody { job, item } => read_body(owner, &job, &item).await,
        JobCall::End { job, left_ms } => end_job(owner, &job, left_ms).await,
        JobCall::TakeProgress { job, items } => take_progress(owner, &job, items),
        JobCall::KeepCopies(batch) => keep_copies(owner, batch),
    }
}
