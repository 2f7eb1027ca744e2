//! HTTP routes of the stand-in for an engine: OpenAI-compatible completions, and calls for the side
//! and for tests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::settings::EngineFaults;
use super::state::AcceptedRequest;
use super::state::LoadedModel;
use super::state::SharedEngine;
use super::state::StreamEvent;
use super::text::token_text;
use crate::server::RunningServer;
use crate::server::StandinError;
use crate::server::start_server;

/// Starts the engine's server.
pub fn start_engine(
    listen: SocketAddr,
    engine: SharedEngine,
) -> Result<RunningServer, StandinError> {
    start_server(listen, 1, move |cfg| {
        cfg.app_data(web::Data::new(engine.clone()))
            .route("/v1/models", web::get().to(list_models))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/completions", web::post().to(complete))
            .route("/engine/cancel", web::post().to(cancel))
            .route("/engine/load", web::get().to(load))
            .route("/engine/cache-events", web::get().to(cache_events))
            .route("/engine/orders", web::post().to(order))
            .route("/engine/orders", web::get().to(orders))
            .route("/engine/faults", web::post().to(set_faults))
            .route("/engine/record", web::get().to(record))
            .route("/health", web::get().to(health));
    })
}

/// Which of the two completion APIs a request uses, and so the format of its response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CompletionApi {
    Chat,
    Text,
}

/// Error that breaks off the body of a response.
#[derive(Debug)]
struct StreamBroken;

impl std::fmt::Display for StreamBroken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the engine broke the stream")
    }
}

impl std::error::Error for StreamBroken {}

/// Cancels a run when its response is dropped before its end.
struct CancelOnDrop {
    engine: SharedEngine,
    id: u64,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.engine.abandon(self.id);
    }
}

async fn list_models(engine: web::Data<SharedEngine>) -> HttpResponse {
    let models = engine.ready_models();
    let data: Vec<Value> =
        models.iter().map(|(name, _)| json!({"id": name, "object": "model"})).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}

async fn chat(
    engine: web::Data<SharedEngine>,
    req: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    generate(&engine, &req, body.into_inner(), CompletionApi::Chat).await
}

async fn complete(
    engine: web::Data<SharedEngine>,
    req: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    generate(&engine, &req, body.into_inner(), CompletionApi::Text).await
}

/// Runs a request and streams its tokens, or returns them in one response.
async fn generate(
    engine: &SharedEngine,
    req: &HttpRequest,
    body: Value,
    api: CompletionApi,
) -> HttpResponse {
    let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
    let request_id = header("x-request-id").unwrap_or("unnamed").to_owned();
    let model = body.get("model").and_then(Value::as_str).unwrap_or("").to_owned();
    if !engine.ready_models().iter().any(|(name, _)| *name == model) {
        return HttpResponse::NotFound().json(json!({"error": {"message": "model not loaded"}}));
    }
    let resume_from = header("x-resume-from").and_then(|v| v.parse().ok()).unwrap_or(0);
    let resume = header("x-resume").map(|handle| (handle, resume_from));
    let Some(accepted) = engine.submit(&request_id, &body, resume) else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let guard = CancelOnDrop { engine: engine.clone(), id: accepted.id };
    if body.get("stream").and_then(Value::as_bool).unwrap_or(false) {
        let include_usage = body.pointer("/stream_options/include_usage").and_then(Value::as_bool);
        let resumed = if accepted.resumed { "yes" } else { "no" };
        let events = stream_events(accepted, guard, api, model, include_usage.unwrap_or(false));
        HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header(("x-resumed", resumed))
            .streaming(events)
    } else {
        full_response(accepted, guard, api, &model).await
    }
}

/// Returns the response to a request without `stream`, once its last token is generated.
async fn full_response(
    mut accepted: AcceptedRequest,
    guard: CancelOnDrop,
    api: CompletionApi,
    model: &str,
) -> HttpResponse {
    let mut text = String::new();
    loop {
        match accepted.events.recv().await {
            Some(StreamEvent::Token { index, last }) => {
                text.push_str(&token_text(accepted.prompt_hash, index));
                if last {
                    break;
                }
            }
            // A crashed engine sends nothing more, so the response is broken off.
            Some(StreamEvent::Crashed) | None => {
                let broken = stream::once(async { Err::<Bytes, _>(StreamBroken) });
                return HttpResponse::Ok().streaming(broken);
            }
            Some(StreamEvent::Cancelled) => return HttpResponse::Conflict().finish(),
        }
    }
    drop(guard);
    let finish = if accepted.reaches_limit { "length" } else { "stop" };
    let choice = match api {
        CompletionApi::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }),
        CompletionApi::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
    };
    HttpResponse::Ok().json(json!({
        "id": format!("cmpl-{}", accepted.id),
        "object": object_name(api, false),
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": usage_json(&accepted),
    }))
}

/// Returns the server-sent events of a request's stream.
fn stream_events(
    accepted: AcceptedRequest,
    guard: CancelOnDrop,
    api: CompletionApi,
    model: String,
    include_usage: bool,
) -> impl Stream<Item = Result<Bytes, StreamBroken>> {
    let state = Some((accepted, guard));
    stream::unfold(state, move |state| {
        let model = model.clone();
        async move {
            let (mut accepted, guard) = state?;
            match accepted.events.recv().await {
                Some(StreamEvent::Token { index, last }) => {
                    let mut text = token_event(&accepted, api, &model, index, last);
                    if !last {
                        return Some((Ok(Bytes::from(text)), Some((accepted, guard))));
                    }
                    if include_usage {
                        text.push_str(&format_event(&accepted, api, &model, json!([]), true));
                    }
                    text.push_str("data: [DONE]\n\n");
                    Some((Ok(Bytes::from(text)), None))
                }
                // A cancelled stream ends after all tokens generated, without the `[DONE]` event.
                Some(StreamEvent::Cancelled) => None,
                Some(StreamEvent::Crashed) | None => Some((Err(StreamBroken), None)),
            }
        }
    })
}

/// Returns the event of one token.
fn token_event(
    accepted: &AcceptedRequest,
    api: CompletionApi,
    model: &str,
    index: u32,
    last: bool,
) -> String {
    let text = token_text(accepted.prompt_hash, index);
    let finish = match (last, accepted.reaches_limit) {
        (false, _) => Value::Null,
        (true, true) => json!("length"),
        (true, false) => json!("stop"),
    };
    let choice = match api {
        CompletionApi::Chat => {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
        }
        CompletionApi::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
    };
    format_event(accepted, api, model, json!([choice]), false)
}

/// Returns a server-sent event with these choices, and with the token counts if `include_usage` is
/// set.
fn format_event(
    accepted: &AcceptedRequest,
    api: CompletionApi,
    model: &str,
    choices: Value,
    include_usage: bool,
) -> String {
    let mut value = json!({
        "id": format!("cmpl-{}", accepted.id),
        "object": object_name(api, true),
        "created": 0,
        "model": model,
        "choices": choices,
    });
    if include_usage {
        value["usage"] = usage_json(accepted);
    }
    format!("data: {value}\n\n")
}

/// Returns the `object` field of a response, or of a chunk of a streamed one.
fn object_name(api: CompletionApi, is_chunk: bool) -> &'static str {
    match (api, is_chunk) {
        (CompletionApi::Chat, true) => "chat.completion.chunk",
        (CompletionApi::Chat, false) => "chat.completion",
        (CompletionApi::Text, _) => "text_completion",
    }
}

fn usage_json(accepted: &AcceptedRequest) -> Value {
    json!({
        "prompt_tokens": accepted.prompt_tokens,
        "completion_tokens": accepted.answer_tokens,
        "total_tokens": accepted.prompt_tokens + accepted.answer_tokens,
    })
}

#[derive(Deserialize)]
struct CancelBody {
    request: String,
}

async fn cancel(engine: web::Data<SharedEngine>, body: web::Json<CancelBody>) -> HttpResponse {
    match engine.cancel(&body.request) {
        Some(tokens) => HttpResponse::Ok().json(json!({"resume": body.request, "tokens": tokens})),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn load(engine: web::Data<SharedEngine>) -> HttpResponse {
    let state = engine.lock();
    let lag = Duration::from_millis(state.settings.report_lag_ms);
    let report = state.load_reports.iter().rev().find(|(at, ..)| at.elapsed() >= lag);
    let (running, waiting) = report.map_or((0, 0), |(_, r, w)| (*r, *w));
    HttpResponse::Ok().json(json!({"running": running, "waiting": waiting}))
}

#[derive(Deserialize)]
struct CacheEventQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(
    engine: web::Data<SharedEngine>,
    query: web::Query<CacheEventQuery>,
) -> HttpResponse {
    let state = engine.lock();
    let lag = Duration::from_millis(state.settings.report_lag_ms);
    let visible = state
        .cache_events
        .iter()
        .filter(|(number, _, at)| *number > query.after && at.elapsed() >= lag);
    let events: Vec<Value> =
        visible.map(|(number, block, _)| json!({"number": number, "block": block})).collect();
    HttpResponse::Ok().json(json!({"events": events}))
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct OrderBody {
    fence: u64,
    action: String,
    model: String,
    #[serde(default)]
    version: String,
}

async fn order(engine: web::Data<SharedEngine>, body: web::Json<OrderBody>) -> HttpResponse {
    let mut state = engine.lock();
    if state.is_down() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if body.fence < state.highest_fence {
        state.stale_orders += 1;
        if state.settings.checks_orders {
            let highest = state.highest_fence;
            return HttpResponse::Conflict().json(json!({"highest": highest}));
        }
    }
    state.highest_fence = body.fence.max(state.highest_fence);
    state.order_fences.push(body.fence);
    match body.action.as_str() {
        "load" => {
            let ready_at = Instant::now() + Duration::from_millis(state.settings.load_ms);
            let version = body.version.clone();
            let current = state.models.get(&body.model);
            if current.is_none_or(|m| m.version != version) {
                let previous_version = current.and_then(LoadedModel::serving_version).cloned();
                let loaded = LoadedModel { version, ready_at, previous_version };
                state.models.insert(body.model.clone(), loaded);
            }
        }
        "unload" => {
            state.models.shift_remove(&body.model);
        }
        _ => return HttpResponse::BadRequest().finish(),
    }
    HttpResponse::Ok().json(json!({}))
}

async fn orders(engine: web::Data<SharedEngine>) -> HttpResponse {
    let highest = engine.highest_fence();
    let models: Vec<Value> = engine
        .ready_models()
        .into_iter()
        .map(|(model, version)| json!({"model": model, "version": version}))
        .collect();
    HttpResponse::Ok().json(json!({"highest": highest, "ready": models}))
}

async fn set_faults(
    engine: web::Data<SharedEngine>,
    body: web::Json<EngineFaults>,
) -> HttpResponse {
    engine.set_faults(body.into_inner());
    HttpResponse::Ok().json(json!({}))
}

async fn record(engine: web::Data<SharedEngine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.records())
}

async fn health(engine: web::Data<SharedEngine>) -> HttpResponse {
    if engine.lock().is_down() {
        HttpResponse::ServiceUnavailable().finish()
    } else {
        HttpResponse::Ok().finish()
    }
}
