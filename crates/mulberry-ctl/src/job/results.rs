//! `job results`: prints the committed results of a job, one JSON line per item.

use std::io::Read;
use std::io::Write;

use flate2::read::ZlibDecoder;

use mulberry_platform::error::PlatformError;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::ChunkOutcome;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;

use super::read_job;
use super::require_job_right;
use crate::context::CtlContext;
use crate::error::CtlError;

/// Prints the results of every committed chunk in order, skipping chunks without results yet.
pub(crate) async fn run(cx: &CtlContext, id: &str) -> Result<(), CtlError> {
    require_job_right(cx).await?;
    let (job, _) = read_job(cx, &JobId::new(id)).await?;
    let write_error = |source| CtlError::File { path: "standard output".to_owned(), source };
    for chunk in 0..job.chunks() {
        let key = object_key::chunk(&job.id, chunk);
        let Some(object) = cx.store.read(CallClass::Read, &key).await? else { continue };
        let outcome = decode_chunk(&object.value)?;
        for item in outcome.outcomes {
            let line = serde_json::to_string(&item).map_err(|e| chunk_error(&e))?;
            writeln!(std::io::stdout(), "{line}").map_err(write_error)?;
        }
    }
    Ok(())
}

fn decode_chunk(value: &[u8]) -> Result<ChunkOutcome, PlatformError> {
    let mut json = Vec::new();
    ZlibDecoder::new(value).read_to_end(&mut json).map_err(|e| chunk_error(&e))?;
    serde_json::from_slice(&json).map_err(|e| chunk_error(&e))
}

fn chunk_error(error: &dyn std::fmt::Display) -> PlatformError {
    PlatformError::BadAnswer { call: "read", detail: error.to_string() }
}
