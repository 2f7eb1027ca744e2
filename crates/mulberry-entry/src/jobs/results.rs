//! Reads a job's results from its chunk objects. Any entry can do so, not only the job's owner.

use std::collections::VecDeque;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::Object;
use mulberry_platform::store::Store;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::ItemOutcome;
use mulberry_protocol::job::Job;
use mulberry_protocol::object_key;

use super::chunk_codec::decode_chunk;
use super::runner::is_success;

/// Which of a job's two result files to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResultKind {
    /// Items that an endpoint answered with a 2xx status.
    Output,
    /// All other items.
    Errors,
}

/// Counts the items in the committed chunks of a job.
pub(crate) async fn count_committed(store: &Store, job: &Job) -> Result<u32, PlatformError> {
    let prefix = object_key::chunks(&job.id);
    let (objects, _) = store.list_all(CallClass::Listing, &prefix, false).await?;
    let numbers = objects.iter().filter_map(|o| o.key.strip_prefix(&prefix)?.parse::<u32>().ok());
    Ok(numbers.map(|chunk| job.chunk_range(chunk).len() as u32).sum())
}

/// Streams the lines of a result file, one chunk at a time. Ends after the first error.
pub(crate) fn stream_results(
    store: Store,
    job: Job,
    kind: ResultKind,
) -> impl Stream<Item = Result<Bytes, PlatformError>> {
    let chunks: VecDeque<u32> = (0..job.chunks()).collect();
    stream::unfold((store, job, chunks), move |(store, job, mut chunks)| async move {
        let chunk = chunks.pop_front()?;
        let lines = read_chunk(&store, &job, chunk, kind).await;
        if lines.is_err() {
            chunks.clear();
        }
        Some((lines, (store, job, chunks)))
    })
}

/// Returns a chunk's lines for one result file; empty if the chunk is not committed.
async fn read_chunk(
    store: &Store,
    job: &Job,
    chunk: u32,
    kind: ResultKind,
) -> Result<Bytes, PlatformError> {
    let key = object_key::chunk(&job.id, chunk);
    let object: Option<Object> = store.read(CallClass::Read, &key).await?;
    let mut lines = BytesMut::new();
    let Some(object) = object else { return Ok(lines.freeze()) };
    for outcome in decode_chunk(&object.value)?.outcomes {
        let wanted = is_success(&outcome.end) == (kind == ResultKind::Output);
        if wanted {
            lines.extend_from_slice(result_line(&outcome).to_string().as_bytes());
            lines.extend_from_slice(b"\n");
        }
    }
    Ok(lines.freeze())
}

/// Builds the line of one item in the format of the batch API.
fn result_line(outcome: &ItemOutcome) -> Value {
    let (response, error) = match &outcome.end {
        ItemEnd::Answered { status, body } => {
            let response =
                json!({"status_code": status, "request_id": outcome.request, "body": body});
            (response, Value::Null)
        }
        ItemEnd::Failed { reason, run, detail } => {
            let error =
                json!({"code": reason.as_str(), "message": detail, "run_state": run.as_str()});
            (Value::Null, error)
        }
    };
    json!({
        "id": outcome.request,
        "custom_id": outcome.custom_id,
        "response": response,
        "error": error,
    })
}
