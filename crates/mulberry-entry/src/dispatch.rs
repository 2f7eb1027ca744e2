//! Takes an online request to an endpoint: routing, attempts, retries within the budget.

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

use crate::answer::Answer;
use crate::answer::AttemptFailure;
use crate::answer::InFlight;
use crate::control::LinkFailureSeen;
use crate::control::SuspectsSeen;
use crate::controls::Controls;
use crate::link_pool::return_link;
use crate::link_pool::take_link;
use crate::shared::Shared;
use crate::snapshot::EndpointRoute;

/// Time beyond a request's deadline for the side's word on it, in milliseconds.
const ANSWER_SLACK_MS: u64 = 2_000;

/// Time for the answer to whether an attempt started.
const QUERY_TIME: Duration = Duration::from_secs(2);

/// Time after which a caller may ask again when no endpoint is ready, in milliseconds.
const NO_ENDPOINT_RETRY_MS: u32 = 1_000;

/// Wait before an endpoint that refused a request is tried again, for each refusal so far.
const MOVE_AGAIN: Duration = Duration::from_millis(50);

/// Longest wait for an endpoint to become ready, in milliseconds.
const NO_ENDPOINT_WAIT_MS: u64 = 1_000;

/// Time between looks for an endpoint.
const NO_ENDPOINT_LOOK: Duration = Duration::from_millis(20);

/// Share of the endpoints on which suspects run, as a divisor, so that others stay undisturbed.
const SUSPECT_ENDPOINT_DIVISOR: usize = 3;

/// An answer's beginning or its whole body.
pub(crate) enum Outcome {
    /// A stream whose parts are relayed as they come.
    Stream(Answer),
    /// A whole answer.
    Whole { status: u16, content_type: String, body: Bytes },
}

/// A request on its way.
struct Journey<'a> {
    shared: &'a Shared,
    controls: &'a Controls,
    dispatch: Dispatch,
    prefix: Option<u64>,
    due: Millis,
    attempts: u32,
    moves: u32,
    tried: Vec<EndpointName>,
    /// What is known of the attempts before.
    worst_run: RunState,
}

/// Takes a request to an endpoint and returns its answer, or the refusal that the caller gets.
pub(crate) async fn run_online(
    shared: &Shared,
    controls: &Controls,
    dispatch: Dispatch,
    prefix: Option<u64>,
) -> Result<Outcome, Refusal> {
    let now = shared.clock.now();
    shared.guards.retries().note_first_attempt(&dispatch.client, &dispatch.service, now);
    let due = now + u64::from(dispatch.deadline_ms);
    let tried = Vec::new();
    let mut journey = Journey {
        shared,
        controls,
        dispatch,
        prefix,
        due,
        attempts: 0,
        moves: 0,
        tried,
        worst_run: RunState::NotRun,
    };
    let ended = journey.run().await;
    ended.map_err(|refusal| final_refusal(refusal, journey.worst_run))
}

impl Journey<'_> {
    async fn run(&mut self) -> Result<Outcome, Refusal> {
        loop {
            self.check_standing()?;
            let route = self.wait_for_route().await?;
            self.dispatch.attempt = rand::rng().random();
            let left = self.due.since(self.shared.clock.now());
            self.dispatch.deadline_ms = left.min(u64::from(u32::MAX)) as u32;
            let failure = match self.attempt(&route).await {
                Ok(outcome) => {
                    self.shared.guards.ejector().note_success(&route.endpoint);
                    return Ok(outcome);
                }
                Err(failure) => failure,
            };
            match failure.refusal.run {
                RunState::NotRun => self.moves += 1,
                RunState::Unknown | RunState::Ran => self.attempts += 1,
            }
            self.learn(&route, &failure);
            let run = self.consider_retry(&route, failure).await?;
            self.worst_run = self.worst_run.max(run);
            if self.tried.contains(&route.endpoint) {
                // Every endpoint refused it: they get a moment.
                tokio::time::sleep(MOVE_AGAIN * self.moves.max(1)).await;
            }
            self.tried.push(route.endpoint);
        }
    }

    /// Refuses a request that crashes endpoints, and marks a suspect as such.
    fn check_standing(&mut self) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let standing = self.shared.guards.suspects().restriction(self.dispatch.fingerprint, now);
        match standing {
            RunRestriction::Unrestricted => {}
            RunRestriction::Alone => self.dispatch.alone = true,
            RunRestriction::Refused => {
                let detail = "the request crashed endpoints before";
                return Err(Refusal::not_run(RefusalReason::Poison, detail));
            }
        }
        Ok(())
    }

    /// Chooses an endpoint, and waits a moment if none is ready: an engine that restarts is back soon.
    async fn wait_for_route(&self) -> Result<EndpointRoute, Refusal> {
        let started = self.shared.clock.now();
        loop {
            let chosen = if self.shared.is_control_stuck() {
                Err(Refusal::not_run(RefusalReason::NotReady, "the entry was paused")
                    .retry_after(NO_ENDPOINT_RETRY_MS))
            } else {
                self.choose_route()
            };
            let now = self.shared.clock.now();
            let waited = now.since(started) >= NO_ENDPOINT_WAIT_MS || now >= self.due;
            if chosen.is_ok() || waited {
                return chosen;
            }
            tokio::time::sleep(NO_ENDPOINT_LOOK).await;
        }
    }

    fn choose_route(&self) -> Result<EndpointRoute, Refusal> {
        let snapshot = self.shared.snapshot.load();
        let mut routes = snapshot.endpoints(&self.dispatch.service, self.dispatch.model.as_ref());
        if self.dispatch.alone {
            return choose_suspect_route(routes, self.dispatch.fingerprint, &self.tried);
        }
        let now = self.shared.clock.now();
        let candidates: Vec<Candidate> = {
            let ejector = self.shared.guards.ejector();
            routes
                .iter()
                .map(|r| {
                    let ejected = ejector.is_ejected(&r.endpoint, now);
                    r.candidate(ejected || self.tried.contains(&r.endpoint))
                })
                .collect()
        };
        let mode = RoutingMode::Affinity;
        let chosen = choose_endpoint(mode, &candidates, self.prefix, &mut rand::rng());
        match chosen {
            Some(index) => Ok(routes.swap_remove(index).clone()),
            None => Err(no_endpoint()),
        }
    }

    async fn attempt(&self, route: &EndpointRoute) -> Result<Outcome, AttemptFailure> {
        let in_flight = InFlight::new(&route.in_flight);
        let secrets = &self.shared.secrets;
        let must_be_new = !self.dispatch.idempotent;
        let taken = take_link(route.address, secrets, must_be_new).await;
        let mut connection = taken.map_err(not_sent)?;
        let message = ToSide::Dispatch(self.dispatch.clone());
        connection.send(&message).await.map_err(|e| maybe_sent(&e))?;
        let begin = Answer::begin(connection, route.address, self.dispatch.attempt, in_flight);
        let limit = u64::from(self.dispatch.deadline_ms) + ANSWER_SLACK_MS;
        let begun = tokio::time::timeout(Duration::from_millis(limit), begin).await;
        let mut answer = begun.unwrap_or_else(|_| Err(maybe_sent(&LinkError::TimedOut)))?;
        if answer.is_stream() {
            return Ok(Outcome::Stream(answer));
        }
        let body = answer.read_whole(crate::http::MAX_ANSWER_BYTES).await?;
        let content_type = answer.content_type.clone();
        Ok(Outcome::Whole { status: answer.status, content_type, body })
    }

    /// Takes what a failure says of the endpoint and of suspects.
    fn learn(&self, route: &EndpointRoute, failure: &AttemptFailure) {
        let now = self.shared.clock.now();
        learn_suspects(self.shared, self.controls, &failure.suspects);
        let reason = failure.refusal.reason;
        if !matches!(reason, RefusalReason::LinkFailed | RefusalReason::EngineFailed) {
            return;
        }
        let known = self.shared.snapshot.load().known_endpoints;
        let ejected = self.shared.guards.ejector().note_failure(&route.endpoint, known, now);
        if let Some(span_ms) = ejected {
            self.shared.metrics.count("entry.ejections");
            log_event!(warn, Event::EndpointEjected, endpoint = %route.endpoint, span_ms);
        }
        if reason == RefusalReason::LinkFailed {
            let endpoint = route.endpoint.clone();
            self.controls.entry.do_send(LinkFailureSeen { endpoint });
        }
    }

    /// Returns whether the attempt ran if the request may be tried again, and the final refusal if
    /// not.
    async fn consider_retry(
        &self,
        route: &EndpointRoute,
        failure: AttemptFailure,
    ) -> Result<RunState, Refusal> {
        let mut refusal = failure.refusal;
        let mut verdict = self.judge(&refusal);
        if verdict == RetryDecision::AskWhetherStarted {
            let barred = self.is_barred(route).await;
            if !barred {
                return Err(refusal);
            }
            refusal = Refusal::not_run(RefusalReason::LinkFailed, refusal.detail);
            verdict = match self.judge(&refusal) {
                RetryDecision::Retry(_) => RetryDecision::Retry(RetryCause::Barred),
                other => other,
            };
        }
        let RetryDecision::Retry(cause) = verdict else { return Err(refusal) };
        let now = self.shared.clock.now();
        let (client, service) = (&self.dispatch.client, &self.dispatch.service);
        if !self.shared.guards.retries().take_retry(client, service, now) {
            self.shared.metrics.count_reason("entry.retries_denied", cause.as_str());
            return Err(refusal);
        }
        self.shared.metrics.count_reason("entry.retries", cause.as_str());
        Ok(refusal.run)
    }

    fn judge(&self, refusal: &Refusal) -> RetryDecision {
        let tried_all = {
            let snapshot = self.shared.snapshot.load();
            let routes = snapshot.endpoints(&self.dispatch.service, self.dispatch.model.as_ref());
            // The one just tried is not in the list yet.
            routes.len() <= self.tried.len() + 1
        };
        let full = matches!(refusal.reason, RefusalReason::Busy | RefusalReason::Deadline);
        if full && tried_all {
            return RetryDecision::GiveUp;
        }
        decide_retry(&FailedAttempt {
            refusal,
            attempts: self.attempts,
            not_run_attempts: self.moves,
            max_attempts: MAX_ATTEMPTS,
            idempotent: self.dispatch.idempotent,
            answer_started: false,
            left_ms: self.due.since(self.shared.clock.now()),
        })
    }

    /// Asks the side whether the attempt started, which bars it if it did not.
    async fn is_barred(&self, route: &EndpointRoute) -> bool {
        let attempt = self.dispatch.attempt;
        let query = async {
            let mut connection = take_link(route.address, &self.shared.secrets, true).await.ok()?;
            connection.send(&ToSide::Query { attempt }).await.ok()?;
            let answer: FromSide = connection.receive().await.ok()?;
            return_link(route.address, connection);
            Some(answer)
        };
        let answer = tokio::time::timeout(QUERY_TIME, query).await.ok().flatten();
        matches!(answer, Some(FromSide::Barred { attempt: of }) if of == attempt)
    }
}

/// Merges suspects that a side reported, and spreads them.
pub(crate) fn learn_suspects(
    shared: &Shared,
    controls: &Controls,
    suspects: &[mulberry_protocol::heartbeat::Suspect],
) {
    if suspects.is_empty() {
        return;
    }
    let now = shared.clock.now();
    shared.guards.suspects().merge(suspects, now);
    controls.entry.do_send(SuspectsSeen { suspects: suspects.to_vec() });
}

/// Chooses the endpoint on which a suspect runs. Every entry chooses the same one, and only a part
/// of the endpoints is ever chosen.
fn choose_suspect_route(
    mut routes: Vec<&EndpointRoute>,
    fingerprint: u64,
    tried: &[EndpointName],
) -> Result<EndpointRoute, Refusal> {
    routes.sort_by_key(|r| r.name_hash);
    let count = routes.len().div_ceil(SUSPECT_ENDPOINT_DIVISOR);
    let rank = |r: &EndpointRoute| stable_hash(&r.name_hash.to_le_bytes(), fingerprint);
    let (usual, others) = routes.split_at_mut(count);
    usual.sort_by_key(|r| rank(r));
    others.sort_by_key(|r| rank(r));
    let untried = routes.iter().find(|r| !tried.contains(&r.endpoint));
    untried.or(routes.first()).map(|r| (*r).clone()).ok_or_else(no_endpoint)
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(RefusalReason::NoEndpoint, "no endpoint is ready for the request")
        .retry_after(NO_ENDPOINT_RETRY_MS)
}

/// Makes the failure of a request that never left this process.
fn not_sent(error: LinkError) -> AttemptFailure {
    AttemptFailure::of(Refusal::not_run(RefusalReason::LinkFailed, error.to_string()))
}

/// Makes the failure of a request that the side may have received.
fn maybe_sent(error: &LinkError) -> AttemptFailure {
    AttemptFailure::of(Refusal::unknown(RefusalReason::LinkFailed, error.to_string()))
}
