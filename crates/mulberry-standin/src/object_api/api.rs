//! The object API over HTTP.

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

use super::host::ObjectApiFaults;
use super::host::ObjectState;
use super::host::SharedObjectApi;
use super::host::Stored;
use super::host::WriteResult;
use crate::server::RunningServer;
use crate::server::StandinError;
use crate::server::start_server;

/// Time after which an answer that was lost ends as a closed connection, in milliseconds. Callers
/// stop waiting before.
const LOST_ANSWER_MS: u64 = 50;

/// Longest wait of a watch, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// Starts the API. With a token, calls without it are denied.
pub fn start_object_api(
    listen: SocketAddr,
    host: SharedObjectApi,
    token: Option<String>,
) -> Result<RunningServer, StandinError> {
    start_server(listen, 2, move |cfg| {
        cfg.app_data(web::Data::new(host.clone()))
            .app_data(web::Data::new(Token(token.clone())))
            .route("/objects/{key:.+}", web::get().to(read))
            .route("/objects/{key:.+}", web::put().to(write))
            .route("/objects/{key:.+}", web::delete().to(delete))
            .route("/list", web::get().to(list))
            .route("/watch", web::get().to(watch))
            .route("/counts", web::get().to(counts))
            .route("/faults", web::post().to(set_faults));
    })
}

struct Token(Option<String>);

struct Access {
    host: web::Data<SharedObjectApi>,
}

impl Access {
    /// Applies the faults, the credentials and the rate to a call.
    async fn admit(&self, req: &HttpRequest, is_write: bool) -> Result<(), HttpResponse> {
        let faults = self.host.lock().faults.clone();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return Err(HttpResponse::ServiceUnavailable().finish());
        }
        let token = req.app_data::<web::Data<Token>>().and_then(|t| t.0.clone());
        let given = req.headers().get("authorization").and_then(|v| v.to_str().ok());
        if let Some(token) = token
            && given != Some(&format!("Bearer {token}"))
        {
            return Err(HttpResponse::Unauthorized().finish());
        }
        if self.host.lock().admit(is_write) {
            Ok(())
        } else {
            Err(HttpResponse::TooManyRequests().finish())
        }
    }
}

async fn read(
    host: web::Data<SharedObjectApi>,
    req: HttpRequest,
    key: web::Path<String>,
) -> HttpResponse {
    if let Err(refused) = (Access { host: host.clone() }).admit(&req, false).await {
        return refused;
    }
    let mut state = host.lock();
    state.counts.reads += 1;
    let stale = state.faults.stale_reads;
    let Some(stored) = state.objects.get(key.as_str()) else {
        return HttpResponse::NotFound().finish();
    };
    let (version, value) = shown(stored, stale);
    HttpResponse::Ok().insert_header((VERSION_HEADER, version.to_string())).body(value.clone())
}

/// Returns the version and value that a read shows.
fn shown(stored: &Stored, stale: bool) -> (u64, &Bytes) {
    match &stored.previous {
        Some((version, value)) if stale => (*version, value),
        _ => (stored.version, &stored.value),
    }
}

async fn write(
    host: web::Data<SharedObjectApi>,
    req: HttpRequest,
    key: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    if let Err(refused) = (Access { host: host.clone() }).admit(&req, true).await {
        return refused;
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
    host.lock().counts.writes += 1;
    let result = host.write(&key, body, expected);
    if host.lock().loses_answer() {
        tokio::time::sleep(Duration::from_millis(LOST_ANSWER_MS)).await;
        return HttpResponse::GatewayTimeout().finish();
    }
    answer_write(result)
}

async fn delete(
    host: web::Data<SharedObjectApi>,
    req: HttpRequest,
    key: web::Path<String>,
) -> HttpResponse {
    if let Err(refused) = (Access { host: host.clone() }).admit(&req, true).await {
        return refused;
    }
    let expected = req.headers().get("if-match").and_then(|v| v.to_str().ok()?.parse().ok());
    let Some(expected) = expected else {
        return HttpResponse::PreconditionRequired().finish();
    };
    host.lock().counts.writes += 1;
    match host.delete(&key, expected) {
        Some(result) => answer_write(result),
        None => HttpResponse::NotFound().finish(),
    }
}

fn answer_write(result: WriteResult) -> HttpResponse {
    match result {
        WriteResult::Done(version) => HttpResponse::Ok().json(VersionDocument { version }),
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
    host: web::Data<SharedObjectApi>,
    req: HttpRequest,
    query: web::Query<ListParameters>,
) -> HttpResponse {
    if let Err(refused) = (Access { host: host.clone() }).admit(&req, false).await {
        return refused;
    }
    let mut state = host.lock();
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
            let (version, value) = shown(stored, stale);
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
    host: web::Data<SharedObjectApi>,
    req: HttpRequest,
    query: web::Query<WatchParameters>,
) -> HttpResponse {
    if let Err(refused) = (Access { host: host.clone() }).admit(&req, false).await {
        return refused;
    }
    host.lock().counts.watches += 1;
    let mut changed = host.subscribe();
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WATCH_MS));
    let end = tokio::time::Instant::now() + wait;
    loop {
        let document = {
            let state = host.lock();
            if state.faults.outage {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if state.faults.compact_watches || query.revision < state.oldest_revision() {
                return HttpResponse::Gone().finish();
            }
            changes_since(&state, &query.prefix, query.revision)
        };
        if !document.objects.is_empty() || tokio::time::Instant::now() >= end {
            return HttpResponse::Ok().json(document);
        }
        // A time-out answers with no change, like a change elsewhere does.
        let _timed_out = tokio::time::timeout_at(end, changed.changed()).await;
    }
}

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

async fn counts(host: web::Data<SharedObjectApi>) -> HttpResponse {
    HttpResponse::Ok().json(host.counts())
}

async fn set_faults(
    host: web::Data<SharedObjectApi>,
    body: web::Json<ObjectApiFaults>,
) -> HttpResponse {
    host.set_faults(body.into_inner());
    HttpResponse::Ok().json(json!({}))
}
