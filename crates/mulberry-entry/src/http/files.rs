//! Handles `/v1/files`: uploads of job inputs, and downloads of inputs and results.

use actix_multipart::Field;
use actix_multipart::Multipart;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;
use rand::Rng;
use serde_json::Value;
use serde_json::json;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::Store;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::FileInfo;
use mulberry_protocol::job::Job;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::FileId;
use mulberry_protocol::name::JobId;
use mulberry_protocol::object_key;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::auth::authenticate;
use super::auth::bundle_in_force;
use super::error::ApiError;
use super::job_object::is_plain_id;
use super::job_object::read_job;
use super::relay::record_refusal;
use crate::job_lines::LinePacker;
use crate::job_lines::Segment;
use crate::jobs::ResultKind;
use crate::jobs::deflate;
use crate::jobs::inflate;
use crate::jobs::stream_results;
use crate::shared::Shared;

/// Prefix of the identifiers of output files, followed by the job's identifier.
pub(super) const OUTPUT_PREFIX: &str = "output-";

/// Prefix of the identifiers of error files, followed by the job's identifier.
pub(super) const ERRORS_PREFIX: &str = "errors-";

/// Most bytes that are kept of each part of a text field, and most characters of a file name.
const MAX_FIELD_BYTES: usize = 1024;

/// An upload in progress.
struct Upload {
    id: FileId,
    name: String,
    purpose: String,
    packer: LinePacker,
    /// First line of each stored segment.
    segment_starts: Vec<u32>,
    /// Version of each stored segment, for its removal if the upload fails.
    versions: Vec<u64>,
}

/// Receives an upload. Responds with success only once every segment is stored; removes the
/// segments if the upload fails.
pub(super) async fn upload(
    shared: web::Data<Shared>,
    req: HttpRequest,
    form: Multipart,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let store = shared.store();
    let id: [u8; 12] = rand::rng().random();
    let mut upload = Upload {
        id: FileId::new(format!("file-{}", hex::encode(id))),
        name: "upload.jsonl".to_owned(),
        purpose: String::new(),
        packer: LinePacker::default(),
        segment_starts: Vec::new(),
        versions: Vec::new(),
    };
    match receive_form(form, &mut upload, &client, &store, &shared).await {
        Ok(info) => Ok(HttpResponse::Ok().json(file_object(&info))),
        Err(refusal) => {
            record_refusal(&shared, &client, &refusal);
            remove_segments(&upload, &client, &store).await;
            Err(refusal.into())
        }
    }
}

/// Reads the form, stores the file's segments, then creates its info object.
async fn receive_form(
    mut form: Multipart,
    upload: &mut Upload,
    client: &ClientName,
    store: &Store,
    shared: &Shared,
) -> Result<FileInfo, Refusal> {
    let malformed = |detail: String| Refusal::not_run(RefusalReason::Malformed, detail);
    let mut has_file = false;
    while let Some(field) = form.next().await {
        let field = field.map_err(|e| malformed(e.to_string()))?;
        match field.name() {
            Some("purpose") => upload.purpose = read_text_field(field).await?,
            Some("file") => {
                has_file = true;
                receive_file(field, upload, client, store, shared).await?;
            }
            // Other fields that client libraries send are read and ignored.
            _ => {
                read_text_field(field).await?;
            }
        }
    }
    if !has_file {
        return Err(malformed("the form has no field `file`".to_owned()));
    }
    if upload.purpose != "batch" {
        return Err(malformed("`purpose` must be `batch`".to_owned()));
    }
    let target = upload.packer.target.clone();
    let info = FileInfo {
        id: upload.id.clone(),
        client: client.clone(),
        name: upload.name.clone(),
        purpose: upload.purpose.clone(),
        bytes: upload.packer.bytes,
        lines: upload.packer.lines,
        segment_starts: upload.segment_starts.clone(),
        path: target.as_ref().map(|t| t.path.clone()),
        method: target.as_ref().map_or_else(String::new, |t| t.method.clone()),
        model: target.and_then(|t| t.model),
        digest: upload.packer.digest(),
        created_at_s: shared.clock.unix_s(),
    };
    let value = to_json(&info).map_err(PlatformError::into_refusal)?;
    let key = object_key::file(client, &upload.id);
    create_unique(store, &key, value).await?;
    Ok(info)
}

async fn receive_file(
    mut field: Field,
    upload: &mut Upload,
    client: &ClientName,
    store: &Store,
    shared: &Shared,
) -> Result<(), Refusal> {
    if let Some(name) = field.content_disposition().and_then(|d| d.get_filename()) {
        upload.name = name.chars().take(MAX_FIELD_BYTES).collect();
    }
    while let Some(part) = field.next().await {
        let part = part.map_err(|e| Refusal::not_run(RefusalReason::Malformed, e.to_string()))?;
        if upload.packer.bytes + part.len() as u64 > shared.settings.max_file_bytes {
            let detail = format!("files have at most {} bytes", shared.settings.max_file_bytes);
            return Err(Refusal::not_run(RefusalReason::TooLarge, detail));
        }
        let segments = upload.packer.push(&part)?;
        store_segments(segments, upload, client, store).await?;
    }
    let segments = upload.packer.finish()?;
    store_segments(segments, upload, client, store).await
}

async fn read_text_field(field: Field) -> Result<String, Refusal> {
    let malformed = |e: actix_multipart::MultipartError| {
        Refusal::not_run(RefusalReason::Malformed, e.to_string())
    };
    let add = |mut text: Vec<u8>, part: Bytes| async move {
        text.extend_from_slice(&part[..part.len().min(MAX_FIELD_BYTES)]);
        Ok(text)
    };
    let text = field.try_fold(Vec::new(), add).await.map_err(malformed)?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

async fn store_segments(
    segments: Vec<Segment>,
    upload: &mut Upload,
    client: &ClientName,
    store: &Store,
) -> Result<(), Refusal> {
    for segment in segments {
        let number = upload.segment_starts.len() as u32;
        let key = object_key::file_segment(client, &upload.id, number);
        let value = deflate(&segment.bytes).map_err(PlatformError::into_refusal)?;
        let version = create_unique(store, &key, value).await?;
        upload.segment_starts.push(segment.first_line);
        upload.versions.push(version);
    }
    Ok(())
}

/// Creates an object under a key that no other request uses. Returns its version.
async fn create_unique(store: &Store, key: &str, value: Bytes) -> Result<u64, Refusal> {
    match store.create(CallClass::Commit, key, value).await {
        Ok(WriteOutcome::Written(version)) => Ok(version),
        Ok(WriteOutcome::Conflict(_)) => {
            Err(Refusal::not_run(RefusalReason::Conflict, "the name of the file is taken"))
        }
        Err(e) => Err(e.into_refusal()),
    }
}

async fn remove_segments(upload: &Upload, client: &ClientName, store: &Store) {
    for (number, version) in (0..).zip(&upload.versions) {
        let key = object_key::file_segment(client, &upload.id, number);
        // A segment that can't be removed now can be recognized later: its file has no info object.
        let _not_removed = store.delete(CallClass::Listing, &key, *version).await;
    }
}

/// Builds the file object of an input file.
fn file_object(info: &FileInfo) -> Value {
    json!({
        "id": info.id.as_str(),
        "object": "file",
        "bytes": info.bytes,
        "created_at": info.created_at_s,
        "filename": info.name,
        "purpose": info.purpose,
        "status": "processed",
    })
}

/// Builds the file object of a result file. Its size is given as zero, since the content is
/// assembled when it is read.
fn result_object(id: &str, job: &Job) -> Value {
    json!({
        "id": id,
        "object": "file",
        "bytes": 0,
        "created_at": job.created_at_s,
        "filename": format!("{id}.jsonl"),
        "purpose": "batch_output",
        "status": "processed",
    })
}

/// What a file identifier refers to.
enum FoundFile {
    Input(FileInfo),
    Result(ResultKind, Job),
}

/// Finds an input file, or the job to whose results the identifier refers.
async fn find_file(
    shared: &Shared,
    store: &Store,
    client: &ClientName,
    id: &str,
) -> Result<FoundFile, ApiError> {
    let kinds = [(OUTPUT_PREFIX, ResultKind::Output), (ERRORS_PREFIX, ResultKind::Errors)];
    for (prefix, kind) in kinds {
        if let Some(job) = id.strip_prefix(prefix) {
            let (job, _) = read_job(shared, store, client, &JobId::new(job)).await?;
            return Ok(FoundFile::Result(kind, job));
        }
    }
    let info = read_file(store, client, &FileId::new(id)).await?;
    Ok(FoundFile::Input(info))
}

/// Reads the info object of one of the client's input files.
pub(super) async fn read_file(
    store: &Store,
    client: &ClientName,
    id: &FileId,
) -> Result<FileInfo, ApiError> {
    let not_found = || Refusal::not_run(RefusalReason::NotFound, "there is no such file");
    if !is_plain_id(id.as_str()) {
        return Err(not_found().into());
    }
    let key = object_key::file(client, id);
    let found = store.read_json::<FileInfo>(CallClass::Read, &key).await?;
    Ok(found.ok_or_else(not_found)?.0)
}

/// Lists the client's input files.
pub(super) async fn list(
    shared: web::Data<Shared>,
    req: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let store = shared.store();
    let prefix = object_key::client_files(&client);
    let (objects, _) = store.list_all(CallClass::Listing, &prefix, false).await?;
    let mut data = Vec::new();
    for object in objects.iter().filter(|o| o.key.ends_with("/info")) {
        if let Some(object) = store.read(CallClass::Listing, &object.key).await? {
            data.push(file_object(&parse_json(&object)?));
        }
    }
    Ok(HttpResponse::Ok().json(json!({"object": "list", "data": data, "has_more": false})))
}

/// Returns the description of an input or result file.
pub(super) async fn show(
    shared: web::Data<Shared>,
    req: HttpRequest,
    id: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let object = match find_file(&shared, &shared.store(), &client, &id).await? {
        FoundFile::Input(info) => file_object(&info),
        FoundFile::Result(_, job) => result_object(&id, &job),
    };
    Ok(HttpResponse::Ok().json(object))
}

/// Streams the content of an input or result file.
pub(super) async fn content(
    shared: web::Data<Shared>,
    req: HttpRequest,
    id: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let store = shared.store();
    let mut response = HttpResponse::Ok();
    response.content_type("application/jsonl");
    match find_file(&shared, &store, &client, &id).await? {
        FoundFile::Result(kind, job) => Ok(response.streaming(stream_results(store, job, kind))),
        FoundFile::Input(info) => {
            let segments = 0..info.segment_starts.len() as u32;
            let parts = stream::iter(segments).then(move |number| {
                let (store, key) =
                    (store.clone(), object_key::file_segment(&info.client, &info.id, number));
                async move { read_segment(&store, &key).await }
            });
            Ok(response.streaming(parts))
        }
    }
}

async fn read_segment(store: &Store, key: &str) -> Result<Bytes, PlatformError> {
    let object = store.read(CallClass::Read, key).await?;
    let object = object.ok_or_else(|| PlatformError::BadAnswer {
        call: "read",
        detail: format!("`{key}` is missing"),
    })?;
    Ok(Bytes::from(inflate(&object.value)?))
}
