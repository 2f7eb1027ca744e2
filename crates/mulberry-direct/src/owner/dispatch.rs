//! Dispatches the calls that arrive over links to the functions that carry them out.

use std::rc::Rc;

use mulberry_protocol::name::ClientName;

use crate::job_calls::JobCall;
use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::copy::store_copies;
use crate::owner::handoff::import_progress;
use crate::owner::read::end_job;
use crate::owner::read::read_item_body;
use crate::owner::read::read_results;
use crate::owner::submit::SubmitRequest;
use crate::owner::submit::submit_job;

/// Carries out one call and returns the reply.
pub(crate) async fn dispatch_call(owner: &Rc<Owner>, call: JobCall) -> JobReply {
    match call {
        JobCall::ForAccount { account, call } => dispatch_for(owner, *call, Some(account)).await,
        call => dispatch_for(owner, call, None).await,
    }
}

async fn dispatch_for(owner: &Rc<Owner>, call: JobCall, account: Option<ClientName>) -> JobReply {
    let account = account.as_ref();
    match call {
        JobCall::Submit { job, route, host, body, left_ms, path } => {
            let account = account.cloned();
            let req = SubmitRequest { job, route, host, path, account, body, left_ms };
            submit_job(owner, req).await
        }
        JobCall::Read { job, after, wait_ms } => {
            read_results(owner, &job, account, after, wait_ms).await
        }
        JobCall::ItemBody { job, item } => read_item_body(owner, &job, account, &item).await,
        JobCall::End { job, left_ms } => end_job(owner, &job, account, left_ms).await,
        JobCall::TakeProgress { job, items } => import_progress(owner, &job, items),
        JobCall::KeepCopies(batch) => store_copies(owner, batch),
        // Entries don't nest accounts.
        JobCall::ForAccount { .. } => JobReply::NotFound,
    }
}
