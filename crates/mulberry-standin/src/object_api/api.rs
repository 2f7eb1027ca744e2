//! HTTP routes of the stand-in for the object API.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;

use mulberry_platform::object_api::MAX_VALUE_BYTES;
use mulberry_platform::object_api::ObjectDocument;
use mulberry_platform::object_api::ObjectsDocument;
use mulberry_platform::object_api::VersionDocument;
use mulberry_platform::object_http::VERSION_HEADER;

use super::state::ObjectApiFaults;
use super::state::ObjectState;
use super::state::SharedObjectApi;
use super::state::StoredObject;
use super::state::WriteResult;
use crate::server::RunningServer;
use crate::server::StandinError;
use crate::server::start_server;

/// Delay before the status 504 that replaces a lost response, in milliseconds.
const LOST_RESPONSE_DELAY_MS: u64 = 50;

/// Longest time for which a watch waits for changes, in milliseconds.
const MAX_WATCH_TIMEOUT_MS: u64 = 60_000;

/// Starts the API's server. If a token is given, it refuses calls that don't send it as a bearer
/// token.
pub fn start_object_api(
    listen: SocketAddr,
    api: SharedObjectApi,
    token: Option<String>,
) -> Result<RunningServer, StandinError> {
    start_server(listen, 2, move |cfg| {
        cfg.app_data(web::Data::new(api.clone()))
            .app_data(web::Data::new(RequiredToken(token.clone())))
            .route("/objects/{key:.+}", web::get().to(read))
            .route("/objects/{key:.+}", web::put().to(write))
            .route("/objects/{key:.+}", web::delete().to(delete))
            .route("/list", web::get().to(list))
            .route("/watch", web::get().to(watch))
            .route("/counts", web::get().to(counts))
            .route("/faults", web::post().to(set_faults));
    })
}

/// Bearer token that callers must send, if any.
struct RequiredToken(Option<String>);

/// Decides whether a call reaches the objects.
struct CallGuard {
    api: web::Data<SharedObjectApi>,
}

impl CallGuard {
    /// Applies the injected delay and outage, then checks the token and the rate limits. Returns
    /// the response to a call that fails one of them.
    async fn admit(&self, req: &HttpRequest, is_write: bool) -> Result<(), HttpResponse> {
        let faults = self.api.lock().faults.clone();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return Err(HttpResponse::ServiceUnavailable().finish());
        }
        let token = req.app_data::<web::Data<RequiredToken>>().and_then(|t| t.0.clone());
        let sent = req.headers().get("authorization").and_then(|v| v.to_str().ok());
        if let Some(token) = token
            && sent != Some(&format!("Bearer {token}"))
        {
            return Err(HttpResponse::Unauthorized().finish());
        }
        if self.api.lock().admit(is_write) {
            Ok(())
        } else {
            Err(HttpResponse::TooManyRequests().finish())
        }
    }
}

async fn read(
    api: web::Data<SharedObjectApi>,
    req: HttpRequest,
    key: web::Path<String>,
) -> HttpResponse {
    if let Err(refusal) = (CallGuard { api: api.clone() }).admit(&req, false).await {
        return refusal;
    }
    let mut state = api.lock();
    state.counts.reads += 1;
    let stale = state.faults.stale_reads;
    let Some(stored) = state.objects.get(key.as_str()) else {
        return HttpResponse::NotFound().finish();
    };
    let (version, value) = visible_version(stored, stale);
    HttpResponse::Ok().insert_header((VERSION_HEADER, version.to_string())).body(value.clone())
}

/// Returns the version and value that reads see, which are those before the last change if stale.
fn visible_version(stored: &StoredObject, stale: bool) -> (u64, &Bytes) {
    match &stored.previous {
        Some((version, value)) if stale => (*version, value),
        _ => (stored.version, &stored.value),
    }
}

async fn write(
    api: web::Data<SharedObjectApi>,
    req: HttpRequest,
    key: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    if let Err(refusal) = (CallGuard { api: api.clone() }).admit(&req, true).await {
        return refusal;
    }
    if body.len() > MAX_VALUE_BYTES {
        return HttpResponse::PayloadTooLarge().finish();
    }
    let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
    let expected = match (header("if-none-match"), header("if-match").map(str::parse)) {
        (Some("*"), None) => None,
        (None, Some(Ok(version))) => Some(version),
        _ => return HttpResponse::PreconditionRequired().finish(),
    };
    api.lock().counts.writes += 1;
    let result = api.write(&key, body, expected);
    if api.lock().loses_response() {
        tokio::time::sleep(Duration::from_millis(LOST_RESPONSE_DELAY_MS)).await;
        return HttpResponse::GatewayTimeout().finish();
    }
    write_response(result)
}

async fn delete(
    api: web::Data<SharedObjectApi>,
    req: HttpRequest,
    key: web::Path<String>,
) -> HttpResponse {
    if let Err(refusal) = (CallGuard { api: api.clone() }).admit(&req, true).await {
        return refusal;
    }
    let expected = req.headers().get("if-match").and_then(|v| v.to_str().ok()?.parse().ok());
    let Some(expected) = expected else {
        return HttpResponse::PreconditionRequired().finish();
    };
    api.lock().counts.writes += 1;
    match api.delete(&key, expected) {
        Some(result) => write_response(result),
        None => HttpResponse::NotFound().finish(),
    }
}

fn write_response(result: WriteResult) -> HttpResponse {
    match result {
        WriteResult::Written(version) => HttpResponse::Ok().json(VersionDocument { version }),
        WriteResult::Conflict => HttpResponse::PreconditionFailed().finish(),
    }
}

#[derive(Deserialize)]
struct ListParameters {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: usize,
    #[serde(default)]
    values: bool,
}

async fn list(
    api: web::Data<SharedObjectApi>,
    req: HttpRequest,
    query: web::Query<ListParameters>,
) -> HttpResponse {
    if let Err(refusal) = (CallGuard { api: api.clone() }).admit(&req, false).await {
        return refusal;
    }
    let mut state = api.lock();
    state.counts.lists += 1;
    let stale = state.faults.stale_reads;
    let start = query.prefix.clone().max(query.after.clone());
    let mut found = state
        .objects
        .range(start..)
        .filter(|(key, _)| **key > query.after)
        .take_while(|(key, _)| key.starts_with(&query.prefix));
    let objects = found
        .by_ref()
        .take(query.limit)
        .map(|(key, stored)| {
            let (version, value) = visible_version(stored, stale);
            ObjectDocument {
                key: key.clone(),
                version,
                value: if query.values { BASE64_STANDARD.encode(value) } else { String::new() },
                deleted: false,
            }
        })
        .collect();
    let more = found.next().is_some();
    HttpResponse::Ok().json(ObjectsDocument { revision: state.revision, objects, more })
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WatchParameters {
    prefix: String,
    revision: u64,
    wait_ms: u64,
}

async fn watch(
    api: web::Data<SharedObjectApi>,
    req: HttpRequest,
    query: web::Query<WatchParameters>,
) -> HttpResponse {
    if let Err(refusal) = (CallGuard { api: api.clone() }).admit(&req, false).await {
        return refusal;
    }
    api.lock().counts.watches += 1;
    let mut changes = api.subscribe();
    let timeout = Duration::from_millis(query.wait_ms.min(MAX_WATCH_TIMEOUT_MS));
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        let document = {
            let state = api.lock();
            if state.faults.outage {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if state.faults.compact_watches || query.revision < state.oldest_revision() {
                return HttpResponse::Gone().finish();
            }
            changes_since(&state, &query.prefix, query.revision)
        };
        if !document.objects.is_empty() || tokio::time::Instant::now() >= deadline {
            return HttpResponse::Ok().json(document);
        }
        // Whether the wait timed out or any object changed, the loop checks again for matching
        // changes.
        let _timed_out = tokio::time::timeout_at(deadline, changes.changed()).await;
    }
}

/// Returns the kept changes after `revision` of objects with the prefix.
fn changes_since(state: &ObjectState, prefix: &str, revision: u64) -> ObjectsDocument {
    let changes =
        state.changes.iter().filter(|c| c.revision > revision && c.key.starts_with(prefix));
    let objects = changes
        .map(|c| ObjectDocument {
            key: c.key.clone(),
            version: c.revision,
            value: c.value.as_ref().map(|v| BASE64_STANDARD.encode(v)).unwrap_or_default(),
            deleted: c.value.is_none(),
        })
        .collect();
    ObjectsDocument { revision: state.revision, objects, more: false }
}

async fn counts(api: web::Data<SharedObjectApi>) -> HttpResponse {
    HttpResponse::Ok().json(api.counts())
}

async fn set_faults(
    api: web::Data<SharedObjectApi>,
    body: web::Json<ObjectApiFaults>,
) -> HttpResponse {
    api.set_faults(body.into_inner());
    HttpResponse::Ok().json(json!({}))
}
