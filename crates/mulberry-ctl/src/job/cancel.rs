//! `job cancel`: stops a job. What was committed stays readable.

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobState;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;

use super::demand_job_right;
use super::read_job;
use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::print_result;

/// Most tries of an update that others race with.
const UPDATE_TRIES: u32 = 8;

/// Cancels a job and returns it. A job that has ended stays as it ended; a cancel by another
/// operator stays theirs.
pub async fn cancel(cx: &CtlContext, id: &JobId) -> Result<Job, CtlError> {
    demand_job_right(cx).await?;
    for _ in 0..UPDATE_TRIES {
        let (job, version) = read_job(cx, id).await?;
        if job.state != JobState::Open {
            return Ok(job);
        }
        let cancelled_by = Some(cx.operator());
        let cancelling = Job { state: JobState::Cancelling, cancelled_by, ..job };
        let key = object_key::job(id, cx.settings.job_shards);
        let value = to_json(&cancelling)?;
        let end = cx.store.update(CallClass::Commit, &key, value, version).await?;
        if matches!(end, WriteOutcome::Written(_)) {
            return Ok(cancelling);
        }
    }
    Err(CtlError::BusyJob { job: id.to_string() })
}

/// Runs the command.
pub(crate) async fn run(cx: &CtlContext, id: &str) -> Result<(), CtlError> {
    let job = cancel(cx, &JobId::new(id)).await?;
    print_result(cx.json, &job, |job| {
        let by = job.cancelled_by.as_ref().map_or_else(|| "nobody".to_owned(), |b| b.to_string());
        format!("{}: {:?}, cancelled by {by}", job.id, job.state)
    });
    Ok(())
}
