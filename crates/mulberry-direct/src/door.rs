//! The callers' door of an entry: reads requests, finds their routes and writes the answers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode as CallerStatus;
use actix_web::web;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rand::Rng;

use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::route::RouteKind;

use crate::connection::ConnectionPool;
use crate::dialect::JobRequest;
use crate::exchange::strip_hop_headers;
use crate::job_calls::JobCall;
use crate::job_calls::JobClient;
use crate::job_calls::JobReply;
use crate::relay::CallerRequest;
use crate::relay::Relay;
use crate::relay::RelayAnswer;
use crate::shared::RequestGuard;
use crate::shared::SharedState;
use crate::stream_answer::stream_body;

/// Time that a request without an own deadline may take, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Longest time for which a submission is held while the store or the owner is away, in milliseconds.
const MAX_SUBMIT_MS: u64 = 2_500;

/// Part of a caller's time that is kept for the answer's way back, in milliseconds.
const WAY_BACK_MS: u64 = 150;

/// Time beyond the wait asked for in which the owner answers a read, in milliseconds.
const READ_SLACK_MS: u64 = 1_500;

/// Largest body before a configuration states a limit, in bytes.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time after which a caller of a process that knows no configuration may try again, in
/// milliseconds.
const NOT_READY_RETRY_MS: u32 = 500;

/// The door of one traffic thread.
pub struct Door {
    fleet: Arc<SharedState>,
    relay: Relay,
    jobs: JobClient,
}

impl Door {
    /// Makes a door with a pool of its own.
    pub fn new(fleet: Arc<SharedState>) -> Self {
        let relay = Relay { fleet: fleet.clone(), pool: ConnectionPool::default() };
        Self { relay, jobs: JobClient::new(fleet.clone()), fleet }
    }
}

/// Answers every request of callers and of the balancer.
pub async fn handle(
    req: HttpRequest,
    payload: web::Payload,
    door: web::Data<Door>,
) -> HttpResponse {
    let fleet = &door.fleet;
    let dialect = &fleet.dialect;
    if dialect.is_readiness_probe(req.method().as_str(), req.path()) {
        return answer_readiness(fleet);
    }
    if fleet.closing.load(Ordering::Relaxed) {
        let refusal = Refusal::not_run(RefusalReason::Leaving, "the process stops");
        return answer_refusal(fleet, &req, &refusal.retry_after(0));
    }
    let guard = fleet.begin_request();
    let started = fleet.clock.now();
    let path = req.uri().path();
    let query = req.uri().query().unwrap_or("");
    let response = match dialect.parse_job_request(req.method().as_str(), path, query) {
        Some(job_path) => answer_job_path(&door, &req, job_path).await,
        None => match answer_request(&door, &req, payload, guard).await {
            Ok(response) => response,
            Err(refusal) => answer_refusal(fleet, &req, &refusal),
        },
    };
    fleet.metrics.time_ms("direct.answer_head_ms", fleet.clock.now().since(started));
    response
}

fn answer_readiness(fleet: &SharedState) -> HttpResponse {
    let ready = !fleet.stop.is_triggered() && fleet.configuration.load().is_some();
    if ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}

async fn answer_request(
    door: &Door,
    req: &HttpRequest,
    payload: web::Payload,
    guard: RequestGuard,
) -> Result<HttpResponse, Refusal> {
    let fleet = &door.fleet;
    let configuration = known_configuration(fleet)?;
    let started = fleet.clock.now();
    check_head(req, configuration.limits.header_bytes)?;
    let route = find_route(&configuration, req)?;
    let body = read_body(payload, configuration.limits.body_bytes).await?;
    let deadline_ms = number_header(req, &fleet.dialect.headers().deadline_ms);
    let deadline_ms = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let request_id = request_id(req, &fleet.dialect.headers().request_id);
    if route.kind == RouteKind::Batch {
        let left_ms = deadline_ms.saturating_sub(WAY_BACK_MS).min(MAX_SUBMIT_MS);
        return Ok(submit_job(door, req, &route, request_id, body, left_ms).await);
    }
    let limit_ms =
        if route.timeout_ms == 0 { deadline_ms } else { deadline_ms.min(route.timeout_ms) };
    let returned = fleet.queue_limits().detect_retry(&route.name, deadline_ms);
    let caller = CallerRequest {
        route,
        version: configuration.version,
        method: method_of(req)?,
        target: req.uri().path_and_query().map_or("/", |t| t.as_str()).to_owned(),
        headers: forward_headers(req),
        request_id,
        body,
        due: started + limit_ms,
        returned,
    };
    let left = Duration::from_millis(caller.due.since(fleet.clock.now()));
    let served = tokio::time::timeout(left, door.relay.serve(&caller)).await;
    let answer = served.unwrap_or_else(|_| {
        Err(Refusal::unknown(RefusalReason::Deadline, "no endpoint answered in time"))
    })?;
    Ok(write_answer(door, caller, answer, guard))
}

fn write_answer(
    door: &Door,
    caller: CallerRequest,
    answer: RelayAnswer,
    guard: RequestGuard,
) -> HttpResponse {
    let fleet = &door.fleet;
    match answer {
        RelayAnswer::Whole(whole) => {
            log_event!(
                info,
                Event::RequestRelayed,
                request = caller.id_text(),
                route = &*caller.route.name,
                version = caller.version,
                endpoint = %whole.choice.endpoint.name,
                attempts = whole.attempts,
                in_flight = whole.choice.in_flight,
                view_age_ms = whole.choice.view_age_ms,
                status = whole.status.as_u16(),
                left_ms = caller.due.since(fleet.clock.now()),
                outcome = "whole"
            );
            let mut response = builder(fleet, whole.status.as_u16());
            copy_headers(&whole.headers, &mut response);
            response.body(whole.body)
        }
        RelayAnswer::Stream(open) => {
            let mut response = builder(fleet, open.answer.status.as_u16());
            copy_headers(&open.answer.headers, &mut response);
            response.streaming(stream_body(door.relay.clone(), caller, open, guard))
        }
    }
}

fn builder(fleet: &SharedState, status: u16) -> HttpResponseBuilder {
    let status = CallerStatus::from_u16(status).unwrap_or(CallerStatus::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if fleet.stop.is_triggered() {
        response.force_close();
    }
    response
}

fn copy_headers(headers: &HeaderMap, response: &mut HttpResponseBuilder) {
    for (name, value) in headers {
        response.append_header((name.as_str(), value.as_bytes()));
    }
}

async fn submit_job(
    door: &Door,
    req: &HttpRequest,
    route: &Route,
    request_id: HeaderValue,
    body: Bytes,
    left_ms: u64,
) -> HttpResponse {
    let job = request_id.to_str().unwrap_or("").to_owned();
    let host = host_of(req).to_owned();
    let route = route.name.to_string();
    let call = JobCall::Submit { job: JobId::new(&job), route, host, body, left_ms };
    let reply = door.jobs.call(&call, left_ms).await;
    answer_job_reply(door, &job, reply, true)
}

async fn answer_job_path(door: &Door, req: &HttpRequest, path: JobRequest) -> HttpResponse {
    let names = door.fleet.dialect.headers();
    let wait_ms = number_header(req, &names.wait_ms).unwrap_or(0);
    let (job, call) = match path {
        JobRequest::Results { job, after } => {
            (job.clone(), JobCall::Read { job: JobId::new(&job), after, wait_ms })
        }
        JobRequest::ItemBody { job, item } => {
            (job.clone(), JobCall::ItemBody { job: JobId::new(&job), item })
        }
        JobRequest::End { job } => {
            (job.clone(), JobCall::End { job: JobId::new(&job), left_ms: MAX_SUBMIT_MS })
        }
    };
    let reply = door.jobs.call(&call, wait_ms + READ_SLACK_MS).await;
    answer_job_reply(door, &job, reply, false)
}

fn answer_job_reply(door: &Door, job: &str, reply: JobReply, is_submission: bool) -> HttpResponse {
    let fleet = &door.fleet;
    match reply {
        JobReply::Accepted => builder(fleet, 202).finish(),
        JobReply::Ended | JobReply::Taken => builder(fleet, 200).finish(),
        JobReply::Page(page) => builder(fleet, 200).content_type("application/json").body(page),
        JobReply::Body(body) => {
            builder(fleet, 200).content_type("application/octet-stream").body(body)
        }
        JobReply::NotFound => builder(fleet, 404).finish(),
        JobReply::OverQuota => {
            log_event!(info, Event::JobRefused, job, reason = "over-quota");
            builder(fleet, 429).finish()
        }
        JobReply::Refused(refusal) => {
            log_event!(
                info,
                Event::JobRefused,
                job,
                reason = refusal.reason.as_str(),
                run = refusal.run.as_str(),
                detail = refusal.detail
            );
            let unknown = is_submission && refusal.run != RunState::NotRun;
            let status = match refusal.reason {
                RefusalReason::Malformed => 400,
                _ if unknown => 504,
                _ => 503,
            };
            write_refusal(fleet, status, refusal.retry_after_ms)
        }
    }
}

fn answer_refusal(fleet: &SharedState, req: &HttpRequest, refusal: &Refusal) -> HttpResponse {
    fleet.metrics.count_reason("direct.refusals", refusal.reason.as_str());
    let id = req.headers().get(fleet.dialect.headers().request_id.as_str());
    log_event!(
        info,
        Event::RequestRefused,
        request = id.and_then(|v| v.to_str().ok()).unwrap_or(""),
        path = req.path(),
        reason = refusal.reason.as_str(),
        run = refusal.run.as_str(),
        detail = refusal.detail
    );
    let may_have_run = refusal.run != RunState::NotRun;
    let status = match refusal.reason {
        RefusalReason::Deadline if may_have_run => 504,
        _ if may_have_run => 502,
        reason => reason.status(),
    };
    // A refusal that says "not run" has a status that promises it.
    let status = if !may_have_run && status == 502 { 503 } else { status };
    write_refusal(fleet, status, refusal.retry_after_ms)
}

fn write_refusal(fleet: &SharedState, status: u16, retry_after_ms: Option<u32>) -> HttpResponse {
    let mut response = builder(fleet, status);
    if let Some(span_ms) = retry_after_ms.filter(|_| status == 503) {
        let seconds = f64::from(span_ms) / 1000.0;
        response.insert_header(("retry-after", seconds.to_string()));
    }
    response.finish()
}

fn known_configuration(fleet: &SharedState) -> Result<Arc<Configuration>, Refusal> {
    fleet.configuration.load_full().ok_or_else(|| {
        Refusal::not_run(RefusalReason::NotReady, "no configuration is known yet")
            .retry_after(NOT_READY_RETRY_MS)
    })
}

fn find_route(configuration: &Configuration, req: &HttpRequest) -> Result<Arc<Route>, Refusal> {
    let found = configuration.find_route(host_of(req), req.uri().path());
    found.cloned().ok_or_else(|| {
        let detail = format!("version {} has no such route", configuration.version);
        Refusal::not_run(RefusalReason::NotFound, detail)
    })
}

/// Bytes around each header: a colon, a space and the end of the line.
const HEADER_OVERHEAD_BYTES: usize = 4;

fn check_head(req: &HttpRequest, max_bytes: usize) -> Result<(), Refusal> {
    let line = req.uri().path_and_query().map_or(0, |t| t.as_str().len());
    let headers = req
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    let bytes = line + headers.sum::<usize>();
    if max_bytes > 0 && bytes > max_bytes {
        let detail = format!("the head has {bytes} bytes of {max_bytes}");
        return Err(Refusal::not_run(RefusalReason::HeadTooLarge, detail));
    }
    Ok(())
}

async fn read_body(mut payload: web::Payload, max_bytes: usize) -> Result<Bytes, Refusal> {
    let max_bytes = if max_bytes == 0 { DEFAULT_BODY_BYTES } else { max_bytes };
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| Refusal::not_run(RefusalReason::Malformed, e.to_string()))?;
        body.extend_from_slice(&part);
        if body.len() > max_bytes {
            let detail = format!("the body has more than {max_bytes} bytes");
            return Err(Refusal::not_run(RefusalReason::TooLarge, detail));
        }
    }
    Ok(body.freeze())
}

fn host_of(req: &HttpRequest) -> &str {
    let host = req.headers().get("host").and_then(|v| v.to_str().ok()).unwrap_or("");
    host.split(':').next().unwrap_or(host)
}

fn number_header(req: &HttpRequest, name: &HeaderName) -> Option<u64> {
    let text = req.headers().get(name.as_str())?.to_str().ok()?;
    let number: f64 = text.trim().parse().ok()?;
    (number >= 0.0).then_some(number as u64)
}

fn request_id(req: &HttpRequest, name: &HeaderName) -> HeaderValue {
    let given = req.headers().get(name.as_str());
    let given = given.and_then(|v| HeaderValue::from_bytes(v.as_bytes()).ok());
    given.unwrap_or_else(|| HeaderValue::from(rand::rng().random::<u64>()))
}

fn method_of(req: &HttpRequest) -> Result<hyper::Method, Refusal> {
    hyper::Method::from_bytes(req.method().as_str().as_bytes())
        .map_err(|e| Refusal::not_run(RefusalReason::Malformed, e.to_string()))
}

fn forward_headers(req: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(req.headers().len() + 2);
    for (name, value) in req.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    strip_hop_headers(&mut headers);
    headers.remove("expect");
    headers
}
