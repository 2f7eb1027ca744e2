//! The engine's HTTP API.

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

use super::host::LoadedModel;
use super::host::SharedEngine;
use super::host::StreamEvent;
use super::host::Ticket;
use super::settings::EngineFaults;
use super::text::token_text;
use crate::server::RunningServer;
use crate::server::StandinError;
use crate::server::start_server;

/// Starts the engine's API.
pub fn start_engine(listen: SocketAddr, host: SharedEngine) -> Result<RunningServer, StandinError> {
    start_server(listen, 1, move |cfg| {
        cfg.app_data(web::Data::new(host.clone()))
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

#[derive(Clone, Copy, PartialEq, Eq)]
enum Form {
    Chat,
    Completion,
}

#[derive(Debug)]
struct StreamBroken;

impl std::fmt::Display for StreamBroken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the engine broke the stream")
    }
}

impl std::error::Error for StreamBroken {}

/// Stops the request on the engine when the answer is dropped before its end.
struct Guard {
    host: SharedEngine,
    id: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.host.abandon(self.id);
    }
}

async fn list_models(host: web::Data<SharedEngine>) -> HttpResponse {
    let models = host.ready_models();
    let data: Vec<Value> =
        models.iter().map(|(name, _)| json!({"id": name, "object": "model"})).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}

async fn chat(
    host: web::Data<SharedEngine>,
    req: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    answer(&host, &req, body.into_inner(), Form::Chat).await
}

async fn complete(
    host: web::Data<SharedEngine>,
    req: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    answer(&host, &req, body.into_inner(), Form::Completion).await
}

async fn answer(host: &SharedEngine, req: &HttpRequest, body: Value, form: Form) -> HttpResponse {
    let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
    let request = header("x-request-id").unwrap_or("unnamed").to_owned();
    let model = body.get("model").and_then(Value::as_str).unwrap_or("").to_owned();
    if !host.ready_models().iter().any(|(name, _)| *name == model) {
        return HttpResponse::NotFound().json(json!({"error": {"message": "model not loaded"}}));
    }
    let resume_from = header("x-resume-from").and_then(|v| v.parse().ok()).unwrap_or(0);
    let resume = header("x-resume").map(|handle| (handle, resume_from));
    let Some(ticket) = host.submit(&request, &body, resume) else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let guard = Guard { host: host.clone(), id: ticket.id };
    if body.get("stream").and_then(Value::as_bool).unwrap_or(false) {
        let usage = body.pointer("/stream_options/include_usage").and_then(Value::as_bool);
        let resumed = if ticket.resumed { "yes" } else { "no" };
        let events = stream_events(ticket, guard, form, model, usage.unwrap_or(false));
        HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header(("x-resumed", resumed))
            .streaming(events)
    } else {
        whole_answer(ticket, guard, form, &model).await
    }
}

async fn whole_answer(mut ticket: Ticket, guard: Guard, form: Form, model: &str) -> HttpResponse {
    let mut text = String::new();
    loop {
        match ticket.events.recv().await {
            Some(StreamEvent::Token { index, last }) => {
                text.push_str(&token_text(ticket.prompt_hash, index));
                if last {
                    break;
                }
            }
            // A crashed engine sends nothing more: the answer is cut off.
            Some(StreamEvent::Crashed) | None => {
                let cut = stream::once(async { Err::<Bytes, _>(StreamBroken) });
                return HttpResponse::Ok().streaming(cut);
            }
            Some(StreamEvent::Cancelled) => return HttpResponse::Conflict().finish(),
        }
    }
    drop(guard);
    let finish = if ticket.limited { "length" } else { "stop" };
    let choice = match form {
        Form::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }),
        Form::Completion => json!({"index": 0, "text": text, "finish_reason": finish}),
    };
    HttpResponse::Ok().json(json!({
        "id": format!("cmpl-{}", ticket.id),
        "object": object_name(form, false),
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": usage_of(&ticket),
    }))
}

fn stream_events(
    ticket: Ticket,
    guard: Guard,
    form: Form,
    model: String,
    usage: bool,
) -> impl Stream<Item = Result<Bytes, StreamBroken>> {
    let state = Some((ticket, guard));
    stream::unfold(state, move |state| {
        let model = model.clone();
        async move {
            let (mut ticket, guard) = state?;
            match ticket.events.recv().await {
                Some(StreamEvent::Token { index, last }) => {
                    let mut text = token_event(&ticket, form, &model, index, last);
                    if !last {
                        return Some((Ok(Bytes::from(text)), Some((ticket, guard))));
                    }
                    if usage {
                        text.push_str(&event(&ticket, form, &model, json!([]), true));
                    }
                    text.push_str("data: [DONE]\n\n");
                    Some((Ok(Bytes::from(text)), None))
                }
                // A cancelled stream ends without its last event, after all that was generated.
                Some(StreamEvent::Cancelled) => None,
                Some(StreamEvent::Crashed) | None => Some((Err(StreamBroken), None)),
            }
        }
    })
}

fn token_event(ticket: &Ticket, form: Form, model: &str, index: u32, last: bool) -> String {
    let text = token_text(ticket.prompt_hash, index);
    let finish = match (last, ticket.limited) {
        (false, _) => Value::Null,
        (true, true) => json!("length"),
        (true, false) => json!("stop"),
    };
    let choice = match form {
        Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
        Form::Completion => json!({"index": 0, "text": text, "finish_reason": finish}),
    };
    event(ticket, form, model, json!([choice]), false)
}

fn event(ticket: &Ticket, form: Form, model: &str, choices: Value, usage: bool) -> String {
    let mut value = json!({
        "id": format!("cmpl-{}", ticket.id),
        "object": object_name(form, true),
        "created": 0,
        "model": model,
        "choices": choices,
    });
    if usage {
        value["usage"] = usage_of(ticket);
    }
    format!("data: {value}\n\n")
}

fn object_name(form: Form, chunk: bool) -> &'static str {
    match (form, chunk) {
        (Form::Chat, true) => "chat.completion.chunk",
        (Form::Chat, false) => "chat.completion",
        (Form::Completion, _) => "text_completion",
    }
}

fn usage_of(ticket: &Ticket) -> Value {
    json!({
        "prompt_tokens": ticket.prompt_tokens,
        "completion_tokens": ticket.answer_tokens,
        "total_tokens": ticket.prompt_tokens + ticket.answer_tokens,
    })
}

#[derive(Deserialize)]
struct CancelBody {
    request: String,
}

async fn cancel(host: web::Data<SharedEngine>, body: web::Json<CancelBody>) -> HttpResponse {
    match host.cancel(&body.request) {
        Some(tokens) => HttpResponse::Ok().json(json!({"resume": body.request, "tokens": tokens})),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn load(host: web::Data<SharedEngine>) -> HttpResponse {
    let state = host.lock();
    let lag = Duration::from_millis(state.settings.report_lag_ms);
    let report = state.reports.iter().rev().find(|(at, ..)| at.elapsed() >= lag);
    let (running, waiting) = report.map_or((0, 0), |(_, r, w)| (*r, *w));
    HttpResponse::Ok().json(json!({"running": running, "waiting": waiting}))
}

#[derive(Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(
    host: web::Data<SharedEngine>,
    query: web::Query<EventQuery>,
) -> HttpResponse {
    let state = host.lock();
    let lag = Duration::from_millis(state.settings.report_lag_ms);
    let late = state
        .cache_events
        .iter()
        .filter(|(number, _, at)| *number > query.after && at.elapsed() >= lag);
    let events: Vec<Value> =
        late.map(|(number, block, _)| json!({"number": number, "block": block})).collect();
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

async fn order(host: web::Data<SharedEngine>, body: web::Json<OrderBody>) -> HttpResponse {
    let mut state = host.lock();
    if state.is_down() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if body.fence < state.highest_fence {
        state.refused_orders += 1;
        if state.settings.checks_orders {
            let highest = state.highest_fence;
            return HttpResponse::Conflict().json(json!({"highest": highest}));
        }
    }
    state.highest_fence = body.fence.max(state.highest_fence);
    state.orders.push(body.fence);
    match body.action.as_str() {
        "load" => {
            let ready_at = Instant::now() + Duration::from_millis(state.settings.load_ms);
            let version = body.version.clone();
            let held = state.models.get(&body.model);
            if held.is_none_or(|m| m.version != version) {
                let before = held.and_then(LoadedModel::serving).cloned();
                let loaded = LoadedModel { version, ready_at, before };
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

async fn orders(host: web::Data<SharedEngine>) -> HttpResponse {
    let highest = host.highest_fence();
    let models: Vec<Value> = host
        .ready_models()
        .into_iter()
        .map(|(model, version)| json!({"model": model, "version": version}))
        .collect();
    HttpResponse::Ok().json(json!({"highest": highest, "ready": models}))
}

async fn set_faults(host: web::Data<SharedEngine>, body: web::Json<EngineFaults>) -> HttpResponse {
    host.set_faults(body.into_inner());
    HttpResponse::Ok().json(json!({}))
}

async fn record(host: web::Data<SharedEngine>) -> HttpResponse {
    HttpResponse::Ok().json(host.records())
}

async fn health(host: web::Data<SharedEngine>) -> HttpResponse {
    if host.lock().is_down() {
        HttpResponse::ServiceUnavailable().finish()
    } else {
        HttpResponse::Ok().finish()
    }
}
