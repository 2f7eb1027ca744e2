//! Relays one online request: chooses endpoints, tries again where that is allowed, and checks that
//! the answer belongs to the request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use rand::Rng;

use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::queue_limit::retry_after_ms;
use mulberry_policy::retry::FailedAttempt;
use mulberry_policy::retry::RetryDecision;
use mulberry_policy::retry::decide_retry;
use mulberry_policy::retry::final_refusal;
use mulberry_policy::routing::COLD_WAIT_MS;
use mulberry_policy::routing::Candidate;
use mulberry_policy::routing::RoutingMode;
use mulberry_policy::routing::choose_endpoint;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::route::Route;
use mulberry_protocol::route::RouteKind;
use mulberry_protocol::time::Millis;

use crate::connection::ConnectionPool;
use crate::exchange::Answer;
use crate::exchange::EndpointRequest;
use crate::exchange::ExchangeError;
use crate::exchange::exchange;
use crate::shared::LoadGuard;
use crate::shared::SharedState;

/// Largest whole answer that is relayed, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Time after which a caller may try again while no endpoint is ready, in milliseconds.
const RETRY_AFTER_MS: u32 = 400;

/// Longest wait for an answer of an idempotent request before another endpoint is asked, as a
/// multiple of the route's target.
const TRY_NEXT_TARGETS: u64 = 2;

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The route that it takes.
    pub route: Arc<Route>,
    /// Version of the configuration that has the route.
    pub version: u64,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers without those that concern one connection.
    pub headers: HeaderMap,
    /// Identifier of the attempt.
    pub request_id: HeaderValue,
    /// The whole body.
    pub body: Bytes,
    /// When an answer must have been given.
    pub due: Millis,
    /// Whether the caller has come back after a refusal.
    pub returned: bool,
}

impl CallerRequest {
    /// Returns the identifier as text for the log, empty if it is none.
    pub fn id_text(&self) -> &str {
        self.request_id.to_str().unwrap_or("")
    }
}

/// An endpoint that was chosen for a request, and what decided it.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointRecord,
    /// Requests and items of all processes that were in flight there, as far as known.
    pub in_flight: u32,
    /// Age of the oldest datagram by which that was known, in milliseconds.
    pub view_age_ms: u64,
}

/// A whole answer of an endpoint.
pub struct WholeAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers without those that concern one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Where the request ran.
    pub choice: Choice,
    /// Endpoints on which the request may have run.
    pub attempts: u32,
}

/// The answer of an endpoint to a caller's request.
pub enum RelayAnswer {
    /// A whole answer.
    Whole(WholeAnswer),
    /// A stream that has begun.
    Stream(OpenStream),
}

/// A stream that has begun at an endpoint.
pub struct OpenStream {
    /// When the request was sent.
    pub sent_at: Millis,
    /// The head, with the rest of the body to come.
    pub answer: Answer,
    /// Where it runs.
    pub choice: Choice,
    /// Counts the exchange.
    pub load: LoadGuard,
    /// Endpoints on which the request may have run so far.
    pub attempts: u32,
}

/// Relays requests on one thread.
#[derive(Clone)]
pub struct Relay {
    /// What the process knows.
    pub fleet: Arc<SharedState>,
    /// Idle connections of the thread.
    pub pool: ConnectionPool,
}

/// How an attempt went on so far.
struct Attempts {
    tried: Vec<EndpointName>,
    ran: u32,
    moves: u32,
    worst: RunState,
}

impl Relay {
    /// Relays a request until an endpoint has answered or none may be asked any more.
    pub async fn serve(&self, req: &CallerRequest) -> Result<RelayAnswer, Refusal> {
        let mut attempts =
            Attempts { tried: Vec::new(), ran: 0, moves: 0, worst: RunState::NotRun };
        loop {
            let choice = match self.choose(req, &attempts.tried) {
                Ok(choice) => choice,
                Err(refusal) => return Err(final_refusal(refusal, attempts.worst)),
            };
            let endpoint = &choice.endpoint;
            let refusal = match self.try_endpoint(req, &choice, attempts.ran + 1, None).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            match refusal.run {
                RunState::NotRun => attempts.moves += 1,
                RunState::Unknown | RunState::Ran => attempts.ran += 1,
            }
            attempts.tried.push(endpoint.name.clone());
            let verdict = decide_retry(&FailedAttempt {
                refusal: &refusal,
                attempts: attempts.ran,
                not_run_attempts: attempts.moves,
                max_attempts: req.route.attempts,
                idempotent: req.route.may_repeat(),
                answer_started: false,
                left_ms: req.due.since(self.fleet.clock.now()),
            });
            self.log_attempt(req, endpoint, &refusal, verdict);
            let worst = attempts.worst.max(refusal.run);
            match verdict {
                RetryDecision::Retry(cause) => {
                    self.fleet.metrics.count_reason("direct.retries", cause.as_str());
                    attempts.worst = worst;
                }
                RetryDecision::AskWhetherStarted | RetryDecision::GiveUp => {
                    return Err(final_refusal(refusal, attempts.worst));
                }
            }
        }
    }

    /// Asks one endpoint. `resume_after` is the number of the last event that the caller holds.
    pub async fn try_endpoint(
        &self,
        req: &CallerRequest,
        choice: &Choice,
        attempt: u32,
        resume_after: Option<u64>,
    ) -> Result<RelayAnswer, Refusal> {
        let endpoint = &choice.endpoint;
        let now = self.fleet.clock.now();
        let left_ms = req.due.since(now);
        if left_ms == 0 {
            return Err(Refusal::not_run(RefusalReason::Deadline, "no time is left"));
        }
        let load = self.fleet.begin_load(endpoint.load_key(), LoadClass::Online);
        let request = self.endpoint_request(req, endpoint, left_ms, resume_after)?;
        let may_try_next = req.route.kind == RouteKind::Idempotent && attempt < req.route.attempts;
        let limit_ms = match may_try_next {
            true => left_ms.min((req.route.target_ms * TRY_NEXT_TARGETS).max(1)),
            false => left_ms,
        };
        let asking = self.ask(req, choice, request, load, attempt);
        match tokio::time::timeout(Duration::from_millis(limit_ms), asking).await {
            Ok(Ok(answer)) => {
                self.fleet.note_endpoint_success(&endpoint.name);
                Ok(answer)
            }
            Ok(Err(e)) => Err(self.refusal_of(endpoint, e)),
            Err(_) => {
                self.note_failure(endpoint, "slow");
                Err(Refusal::unknown(
                    RefusalReason::LinkFailed,
                    "the endpoint did not answer in time",
                ))
            }
        }
    }

    async fn ask(
        &self,
        req: &CallerRequest,
        choice: &Choice,
        request: EndpointRequest,
        load: LoadGuard,
        attempt: u32,
    ) -> Result<RelayAnswer, ExchangeError> {
        let names = self.fleet.dialect.headers();
        let sent_at = self.fleet.clock.now();
        let mut answer = exchange(&self.pool, names, request).await?;
        if req.route.kind == RouteKind::Stream && answer.status.is_success() {
            let choice = choice.clone();
            let open = OpenStream { sent_at, answer, choice, load, attempts: attempt };
            return Ok(RelayAnswer::Stream(open));
        }
        let body = answer.read_all(MAX_ANSWER_BYTES).await?;
        let span_ms = self.fleet.clock.now().since(sent_at);
        self.fleet.queue_limits().note_run(&choice.endpoint.service, span_ms, 0);
        Ok(RelayAnswer::Whole(WholeAnswer {
            status: answer.status,
            headers: answer.headers,
            body,
            choice: choice.clone(),
            attempts: attempt,
        }))
    }

    fn refusal_of(&self, endpoint: &EndpointRecord, error: ExchangeError) -> Refusal {
        match error {
            ExchangeError::NotSent { detail } => {
                self.note_failure(endpoint, "not-sent");
                Refusal::not_run(RefusalReason::LinkFailed, detail)
            }
            ExchangeError::NotRun { status } => {
                let reason = match status {
                    StatusCode::MISDIRECTED_REQUEST => RefusalReason::NotReady,
                    _ => RefusalReason::Busy,
                };
                let retry_ms = retry_after_ms(rand::rng().random());
                Refusal::not_run(reason, "the endpoint did not run it").retry_after(retry_ms)
            }
            ExchangeError::Broken { detail } => {
                self.note_failure(endpoint, "broken");
                Refusal::unknown(RefusalReason::LinkFailed, detail)
            }
        }
    }

    fn note_failure(&self, endpoint: &EndpointRecord, cause: &str) {
        self.fleet.metrics.count_reason("direct.endpoint_failures", cause);
        if let Some(span_ms) = self.fleet.note_endpoint_failure(&endpoint.name) {
            self.pool.clear(endpoint.address);
            log_event!(warn, Event::EndpointEjected, endpoint = %endpoint.name, span_ms, cause);
        }
    }

    fn endpoint_request(
        &self,
        req: &CallerRequest,
        endpoint: &EndpointRecord,
        left_ms: u64,
        resume_after: Option<u64>,
    ) -> Result<EndpointRequest, Refusal> {
        let names = self.fleet.dialect.headers();
        let malformed = |detail: String| Refusal::not_run(RefusalReason::Malformed, detail);
        let mut headers = req.headers.clone();
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
        let expected = HeaderValue::from_str(endpoint.name.as_str());
        let expected = expected.map_err(|e| malformed(e.to_string()))?;
        headers.insert(names.expected_endpoint.clone(), expected);
        if let Some(number) = resume_after {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(number));
        }
        if !headers.contains_key(HOST) {
            let host = HeaderValue::from_str(&req.route.host);
            headers.insert(HOST, host.map_err(|e| malformed(e.to_string()))?);
        }
        let builder = Request::builder().method(req.method.clone()).uri(&req.target);
        let built = builder.body(Full::new(req.body.clone()));
        let mut request = built.map_err(|e| malformed(e.to_string()))?;
        *request.headers_mut() = headers;
        let address = endpoint.address;
        Ok(EndpointRequest { address, req: request, request_id: req.request_id.clone() })
    }

    /// Chooses an endpoint of the route that was not tried and has room, or says why there is none.
    pub fn choose(&self, req: &CallerRequest, tried: &[EndpointName]) -> Result<Choice, Refusal> {
        let endpoints = self.fleet.endpoints.load();
        let mut rng = rand::rng();
        let none = || {
            Refusal::not_run(RefusalReason::NoEndpoint, "no endpoint of the service is ready")
                .retry_after(RETRY_AFTER_MS)
        };
        let service = req.route.pick_service(rng.random()).ok_or_else(none)?;
        let ready: Vec<&EndpointRecord> = endpoints
            .values()
            .filter(|e| e.service == *service && e.state == EndpointState::Ready)
            .filter(|e| !tried.contains(&e.name))
            .collect();
        if ready.is_empty() {
            return Err(none());
        }
        let now = self.fleet.clock.now();
        let occupancy = self.fleet.occupancy();
        let ejector = self.fleet.ejector();
        let limits = self.fleet.queue_limits();
        let target_ms = req.route.target_ms;
        let mut usable: Vec<&EndpointRecord> = Vec::with_capacity(ready.len());
        let mut candidates: Vec<Candidate> = Vec::with_capacity(ready.len());
        for endpoint in ready {
            let load = occupancy.total_load(endpoint.load_key(), now);
            let max = limits.max_online(service, endpoint.slots, target_ms, req.returned);
            if load.online >= max {
                continue;
            }
            usable.push(endpoint);
            candidates.push(Candidate {
                name_hash: endpoint.load_key(),
                near: endpoint.zone == self.fleet.settings.zone,
                own_in_flight: occupancy.own_load(endpoint.load_key()).online,
                reported_online: load.total(),
                limit: endpoint.slots,
                reported_wait_ms: if endpoint.is_cold { COLD_WAIT_MS } else { 0 },
                avoid: ejector.is_ejected(&endpoint.name, now),
            });
        }
        match choose_endpoint(RoutingMode::LeastLoaded, &candidates, None, &mut rng) {
            Some(chosen) => Ok(Choice {
                endpoint: usable[chosen].clone(),
                in_flight: candidates[chosen].reported_online,
                view_age_ms: occupancy.max_report_age_ms(now),
            }),
            None => Err(Refusal::not_run(RefusalReason::Busy, "every endpoint is full")
                .retry_after(retry_after_ms(rng.random()))),
        }
    }

    fn log_attempt(
        &self,
        req: &CallerRequest,
        endpoint: &EndpointRecord,
        refusal: &Refusal,
        verdict: RetryDecision,
    ) {
        log_event!(
            info,
            Event::AttemptFailed,
            request = req.id_text(),
            route = &*req.route.name,
            version = req.version,
            endpoint = %endpoint.name,
            reason = refusal.reason.as_str(),
            run = refusal.run.as_str(),
            detail = refusal.detail,
            verdict = ?verdict,
            left_ms = req.due.since(self.fleet.clock.now())
        );
    }
}
