//! Relays online requests: chooses an endpoint, sends the request, and retries at other endpoints
//! where the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use rand::Rng;

use mulberry_policy::event_sequence::is_continuation;
use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::retry::FailedAttempt;
use mulberry_policy::retry::RetryDecision;
use mulberry_policy::retry::decide_retry;
use mulberry_policy::retry::final_refusal;
use mulberry_policy::routing::COLD_WAIT_MS;
use mulberry_policy::stream_end::StreamEnding;
use mulberry_policy::stream_end::StreamPosition;
use mulberry_policy::stream_end::StreamVerdict;
use mulberry_policy::waiting_line::return_after_ms;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::route::RouteKind;
use mulberry_protocol::stream_origin::StreamOrigin;

use crate::accounts::require_key;
use crate::caller_request::CallerRequest;
use crate::choice::EndpointChoice;
use crate::connection::BreakCause;
use crate::connection::ConnectionPool;
use crate::exchange::EndpointRequest;
use crate::exchange::EndpointResponse;
use crate::exchange::ExchangeError;
use crate::exchange::exchange;
use crate::fingerprint::fingerprint_text;
use crate::fingerprint::parts_text;
use crate::origins::make_certain;
use crate::run_watch::RunWatch;
use crate::shared::LoadGuard;
use crate::shared::SharedState;
use crate::waiting::Turn;

/// Largest buffered response body that is relayed, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// A response whose body was read completely.
pub struct FullResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The endpoint that responded.
    pub choice: EndpointChoice,
    /// Number of endpoints on which the request may have run.
    pub attempts: u32,
}

/// An endpoint's response to a caller's request.
pub enum RelayResponse {
    /// The complete response; its body is buffered.
    Full(FullResponse),
    /// A streaming response of which only the head has been read.
    Stream(OpenStream),
}

/// A streaming response whose body is still to be read.
pub struct OpenStream {
    /// Watches the run.
    pub watch: RunWatch,
    /// The response head and the reader of its body.
    pub response: EndpointResponse,
    /// The endpoint that produces the stream.
    pub choice: EndpointChoice,
    /// Counts the request as in flight until the stream ends.
    pub load: LoadGuard,
    /// Number of endpoints on which the request may have run so far.
    pub attempts: u32,
    /// What began the stream, if it continues one.
    pub origin: Option<StreamOrigin>,
}

/// Relays requests on one traffic thread.
#[derive(Clone)]
pub struct Relay {
    /// State shared by the threads of the process.
    pub shared: Arc<SharedState>,
    /// The thread's connections to endpoints.
    pub pool: ConnectionPool,
}

/// Why an attempt at one endpoint failed.
#[derive(Debug)]
pub struct AttemptFailure {
    /// The refusal to return if the request is not tried again.
    pub refusal: Refusal,
    /// How the exchange broke, if it did after the request may have been written.
    pub cause: Option<BreakCause>,
    /// Whether the endpoint said that it had no room, and did not run the request.
    pub is_without_room: bool,
}

impl From<Refusal> for AttemptFailure {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, cause: None, is_without_room: false }
    }
}

/// Outcomes of the attempts at one request so far.
struct AttemptState {
    /// Endpoints that it is not sent to again.
    tried: Vec<EndpointName>,
    turn: Turn,
    /// Whether a trial was claimed for the request.
    has_trial: bool,
    /// Failed attempts that may have run.
    may_have_run: u32,
    /// Failed attempts that certainly did not run.
    not_run: u32,
    /// The run state, among the retried attempts, that is furthest from "not run".
    worst_run: RunState,
}

impl Relay {
    /// Sends a request to one endpoint after the other until one responds or no retry is allowed.
    pub async fn forward(&self, req: &CallerRequest) -> Result<RelayResponse, Refusal> {
        let origin = self.required_origin(req).await?;
        let mut attempts = AttemptState {
            tried: Vec::new(),
            turn: Turn::First,
            has_trial: false,
            may_have_run: 0,
            not_run: 0,
            worst_run: RunState::NotRun,
        };
        loop {
            let choice = match self.choose_permitted(req, &mut attempts, origin.as_ref()).await {
                Ok(choice) => choice,
                Err(refusal) => return Err(final_refusal(refusal, attempts.worst_run)),
            };
            let endpoint = &choice.endpoint;
            let tried = self
                .try_endpoint(req, &choice, attempts.may_have_run + 1, origin.as_ref(), None)
                .await;
            let failure = match tried {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            let refusal = &failure.refusal;
            attempts.turn = Turn::Again;
            match refusal.run {
                // It may have room again while the caller still waits.
                RunState::NotRun if failure.is_without_room => {}
                RunState::NotRun => {
                    attempts.not_run += 1;
                    attempts.tried.push(endpoint.name.clone());
                }
                RunState::Unknown | RunState::Ran => {
                    attempts.may_have_run += 1;
                    attempts.tried.push(endpoint.name.clone());
                }
            }
            let mut decision = decide_retry(&FailedAttempt {
                refusal,
                attempts: attempts.may_have_run,
                not_run_attempts: attempts.not_run,
                max_attempts: req.route.attempts,
                idempotent: req.route.may_repeat(),
                response_started: false,
                left_ms: req.due.since(self.shared.clock.now()),
            });
            let is_retried_break =
                failure.cause.is_some() && matches!(decision, RetryDecision::Retry(_));
            if is_retried_break && !self.shared.may_retry_after_break(req.keys()) {
                decision = RetryDecision::GiveUp;
            }
            self.log_attempt(req, endpoint, &failure, decision);
            let worst_run = attempts.worst_run.max(refusal.run);
            match decision {
                RetryDecision::Retry(cause) => {
                    self.shared.metrics.count_reason("direct.retries", cause.as_str());
                    attempts.worst_run = worst_run;
                }
                RetryDecision::AskWhetherStarted | RetryDecision::GiveUp => {
                    return Err(final_refusal(failure.refusal, attempts.worst_run));
                }
            }
        }
    }

    /// Chooses an endpoint for a request that may run, and claims its trial if it needs one.
    async fn choose_permitted(
        &self,
        req: &CallerRequest,
        attempts: &mut AttemptState,
        origin: Option<&StreamOrigin>,
    ) -> Result<EndpointChoice, Refusal> {
        let has_trial = attempts.has_trial && attempts.may_have_run == 0;
        let service = self.pick_service(req, &attempts.tried, origin)?;
        let permission = || match has_trial {
            true => Ok(Vec::new()),
            false => self.shared.check_permission(req.keys(), &service),
        };
        permission()?;
        let choosing =
            self.choose_within_limits(req, &service, &attempts.tried, origin, attempts.turn);
        let choice = choosing.await?;
        // While it waited for room, its key may have been removed, and it may have been convicted.
        require_key(&self.shared, req)?;
        for key in permission()? {
            self.shared.claim_online_trial(key).await?;
            attempts.has_trial = true;
        }
        Ok(choice)
    }

    /// Sends a request to one endpoint. If it continues a stream of `origin`, it is sent only to a
    /// process that is certain to be of its version. `resume_after` is the number of the last stream
    /// event that this process has passed on; the endpoint continues after it.
    pub async fn try_endpoint(
        &self,
        req: &CallerRequest,
        choice: &EndpointChoice,
        attempt: u32,
        origin: Option<&StreamOrigin>,
        resume_after: Option<u64>,
    ) -> Result<RelayResponse, AttemptFailure> {
        let endpoint = &choice.endpoint;
        let now = self.shared.clock.now();
        let left_ms = req.due.since(now);
        if left_ms == 0 {
            let detail = "the deadline has passed";
            return Err(Refusal::not_run(RefusalReason::Deadline, detail).into());
        }
        let load = self.shared.begin_load(endpoint.load_key(), LoadClass::Online);
        let min_held_ms = match origin {
            Some(_) => Some(make_certain(&self.shared, &self.pool, endpoint).await?),
            None => None,
        };
        let left_ms = req.due.since(self.shared.clock.now());
        let (shared, pool) = (self.shared.clone(), self.pool.clone());
        let watch = RunWatch::start(shared, pool, req, endpoint.clone());
        let mut request = self.endpoint_request(req, endpoint, left_ms, resume_after)?;
        request.min_held_ms = min_held_ms;
        let may_fail_over = req.route.kind == RouteKind::Idempotent && attempt < req.route.attempts;
        let timeout_ms = match may_fail_over {
            true => self.failover_ms(choice, left_ms, req.route.attempts - attempt + 1),
            false => left_ms,
        };
        let sending = self.send(req, choice, request, load, attempt, watch);
        let sending = async {
            let mut response = sending.await;
            if let Ok(RelayResponse::Stream(open)) = &mut response {
                open.origin = origin.cloned();
            }
            response
        };
        match tokio::time::timeout(Duration::from_millis(timeout_ms), sending).await {
            Ok(Ok(response)) => {
                self.shared.record_endpoint_success(&endpoint.name);
                self.shared.record_room(endpoint);
                Ok(response)
            }
            Ok(Err(e)) => Err(self.to_failure(req, choice, e)),
            Err(_) => {
                self.record_failure(endpoint, "slow");
                let detail = format!("no response from the endpoint within {timeout_ms} ms");
                Err(Refusal::unknown(RefusalReason::LinkFailed, detail).into())
            }
        }
    }

    async fn send(
        &self,
        req: &CallerRequest,
        choice: &EndpointChoice,
        request: EndpointRequest,
        load: LoadGuard,
        attempt: u32,
        mut watch: RunWatch,
    ) -> Result<RelayResponse, ExchangeError> {
        let names = self.shared.dialect.headers();
        let continues =
            req.route.resumable && request.req.headers().contains_key(&names.last_event_id);
        let exchanged = exchange(&self.pool, names, request).await;
        let mut response = watch_failure(&mut watch, exchanged).await?;
        self.shared.record_notice(&choice.endpoint, response.notice);
        if req.route.kind == RouteKind::Stream && response.status.is_success() {
            let status = response.status;
            if continues && !is_continuation(status.as_u16(), response.is_event_stream()) {
                let detail =
                    format!("a response of status {status} that does not continue the stream");
                return watch_failure(&mut watch, Err(ExchangeError::invalid(detail))).await;
            }
            let choice = choice.clone();
            let open =
                OpenStream { watch, response, choice, load, attempts: attempt, origin: None };
            return Ok(RelayResponse::Stream(open));
        }
        let read = response.read_all(MAX_RESPONSE_BYTES).await;
        let body = watch_failure(&mut watch, read).await?;
        let ending = StreamEnding {
            framing: response.framing,
            position: StreamPosition::BetweenEvents,
            is_continued: false,
            is_event_owed: false,
        };
        if self.shared.judge_ending(ending, &choice.endpoint).await == StreamVerdict::BrokenOff {
            let broken = Err(ExchangeError::broken_off(ending.position));
            return watch_failure(&mut watch, broken).await;
        }
        watch.complete(response.status.is_success(), response.framing);
        let duration_ms = self.shared.clock.now().since(watch.sent_at());
        self.shared.record_run_times(choice, duration_ms, None);
        Ok(RelayResponse::Full(FullResponse {
            status: response.status,
            headers: response.headers,
            body,
            choice: choice.clone(),
            attempts: attempt,
        }))
    }

    /// Returns the time for which a response of the endpoint is waited for before another one is asked, in
    /// milliseconds: an even part of what is left for each of the `attempts`, and as long as runs take at the
    /// most, if another one can still answer after that.
    fn failover_ms(&self, choice: &EndpointChoice, left_ms: u64, attempts: u32) -> u64 {
        let (endpoint, in_flight) = (&choice.endpoint, choice.in_flight + 1);
        let slowness = choice.slowness_percent as f64 / 100.0;
        let run_times = self.shared.run_times();
        let stuck_ms = run_times.stuck_ms(&endpoint.service, endpoint.slots, in_flight, slowness);
        let cold_ms = if endpoint.is_cold { u64::from(COLD_WAIT_MS) } else { 0 };
        let needed_ms = run_times.needed_ms(&endpoint.service);
        let wait_ms = stuck_ms.map_or(0, |ms| ms + cold_ms).max(left_ms / u64::from(attempts));
        if wait_ms + needed_ms <= left_ms { wait_ms } else { left_ms }
    }

    fn to_failure(
        &self,
        req: &CallerRequest,
        choice: &EndpointChoice,
        error: ExchangeError,
    ) -> AttemptFailure {
        let endpoint = &choice.endpoint;
        match error {
            ExchangeError::NotSent { detail } => {
                self.record_failure(endpoint, "not-sent");
                Refusal::not_run(RefusalReason::LinkFailed, detail).into()
            }
            ExchangeError::NotRun { status, matched, notice } => {
                let detail = ExchangeError::NotRun { status, matched, notice }.to_string();
                self.shared.record_notice(endpoint, notice);
                let reason = match status {
                    StatusCode::MISDIRECTED_REQUEST => RefusalReason::NotReady,
                    _ => RefusalReason::Busy,
                };
                // With free slots as far as is known, it refuses for another reason, and may go on to.
                let is_without_room =
                    reason == RefusalReason::Busy && choice.in_flight >= endpoint.slots;
                if is_without_room {
                    self.shared.record_full(endpoint);
                }
                let left_ms = req.due.since(self.shared.clock.now());
                let retry_ms = return_after_ms(left_ms, rand::rng().random());
                let refusal = Refusal::not_run(reason, detail).retry_after(retry_ms);
                AttemptFailure { refusal, cause: None, is_without_room }
            }
            ExchangeError::Broken { cause, detail } => {
                self.record_failure(endpoint, cause.as_str());
                let refusal = Refusal::unknown(RefusalReason::LinkFailed, detail);
                AttemptFailure { refusal, cause: Some(cause), is_without_room: false }
            }
        }
    }

    fn record_failure(&self, endpoint: &EndpointRecord, cause: &str) {
        self.shared.metrics.count_reason("direct.endpoint_failures", cause);
        if let Some(ejection_ms) = self.shared.record_endpoint_failure(&endpoint.name) {
            self.pool.clear(endpoint.address);
            log_event!(warn, Event::EndpointEjected, endpoint = %endpoint.name,
                span_ms = ejection_ms, cause);
        }
    }

    fn endpoint_request(
        &self,
        req: &CallerRequest,
        endpoint: &EndpointRecord,
        left_ms: u64,
        resume_after: Option<u64>,
    ) -> Result<EndpointRequest, Refusal> {
        let names = self.shared.dialect.headers();
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
        let request_id = req.request_id.clone();
        Ok(EndpointRequest { address, req: request, request_id, min_held_ms: None })
    }

    fn log_attempt(
        &self,
        req: &CallerRequest,
        endpoint: &EndpointRecord,
        failure: &AttemptFailure,
        decision: RetryDecision,
    ) {
        let refusal = &failure.refusal;
        log_event!(
            info,
            Event::AttemptFailed,
            request = req.id_text(),
            account = req.account_text(),
            route = &*req.route.name,
            version = req.version,
            endpoint = %endpoint.name,
            software = %endpoint.software,
            reason = refusal.reason.as_str(),
            run = refusal.run.as_str(),
            detail = refusal.detail,
            fingerprint = fingerprint_text(req.fingerprint),
            caller = %req.caller_text(),
            prompt = parts_text(&req.parts),
            broke = failure.cause.map_or("", BreakCause::as_str),
            verdict = ?decision,
            left_ms = req.due.since(self.shared.clock.now())
        );
    }
}

/// Tells the watch of a run how its exchange failed, if it did.
async fn watch_failure<T>(
    watch: &mut RunWatch,
    exchanged: Result<T, ExchangeError>,
) -> Result<T, ExchangeError> {
    match &exchanged {
        Err(e) if e.is_crash() => watch.record_crash().await,
        // The watch sees by itself whether the endpoint was silent.
        Ok(_) | Err(ExchangeError::Broken { cause: BreakCause::Silent, .. }) => {}
        Err(_) => watch.dismiss(),
    }
    exchanged
}
