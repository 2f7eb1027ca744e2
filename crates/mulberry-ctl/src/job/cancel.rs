//! `job cancel`: cancels a job. Results committed before stay readable.

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobState;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;

use super::read_job;
use super::require_job_right;
use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::print_result;

/// Most attempts to update a job that other processes change at the same time.
const MAX_UPDATE_ATTEMPTS: u32 = 8;

/// Marks a job as cancelling and returns it. A job that has ended, or that another operator
/// cancelled, is returned unchanged.
pub async fn cancel(cx: &CtlContext, id: &JobId) -> Result<Job, CtlError> {
    require_job_right(cx).await?;
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        let (job, version) = read_job(cx, id).await?;
        if job.state != JobState::Open {
            return Ok(job);
        }
        let cancelled_by = Some(cx.operator());
        let cancelling = Job { state: JobState::Cancelling, cancelled_by, ..job };
        let key = object_key::job(id, cx.settings.job_shards);
        let value = to_json(&cancelling)?;
        let outcome = cx.store.update(CallClass::Commit, &key, value, version).await?;
        if matches!(outcome, WriteOutcome::Written(_)) {
            return Ok(cancelling);
        }
    }
    Err(CtlError::BusyJob { job: id.to_string() })
}

/// Cancels a job, and prints its state and who cancelled it.
pub(crate) async fn run(cx: &CtlContext, id: &str) -> Result<(), CtlError> {
    let job = cancel(cx, &JobId::new(id)).await?;
    print_result(cx.json, &job, |job| {
        let by = job.cancelled_by.as_ref().map_or_else(|| "nobody".to_owned(), |b| b.to_string());
        format!("{}: {:?}, cancelled by {by}", job.id, job.state)
    });
    Ok(())
}
