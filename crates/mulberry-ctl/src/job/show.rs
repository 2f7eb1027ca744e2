//! `job show`: prints the state and progress of one job.

use mulberry_protocol::name::JobId;

use super::read_job;
use super::require_job_right;
use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::print_result;

/// Prints the job's client, state and item counts.
pub(crate) async fn run(cx: &CtlContext, id: &str) -> Result<(), CtlError> {
    require_job_right(cx).await?;
    let (job, _) = read_job(cx, &JobId::new(id)).await?;
    print_result(cx.json, &job, |job| {
        let state = format!("{:?}", job.state).to_lowercase();
        let counts = format!("{} completed, {} failed", job.completed, job.failed);
        format!("{} of {}: {state}, {} items, {counts}", job.id, job.client, job.items)
    });
    Ok(())
}
