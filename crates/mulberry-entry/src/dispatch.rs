//! Dispatches online requests: chooses an endpoint, makes the attempt, and retries within the
//! budget.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use mulberry_link::LinkError;
use mulberry_policy::retry::FailedAttempt;
use mulberry_policy::retry::MAX_ATTEMPTS;
use mulberry_policy::retry::RetryCause;
use mulberry_policy::retry::RetryDecision;
use mulberry_policy::retry::decide_retry;
use mulberry_policy::retry::final_refusal;
use mulberry_policy::routing::Candidate;
use mulberry_policy::routing::RoutingMode;
use mulberry_policy::routing::choose_endpoint;
use mulberry_policy::suspects::RunRestriction;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::event::Event;
use mulberry_protocol::link::Dispatch;
use mulberry_protocol::link::FromSide;
use mulberry_protocol::link::ToSide;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::time::Millis;

use crate::actors::ControlActors;
use crate::control::LinkFailureReported;
use crate::control::SuspectsReported;
use crate::link_pool::return_link;
use crate::link_pool::take_link;
use crate::response::AttemptFailure;
use crate::response::AttemptResponse;
use crate::response::InFlight;
use crate::shared::Shared;
use crate::snapshot::EndpointRoute;

/// Time past a request's deadline to wait for the side's response or refusal, in milliseconds.
const RESPONSE_GRACE_MS: u64 = 2_000;

/// Timeout of a query whether an attempt started.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a caller may retry when no endpoint is ready, in milliseconds.
const NO_ENDPOINT_RETRY_AFTER_MS: u32 = 1_000;

/// Delay before the next attempt after an endpoint has failed a request more than once, multiplied
/// by the number of attempts that did not run.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for an endpoint to become ready, in milliseconds.
const NO_ENDPOINT_TIMEOUT_MS: u64 = 1_000;

/// Interval at which a waiting request checks for a ready endpoint.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Suspects run on one in this many endpoints of a service, so that the others are not disturbed.
const SUSPECT_ENDPOINT_DIVISOR: usize = 3;

/// An endpoint's response to an online request.
pub(crate) enum Outcome {
    /// A stream whose parts are relayed as they arrive.
    Stream(AttemptResponse),
    /// A response that was read to its end.
    Buffered { status: u16, content_type: String, body: Bytes },
}

/// An online request and the state of its attempts.
struct OnlineRequest<'a> {
    shared: &'a Shared,
    actors: &'a ControlActors,
    dispatch: Dispatch,
    /// Hash of the start of the prompt. Requests with the same hash go to the same endpoint if
    /// possible, which has the start in its cache.
    prefix_hash: Option<u64>,
    /// When the first token is due.
    deadline: Millis,
    /// Failed attempts that ran or may have run.
    attempts_maybe_run: u32,
    /// Failed attempts that did not run.
    attempts_not_run: u32,
    /// Endpoints of the failed attempts.
    tried: Vec<EndpointName>,
    /// Highest run state of the earlier attempts. If any of them may have run, the final refusal
    /// must not say that the request did not run.
    earlier_run: RunState,
}

/// Runs a request on an endpoint, with retries, and returns its response or the refusal for the
/// caller.
pub(crate) async fn run_online(
    shared: &Shared,
    actors: &ControlActors,
    dispatch: Dispatch,
    prefix_hash: Option<u64>,
) -> Result<Outcome, Refusal> {
    let now = shared.clock.now();
    shared.policies.retries().record_first_attempt(&dispatch.client, &dispatch.service, now);
    let deadline = now + u64::from(dispatch.deadline_ms);
    let tried = Vec::new();
    let mut request = OnlineRequest {
        shared,
        actors,
        dispatch,
        prefix_hash,
        deadline,
        attempts_maybe_run: 0,
        attempts_not_run: 0,
        tried,
        earlier_run: RunState::NotRun,
    };
    let ended = request.run().await;
    ended.map_err(|refusal| final_refusal(refusal, request.earlier_run))
}

impl OnlineRequest<'_> {
    async fn run(&mut self) -> Result<Outcome, Refusal> {
        loop {
            self.check_suspect_status()?;
            let route = self.wait_for_route().await?;
            self.dispatch.attempt = rand::rng().random();
            let left_ms = self.deadline.since(self.shared.clock.now());
            self.dispatch.deadline_ms = left_ms.min(u64::from(u32::MAX)) as u32;
            let failure = match self.attempt(&route).await {
                Ok(outcome) => {
                    self.shared.policies.ejector().record_success(&route.endpoint);
                    return Ok(outcome);
                }
                Err(failure) => failure,
            };
            match failure.refusal.run {
                RunState::NotRun => self.attempts_not_run += 1,
                RunState::Unknown | RunState::Ran => self.attempts_maybe_run += 1,
            }
            self.record_failure(&route, &failure);
            let run = self.authorize_retry(&route, failure).await?;
            self.earlier_run = self.earlier_run.max(run);
            if self.tried.contains(&route.endpoint) {
                // An endpoint is tried again only if all others were tried too or are ejected, so
                // the endpoints get some time before the next attempt.
                tokio::time::sleep(REPEAT_DELAY * self.attempts_not_run.max(1)).await;
            }
            self.tried.push(route.endpoint);
        }
    }

    /// Refuses a request that is confirmed to crash endpoints, and makes a suspect run alone.
    fn check_suspect_status(&mut self) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let restriction =
            self.shared.policies.suspects().restriction(self.dispatch.fingerprint, now);
        match restriction {
            RunRestriction::Unrestricted => {}
            RunRestriction::Alone => self.dispatch.alone = true,
            RunRestriction::Refused => {
                let detail = "the request crashed endpoints before";
                return Err(Refusal::not_run(RefusalReason::Poison, detail));
            }
        }
        Ok(())
    }

    /// Chooses an endpoint. If none is ready, waits for one, since a restarting engine is back
    /// soon.
    async fn wait_for_route(&self) -> Result<EndpointRoute, Refusal> {
        let started = self.shared.clock.now();
        loop {
            let chosen = if self.shared.is_control_stalled() {
                Err(Refusal::not_run(RefusalReason::NotReady, "the entry was paused")
                    .retry_after(NO_ENDPOINT_RETRY_AFTER_MS))
            } else {
                self.choose_route()
            };
            let now = self.shared.clock.now();
            let timed_out = now.since(started) >= NO_ENDPOINT_TIMEOUT_MS || now >= self.deadline;
            if chosen.is_ok() || timed_out {
                return chosen;
            }
            tokio::time::sleep(ENDPOINT_POLL_INTERVAL).await;
        }
    }

    /// Chooses an endpoint from the current snapshot by the routing policy.
    fn choose_route(&self) -> Result<EndpointRoute, Refusal> {
        let snapshot = self.shared.snapshot.load();
        let mut routes = snapshot.endpoints(&self.dispatch.service, self.dispatch.model.as_ref());
        if self.dispatch.alone {
            return choose_suspect_route(routes, self.dispatch.fingerprint, &self.tried);
        }
        let now = self.shared.clock.now();
        let candidates: Vec<Candidate> = {
            let ejector = self.shared.policies.ejector();
            routes
                .iter()
                .map(|r| {
                    let ejected = ejector.is_ejected(&r.endpoint, now);
                    r.to_candidate(ejected || self.tried.contains(&r.endpoint))
                })
                .collect()
        };
        let mode = RoutingMode::Affinity;
        let chosen = choose_endpoint(mode, &candidates, self.prefix_hash, &mut rand::rng());
        match chosen {
            Some(index) => Ok(routes.swap_remove(index).clone()),
            None => Err(no_endpoint_refusal()),
        }
    }

    /// Sends the request to an endpoint and waits for the head of a stream or for a complete
    /// response.
    async fn attempt(&self, route: &EndpointRoute) -> Result<Outcome, AttemptFailure> {
        let in_flight = InFlight::new(&route.in_flight);
        let secrets = &self.shared.secrets;
        let require_new = !self.dispatch.idempotent;
        let taken = take_link(route.address, secrets, require_new).await;
        let mut connection = taken.map_err(not_sent_failure)?;
        let message = ToSide::Dispatch(self.dispatch.clone());
        connection.send(&message).await.map_err(|e| maybe_sent_failure(&e))?;
        let begin =
            AttemptResponse::begin(connection, route.address, self.dispatch.attempt, in_flight);
        let timeout_ms = u64::from(self.dispatch.deadline_ms) + RESPONSE_GRACE_MS;
        let begun = tokio::time::timeout(Duration::from_millis(timeout_ms), begin).await;
        let mut response =
            begun.unwrap_or_else(|_| Err(maybe_sent_failure(&LinkError::TimedOut)))?;
        if response.is_stream() {
            return Ok(Outcome::Stream(response));
        }
        let body = response.read_to_end(crate::http::MAX_RESPONSE_BYTES).await?;
        let content_type = response.content_type.clone();
        Ok(Outcome::Buffered { status: response.status, content_type, body })
    }

    /// Records a failed attempt in the suspects, the ejector and the membership.
    fn record_failure(&self, route: &EndpointRoute, failure: &AttemptFailure) {
        let now = self.shared.clock.now();
        report_suspects(self.shared, self.actors, &failure.suspects);
        let reason = failure.refusal.reason;
        if !matches!(reason, RefusalReason::LinkFailed | RefusalReason::EngineFailed) {
            return;
        }
        let known = self.shared.snapshot.load().known_endpoints;
        let ejected = self.shared.policies.ejector().record_failure(&route.endpoint, known, now);
        if let Some(ejection_ms) = ejected {
            self.shared.metrics.count("entry.ejections");
            log_event!(warn, Event::EndpointEjected, endpoint = %route.endpoint,
                span_ms = ejection_ms);
        }
        if reason == RefusalReason::LinkFailed {
            let endpoint = route.endpoint.clone();
            self.actors.entry.do_send(LinkFailureReported { endpoint });
        }
    }

    /// Decides whether a failed attempt is retried and takes the retry from the budget. Returns the
    /// attempt's run state if so, and the refusal for the caller if not.
    async fn authorize_retry(
        &self,
        route: &EndpointRoute,
        failure: AttemptFailure,
    ) -> Result<RunState, Refusal> {
        let mut refusal = failure.refusal;
        let mut decision = self.retry_decision(&refusal);
        if decision == RetryDecision::AskWhetherStarted {
            let barred = self.bar_attempt(route).await;
            if !barred {
                return Err(refusal);
            }
            refusal = Refusal::not_run(RefusalReason::LinkFailed, refusal.detail);
            decision = match self.retry_decision(&refusal) {
                RetryDecision::Retry(_) => RetryDecision::Retry(RetryCause::Barred),
                other => other,
            };
        }
        let RetryDecision::Retry(cause) = decision else { return Err(refusal) };
        let now = self.shared.clock.now();
        let (client, service) = (&self.dispatch.client, &self.dispatch.service);
        if !self.shared.policies.retries().take_retry(client, service, now) {
            self.shared.metrics.count_reason("entry.retries_denied", cause.as_str());
            return Err(refusal);
        }
        self.shared.metrics.count_reason("entry.retries", cause.as_str());
        Ok(refusal.run)
    }

    /// Applies the retry policy to a refusal. If all endpoints were tried and this one has no
    /// capacity, gives up.
    fn retry_decision(&self, refusal: &Refusal) -> RetryDecision {
        let all_tried = {
            let snapshot = self.shared.snapshot.load();
            let routes = snapshot.endpoints(&self.dispatch.service, self.dispatch.model.as_ref());
            // The endpoint of the current attempt is added to `tried` only afterwards.
            routes.len() <= self.tried.len() + 1
        };
        let no_capacity = matches!(refusal.reason, RefusalReason::Busy | RefusalReason::Deadline);
        if no_capacity && all_tried {
            return RetryDecision::GiveUp;
        }
        decide_retry(&FailedAttempt {
            refusal,
            attempts: self.attempts_maybe_run,
            not_run_attempts: self.attempts_not_run,
            max_attempts: MAX_ATTEMPTS,
            idempotent: self.dispatch.idempotent,
            response_started: false,
            left_ms: self.deadline.since(self.shared.clock.now()),
        })
    }

    /// Asks the side whether the attempt started. A side on which it did not start bars it, so that
    /// it can't start later. Returns whether the attempt was barred.
    async fn bar_attempt(&self, route: &EndpointRoute) -> bool {
        let attempt = self.dispatch.attempt;
        let query = async {
            let mut connection = take_link(route.address, &self.shared.secrets, true).await.ok()?;
            connection.send(&ToSide::Query { attempt }).await.ok()?;
            let reply: FromSide = connection.receive().await.ok()?;
            return_link(route.address, connection);
            Some(reply)
        };
        let reply = tokio::time::timeout(QUERY_TIMEOUT, query).await.ok().flatten();
        matches!(reply, Some(FromSide::Barred { attempt: barred }) if barred == attempt)
    }
}

/// Merges suspects that a side reported, and has them sent to every other side.
pub(crate) fn report_suspects(
    shared: &Shared,
    actors: &ControlActors,
    suspects: &[mulberry_protocol::heartbeat::Suspect],
) {
    if suspects.is_empty() {
        return;
    }
    let now = shared.clock.now();
    shared.policies.suspects().merge(suspects, now);
    actors.entry.do_send(SuspectsReported { suspects: suspects.to_vec() });
}

/// Chooses the endpoint on which a suspect runs, by rendezvous hashing within a fixed share of the
/// endpoints. Every entry chooses the same one, and the other endpoints are used only once all of
/// that share were tried.
fn choose_suspect_route(
    mut routes: Vec<&EndpointRoute>,
    fingerprint: u64,
    tried: &[EndpointName],
) -> Result<EndpointRoute, Refusal> {
    routes.sort_by_key(|r| r.name_hash);
    let count = routes.len().div_ceil(SUSPECT_ENDPOINT_DIVISOR);
    let rank = |r: &EndpointRoute| stable_hash(&r.name_hash.to_le_bytes(), fingerprint);
    let (preferred, others) = routes.split_at_mut(count);
    preferred.sort_by_key(|r| rank(r));
    others.sort_by_key(|r| rank(r));
    let untried = routes.iter().find(|r| !tried.contains(&r.endpoint));
    untried.or(routes.first()).map(|r| (*r).clone()).ok_or_else(no_endpoint_refusal)
}

fn no_endpoint_refusal() -> Refusal {
    Refusal::not_run(RefusalReason::NoEndpoint, "no endpoint is ready for the request")
        .retry_after(NO_ENDPOINT_RETRY_AFTER_MS)
}

/// Returns the failure of an attempt for which no link could be opened, so that nothing was sent.
fn not_sent_failure(error: LinkError) -> AttemptFailure {
    AttemptFailure::from_refusal(Refusal::not_run(RefusalReason::LinkFailed, error.to_string()))
}

/// Returns the failure of an attempt that the side may have received.
fn maybe_sent_failure(error: &LinkError) -> AttemptFailure {
    AttemptFailure::from_refusal(Refusal::unknown(RefusalReason::LinkFailed, error.to_string()))
}
