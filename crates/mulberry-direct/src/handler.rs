//! HTTP handler of an entry: reads callers' requests, finds their routes and writes the responses.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;

use mulberry_policy::waiting_line::usable_return_ms;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::route::RouteKind;
use mulberry_protocol::time::Millis;

use crate::accounts::authenticate;
use crate::accounts::authenticate_again;
use crate::accounts::set_account;
use crate::accounts::used_key;
use crate::caller_head::check_head_size;
use crate::caller_head::convert_method;
use crate::caller_head::forwarded_headers;
use crate::caller_head::host_without_port;
use crate::caller_head::parse_number_header;
use crate::caller_head::request_id;
use crate::caller_head::text_header;
use crate::caller_request::CallerRequest;
use crate::caller_response::copy_headers;
use crate::caller_response::refuse_request;
use crate::caller_response::response_builder;
use crate::connection::ConnectionPool;
use crate::fair_share::FairPlace;
use crate::fingerprint::online_fingerprint;
use crate::fingerprint::part_fingerprints;
use crate::job_client::JobClient;
use crate::job_handler::SUBMIT_TIMEOUT_MS;
use crate::job_handler::Submission;
use crate::job_handler::handle_job_request;
use crate::job_handler::submit_job;
use crate::relay::Relay;
use crate::relay::RelayResponse;
use crate::request_scope::RequestScope;
use crate::shared::RequestGuard;
use crate::shared::SharedState;
use crate::stream_body::stream_body;

/// Deadline of requests that state none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Part of the caller's deadline that is reserved for returning the response, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 150;

/// Largest request body if the configuration states no limit, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// `Retry-After` of requests that are refused because no configuration has been loaded, in
/// milliseconds.
const NOT_READY_RETRY_AFTER_MS: u32 = 500;

/// Request handler of one traffic thread, with its connections to endpoints and to the owner.
pub struct RequestHandler {
    pub(crate) shared: Arc<SharedState>,
    relay: Relay,
    pub(crate) jobs: JobClient,
}

impl RequestHandler {
    /// Creates a handler with its own connection pool.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let pool = ConnectionPool::with_max_buffered(shared.shares.response_bytes as usize);
        let relay = Relay { shared: shared.clone(), pool };
        Self { relay, jobs: JobClient::new(shared.clone()), shared }
    }
}

/// Handles every request of callers and every readiness probe of the load balancer.
pub async fn handle(
    req: HttpRequest,
    payload: web::Payload,
    handler: web::Data<RequestHandler>,
) -> HttpResponse {
    match RequestScope::begin(&handler.shared, &req) {
        Some(scope) => {
            let response = respond(&req, payload, &handler, &scope).await;
            scope.hold(response)
        }
        None => HttpResponse::InternalServerError().finish(),
    }
}

async fn respond(
    req: &HttpRequest,
    payload: web::Payload,
    handler: &RequestHandler,
    scope: &RequestScope,
) -> HttpResponse {
    let shared = &handler.shared;
    let dialect = &shared.dialect;
    if dialect.is_readiness_probe(req.method().as_str(), req.path()) {
        return readiness_response(shared);
    }
    let guard = shared.begin_request();
    let started = shared.clock.now();
    let path = req.uri().path();
    let query = req.uri().query().unwrap_or("");
    let response = match dialect.parse_job_request(req.method().as_str(), path, query) {
        Some(job_request) => match handle_job_request(handler, req, job_request).await {
            Ok(response) => response,
            Err(refusal) => refuse_in_time(shared, req, refusal, started),
        },
        None => match relay_request(handler, req, payload, guard, scope).await {
            Ok(response) => response,
            Err(refusal) => refuse_in_time(shared, req, refusal, started),
        },
    };
    shared.metrics.time_ms("direct.answer_head_ms", shared.clock.now().since(started));
    response
}

/// Refuses a request, and tells the caller to come back while it still has time.
fn refuse_in_time(
    shared: &SharedState,
    req: &HttpRequest,
    mut refusal: Refusal,
    started: Millis,
) -> HttpResponse {
    let deadline_ms = parse_number_header(req, &shared.dialect.headers().deadline_ms);
    if let (Some(deadline_ms), Some(retry_ms)) = (deadline_ms, refusal.retry_after_ms) {
        let left_ms = (started + deadline_ms).since(shared.clock.now());
        refusal = refusal.retry_after(usable_return_ms(retry_ms, left_ms));
    }
    refuse_request(shared, req, &refusal)
}

fn readiness_response(shared: &SharedState) -> HttpResponse {
    let ready = !shared.stop.is_triggered() && shared.configuration.load().is_some();
    if ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}

async fn relay_request(
    handler: &RequestHandler,
    req: &HttpRequest,
    payload: web::Payload,
    mut guard: RequestGuard,
    scope: &RequestScope,
) -> Result<HttpResponse, Refusal> {
    let shared = &handler.shared;
    let configuration = require_configuration(shared)?;
    let started = shared.clock.now();
    check_head_size(req, configuration.limits.header_bytes)?;
    let route = find_route(&configuration, req)?;
    let names = shared.dialect.headers();
    let account = authenticate(shared, &configuration, route.is_public, req)?;
    let deadline_ms = parse_number_header(req, &names.deadline_ms);
    let deadline_ms = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let longest_ms = longest_ms(&route, deadline_ms);
    require_time(shared, started + longest_ms)?;
    let max_bytes = match configuration.limits.body_bytes {
        0 => DEFAULT_MAX_BODY_BYTES,
        stated => stated,
    };
    let body = scope.read_body(payload, max_bytes).await?;
    let account = authenticate_again(shared, &configuration, route.is_public, req, account)?;
    let request_id = request_id(req, &shared.dialect.headers().request_id);
    if route.kind == RouteKind::Batch {
        require_time(shared, shared.clock.now() + longest_ms)?;
        let left_ms = longest_ms.saturating_sub(RESPONSE_MARGIN_MS);
        let submission = Submission { route, account, request_id, body, left_ms };
        return Ok(submit_job(handler, req, submission).await);
    }
    let due = started + longest_ms;
    // The body may have come for a long time, and the process may stop meanwhile.
    require_time(shared, due)?;
    let method = convert_method(req)?;
    let target = req.uri().path_and_query().map_or("/", |t| t.as_str()).to_owned();
    let host = host_without_port(req);
    let prompt = text_header(req, &shared.dialect.headers().prompt);
    let mut headers = forwarded_headers(req);
    if configuration.accounts.is_some() {
        set_account(&mut headers, names, account.as_ref().map(|a| &a.name))?;
    }
    let part_ids = prompt.as_deref().map(|value| shared.dialect.parse_shared_parts(value));
    let caller = CallerRequest {
        parts: part_fingerprints(&part_ids.unwrap_or_default()),
        key: used_key(shared, req, account.as_deref()),
        priority: account.as_ref().and_then(|a| a.priority).unwrap_or(route.priority),
        route,
        account,
        version: configuration.version,
        fingerprint: online_fingerprint(&method, host, &target, &body),
        caller: req.peer_addr().map(|a| a.ip()),
        method,
        target,
        headers,
        request_id,
        body,
        due,
        came_at: started,
        resumes: text_header(req, &shared.dialect.headers().resumes),
        last_event: parse_number_header(req, &shared.dialect.headers().last_event_id),
        is_continued: req.headers().contains_key(shared.dialect.headers().last_event_id.as_str()),
        place: FairPlace::default(),
    };
    let charge = shared.charge_rate(caller.account.as_deref()).await?;
    guard.begin_account(caller.account.as_deref());
    let left = Duration::from_millis(caller.due.since(shared.clock.now()));
    let relayed = tokio::time::timeout(left, handler.relay.forward(&caller)).await;
    let relayed = relayed.unwrap_or_else(|_| {
        Err(Refusal::unknown(RefusalReason::Deadline, "no endpoint responded before the deadline"))
    });
    charge.settle(&relayed);
    let response = relayed?;
    if let RelayResponse::Full(full) = &response {
        scope.reserve_response(full.body.len())?;
    }
    Ok(write_response(handler, caller, response, guard))
}

fn write_response(
    handler: &RequestHandler,
    caller: CallerRequest,
    response: RelayResponse,
    guard: RequestGuard,
) -> HttpResponse {
    let shared = &handler.shared;
    shared.count_relayed(caller.account.as_deref());
    match response {
        RelayResponse::Full(full) => {
            log_event!(
                info,
                Event::RequestRelayed,
                request = caller.id_text(),
                account = caller.account_text(),
                route = &*caller.route.name,
                version = caller.version,
                endpoint = %full.choice.endpoint.name,
                attempts = full.attempts,
                in_flight = full.choice.in_flight,
                view_age_ms = full.choice.view_age_ms,
                slowness_percent = full.choice.slowness_percent,
                status = full.status.as_u16(),
                left_ms = caller.due.since(shared.clock.now()),
                outcome = "whole"
            );
            let mut response = response_builder(shared, full.status.as_u16());
            copy_headers(&full.headers, &mut response);
            response.body(full.body)
        }
        RelayResponse::Stream(open) => {
            let mut response = response_builder(shared, open.response.status.as_u16());
            copy_headers(&open.response.headers, &mut response);
            response.streaming(stream_body(handler.relay.clone(), caller, open, guard))
        }
    }
}

/// Returns the longest time that a request takes, answered or not, in milliseconds.
fn longest_ms(route: &Route, deadline_ms: u64) -> u64 {
    match (route.kind, route.timeout_ms) {
        (RouteKind::Batch, _) => deadline_ms.min(SUBMIT_TIMEOUT_MS + RESPONSE_MARGIN_MS),
        (_, 0) => deadline_ms,
        (_, timeout_ms) => deadline_ms.min(timeout_ms),
    }
}

/// Refuses a request that might be cut off by the end of this process: it stops, and the request ends by
/// `due` at the latest.
pub(crate) fn require_time(shared: &SharedState, due: Millis) -> Result<(), Refusal> {
    if shared.drain.takes(due) {
        return Ok(());
    }
    let detail = "the process stops before the request must have ended";
    Err(Refusal::not_run(RefusalReason::Leaving, detail).retry_after(0))
}

/// Returns the configuration in force. Refuses the request if none has been loaded yet.
pub(crate) fn require_configuration(shared: &SharedState) -> Result<Arc<Configuration>, Refusal> {
    shared.configuration.load_full().ok_or_else(|| {
        Refusal::not_run(RefusalReason::NotReady, "no configuration has been loaded yet")
            .retry_after(NOT_READY_RETRY_AFTER_MS)
    })
}

fn find_route(configuration: &Configuration, req: &HttpRequest) -> Result<Arc<Route>, Refusal> {
    let found = configuration.find_route(host_without_port(req), req.uri().path());
    found.cloned().ok_or_else(|| {
        let (host, path) = (host_without_port(req), req.uri().path());
        let detail = format!(
            "configuration version {} has no route for {host}{path}",
            configuration.version
        );
        Refusal::not_run(RefusalReason::NotFound, detail)
    })
}
