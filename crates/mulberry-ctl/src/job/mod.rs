//! Commands that list, show and cancel jobs and print their results, directly from the store.

pub mod cancel;
pub mod list;
pub mod results;
pub mod show;

use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::Job;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;

use crate::context::CtlContext;
use crate::error::CtlError;

/// Reads a job and the version of its object, for a conditional update.
pub(crate) async fn read_job(cx: &CtlContext, id: &JobId) -> Result<(Job, u64), CtlError> {
    let key = object_key::job(id, cx.settings.job_shards);
    let found = cx.store.read_json::<Job>(CallClass::Read, &key).await?;
    found.ok_or_else(|| CtlError::NotFound { kind: "job", name: id.to_string() })
}

/// Checks that the operator has the right to work on jobs. Always refused before the first roll:
/// without a bundle in force there are no jobs.
pub(crate) async fn require_job_right(cx: &CtlContext) -> Result<(), CtlError> {
    let no_operators = mulberry_protocol::bundle::BundleBuilder::new("none").build();
    cx.require_right(mulberry_protocol::bundle::Right::Jobs, &no_operators).await
}
