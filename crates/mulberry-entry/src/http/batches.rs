//! Handles `/v1/batches`: creates, shows, lists and cancels jobs. A caller may choose a job's
//! idempotency key.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::job::FileInfo;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobState;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::FileId;
use mulberry_protocol::name::JobId;
use mulberry_protocol::name::OperatorName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::object_key;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::auth::authenticate;
use super::auth::bundle_in_force;
use super::error::ApiError;
use super::files::ERRORS_PREFIX;
use super::files::OUTPUT_PREFIX;
use super::files::read_file;
use super::job_object::read_job;
use super::relay::record_refusal;
use super::services::idempotency_key;
use crate::jobs::count_committed;
use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

/// Number of chunks that a job is split into, within the limits of a chunk's size.
const TARGET_CHUNKS: u32 = 32;

/// Fewest items in a chunk, unless the job has fewer.
const MIN_CHUNK_ITEMS: u32 = 8;

/// Most items in a chunk.
const MAX_CHUNK_ITEMS: u32 = 256;

/// Seconds in an hour.
const HOUR_S: u64 = 3_600;

/// Longest completion window of a job, in hours.
const MAX_WINDOW_HOURS: u64 = 24 * 14;

/// Most attempts of an update that may conflict with others.
const MAX_UPDATE_ATTEMPTS: u32 = 8;

/// Most jobs in one page of a list.
const MAX_LIST_LIMIT: usize = 100;

/// Body of a request to create a job.
#[derive(Debug, Deserialize)]
struct CreateRequest {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<IndexMap<String, String>>,
}

/// Creates a job. Responds only after the job is stored durably; a resend gets the same job.
pub(super) async fn create(
    shared: web::Data<Shared>,
    req: HttpRequest,
    body: Bytes,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    match accept_job(&shared, &req, &loaded, &client, &body).await {
        Ok(job) => Ok(HttpResponse::Ok().json(batch_object(&job, 0))),
        Err(error) => {
            record_refusal(&shared, &client, &error.0);
            Err(error)
        }
    }
}

/// Validates a request and stores its job, or returns the same job if it is stored already.
async fn accept_job(
    shared: &Shared,
    req: &HttpRequest,
    loaded: &LoadedBundle,
    client: &ClientName,
    body: &[u8],
) -> Result<Job, ApiError> {
    let malformed = |detail: String| Refusal::not_run(RefusalReason::Malformed, detail);
    let body: CreateRequest = serde_json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
    let window_s = parse_completion_window(&body.completion_window)
        .ok_or_else(|| malformed("`completion_window` must be like `24h`".to_owned()))?;
    let store = shared.store();
    let info = read_file(&store, client, &FileId::new(&body.input_file_id)).await?;
    let key = idempotency_key(req)?;
    let job = new_job(shared, loaded, &info, &body, window_s, key.as_deref())?;
    let index_key = format!("{}{}", object_key::client_jobs(client), job.id);
    // The entry in the client's index is written first, so that every accepted job can be listed.
    store.create(CallClass::Commit, &index_key, Bytes::from_static(b"{}")).await?;
    let object_key = object_key::job(&job.id, shared.settings.job_shards);
    match store.create(CallClass::Commit, &object_key, to_json(&job)?).await? {
        WriteOutcome::Written(_) => {
            shared.metrics.count("entry.jobs_accepted");
            Ok(job)
        }
        WriteOutcome::Conflict(Some(object)) => {
            let existing: Job = parse_json(&object)?;
            if existing.digest == job.digest {
                shared.metrics.count("entry.jobs_resent");
                return Ok(existing);
            }
            let detail = "another job was accepted under the same key";
            Err(Refusal::not_run(RefusalReason::Conflict, detail).into())
        }
        WriteOutcome::Conflict(None) => {
            let detail = "the job was removed at the same time";
            Err(Refusal::not_run(RefusalReason::Conflict, detail).into())
        }
    }
}

/// Builds the job. Its identifier depends on the client and the key only, so that a resend finds
/// it.
fn new_job(
    shared: &Shared,
    loaded: &LoadedBundle,
    info: &FileInfo,
    body: &CreateRequest,
    window_s: u64,
    key: Option<&str>,
) -> Result<Job, Refusal> {
    let malformed = |detail: &str| Refusal::not_run(RefusalReason::Malformed, detail);
    let path = info.path.clone().ok_or_else(|| malformed("the file is no job input"))?;
    if body.endpoint != path {
        return Err(malformed("`endpoint` must be the path that the lines call"));
    }
    let (service, idempotent) = find_service(loaded, info, &path)?;
    // Without an idempotency key, the input file identifies the job, since each file is uploaded
    // for one job.
    let identity_key = key.map_or_else(|| format!("input:{}", info.id), |k| format!("key:{k}"));
    let id = Digest::of_parts(&[info.client.as_str().as_bytes(), identity_key.as_bytes()]);
    let metadata: Vec<(String, String)> =
        body.metadata.clone().unwrap_or_default().into_iter().collect();
    let settings = format!("{path} {window_s} {metadata:?}");
    let created_at_s = shared.clock.unix_s();
    let chunk_items =
        (info.lines / TARGET_CHUNKS).clamp(MIN_CHUNK_ITEMS, MAX_CHUNK_ITEMS).min(info.lines);
    Ok(Job {
        id: JobId::new(format!("batch_{}", id.short())),
        client: info.client.clone(),
        input: info.id.clone(),
        digest: Digest::of_parts(&[info.digest.as_str().as_bytes(), settings.as_bytes()]),
        path,
        service,
        model: info.model.clone(),
        idempotent,
        items: info.lines,
        chunk_items,
        created_at_s,
        due_at_s: created_at_s + window_s,
        state: JobState::Open,
        completed: 0,
        failed: 0,
        cancelled_by: None,
        metadata,
    })
}

/// Returns the service that runs a file's items, and whether they may run more than once.
fn find_service(
    loaded: &LoadedBundle,
    info: &FileInfo,
    path: &str,
) -> Result<(ServiceName, bool), Refusal> {
    let unknown = |detail: String| Refusal::not_run(RefusalReason::UnknownTarget, detail);
    if let Some(model) = &info.model {
        let found = loaded.bundle.models.get(model);
        let detail = || unknown(format!("the bundle in force has no model `{model}`"));
        return found.map(|m| (m.service.clone(), true)).ok_or_else(detail);
    }
    let name = ServiceName::new(path.trim_start_matches("/services/"));
    let service = loaded.bundle.services.get(&name);
    let service =
        service.ok_or_else(|| unknown(format!("the bundle in force has no service `{name}`")))?;
    // Lines may call several paths of the service, so that the job is idempotent only if every
    // route for its method is.
    let idempotent = service
        .routes
        .iter()
        .filter(|r| r.method == "*" || r.method == info.method)
        .all(|r| r.idempotent);
    Ok((name, idempotent && !service.routes.is_empty()))
}

/// Parses a window such as `24h` or `7d` into seconds. Returns none if it is invalid or too long.
fn parse_completion_window(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: u64 = number.parse().ok()?;
    let hours = match unit {
        "h" => number,
        "d" => number.checked_mul(24)?,
        _ => return None,
    };
    (1..=MAX_WINDOW_HOURS).contains(&hours).then_some(hours * HOUR_S)
}

/// Returns one of the client's jobs, with the number of items in committed chunks.
pub(super) async fn show(
    shared: web::Data<Shared>,
    req: HttpRequest,
    id: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let store = shared.store();
    let (job, _) = read_job(&shared, &store, &client, &JobId::new(id.as_str())).await?;
    let committed =
        if job.state.is_final() { job.items } else { count_committed(&store, &job).await? };
    Ok(HttpResponse::Ok().json(batch_object(&job, committed)))
}

/// Query of a list request: the job after which the page starts, and its size.
#[derive(Debug, Deserialize)]
pub(super) struct ListQuery {
    #[serde(default)]
    after: Option<String>,
    #[serde(default)]
    limit: Option<usize>,
}

/// Lists the client's jobs, the latest first.
pub(super) async fn list(
    shared: web::Data<Shared>,
    req: HttpRequest,
    query: web::Query<ListQuery>,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let store = shared.store();
    let prefix = object_key::client_jobs(&client);
    let (index_entries, _) = store.list_all(CallClass::Listing, &prefix, false).await?;
    let mut jobs = Vec::new();
    for index_entry in &index_entries {
        let id = JobId::new(index_entry.key.strip_prefix(&prefix).unwrap_or(""));
        let key = object_key::job(&id, shared.settings.job_shards);
        // An index entry without a job is left by a job that was never accepted.
        if let Some((job, _)) = store.read_json::<Job>(CallClass::Listing, &key).await? {
            jobs.push(job);
        }
    }
    jobs.sort_by(|a, b| (b.created_at_s, &b.id).cmp(&(a.created_at_s, &a.id)));
    let after = query.after.as_deref();
    let start = after.and_then(|a| jobs.iter().position(|j| j.id.as_str() == a));
    let rest = jobs.split_off(start.map_or(0, |s| s + 1));
    let limit = query.limit.unwrap_or(20).clamp(1, MAX_LIST_LIMIT);
    let has_more = rest.len() > limit;
    let data: Vec<Value> = rest.iter().take(limit).map(|j| batch_object(j, j.completed)).collect();
    Ok(HttpResponse::Ok().json(json!({
        "object": "list",
        "first_id": data.first().map(|b| b["id"].clone()),
        "last_id": data.last().map(|b| b["id"].clone()),
        "data": data,
        "has_more": has_more,
    })))
}

/// Cancels a job. A job that has ended keeps its state.
pub(super) async fn cancel(
    shared: web::Data<Shared>,
    req: HttpRequest,
    id: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let store = shared.store();
    let id = JobId::new(id.as_str());
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        let (job, version) = read_job(&shared, &store, &client, &id).await?;
        if job.state != JobState::Open {
            return Ok(HttpResponse::Ok().json(batch_object(&job, job.completed)));
        }
        let by = Some(OperatorName::new(client.as_str()));
        let cancelling = Job { state: JobState::Cancelling, cancelled_by: by, ..job };
        let key = object_key::job(&id, shared.settings.job_shards);
        let end = store.update(CallClass::Commit, &key, to_json(&cancelling)?, version).await?;
        if matches!(end, WriteOutcome::Written(_)) {
            shared.metrics.count("entry.jobs_cancelled");
            return Ok(HttpResponse::Ok().json(batch_object(&cancelling, 0)));
        }
    }
    let detail = "the job changes too often; try again";
    Err(Refusal::not_run(RefusalReason::Conflict, detail).retry_after(500).into())
}

/// Builds the batch object of the HTTP API.
fn batch_object(job: &Job, committed: u32) -> Value {
    let status = match job.state {
        JobState::Open => "in_progress",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Completed => "completed",
    };
    let ended = job.state.is_final();
    let file = |prefix: &str, wanted: bool| {
        if ended && wanted { json!(format!("{prefix}{}", job.id)) } else { Value::Null }
    };
    let (completed, failed) = if ended { (job.completed, job.failed) } else { (committed, 0) };
    let metadata: IndexMap<&str, &str> =
        job.metadata.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
    json!({
        "id": job.id.as_str(),
        "object": "batch",
        "endpoint": job.path,
        "errors": null,
        "input_file_id": job.input.as_str(),
        "completion_window": format!("{}h", (job.due_at_s - job.created_at_s) / HOUR_S),
        "status": status,
        "output_file_id": file(OUTPUT_PREFIX, true),
        "error_file_id": file(ERRORS_PREFIX, job.failed > 0),
        "created_at": job.created_at_s,
        "expires_at": job.due_at_s,
        "request_counts": {"total": job.items, "completed": completed, "failed": failed},
        "metadata": metadata,
    })
}
