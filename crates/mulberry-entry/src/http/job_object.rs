//! Reads a client's job from the store.

use mulberry_platform::store::Store;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::Job;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::error::ApiError;
use crate::shared::Shared;

/// Reads one of the client's jobs, with its version. A job of another client is not found.
pub(super) async fn read_job(
    shared: &Shared,
    store: &Store,
    client: &ClientName,
    id: &JobId,
) -> Result<(Job, u64), ApiError> {
    let not_found = || Refusal::not_run(RefusalReason::NotFound, "there is no such batch");
    if !is_plain_id(id.as_str()) {
        return Err(not_found().into());
    }
    let key = object_key::job(id, shared.settings.job_shards);
    let found = store.read_json::<Job>(CallClass::Read, &key).await?;
    let owned = found.filter(|(job, _)| job.client == *client);
    Ok(owned.ok_or_else(not_found)?)
}

/// Returns whether an identifier can be part of a store key: it is not empty, has at most 128
/// bytes,
/// and holds no separators, so that it can't address another object.
pub(super) fn is_plain_id(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    !id.is_empty() && id.len() <= 128 && id.bytes().all(plain)
}
