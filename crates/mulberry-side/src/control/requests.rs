//! Messages on requests: offers, progress, and queries whether an attempt started.

use actix::Handler;
use actix::Message;
use tokio::sync::mpsc;

use mulberry_policy::admission::Offer;
use mulberry_policy::admission::RequestId;
use mulberry_policy::suspects::RunRestriction;
use mulberry_protocol::link::Urgency;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::control::Decision;
use crate::control::SideControl;
use crate::control::TrackedRequest;
use crate::control::poison_refusal;

/// Offers a request. Returns its identifier, or a refusal; decisions are sent through `decisions`.
#[derive(Message)]
#[rtype(result = "Result<RequestId, Refusal>")]
pub(crate) struct OfferRequest {
    pub urgency: Urgency,
    pub deadline_ms: u32,
    pub prompt_tokens: u32,
    pub fingerprint: u64,
    /// Whether the request must run alone on the endpoint, as a suspect of crashes.
    pub alone: bool,
    /// Identifier of the attempt, which may be offered only once, for non-idempotent requests.
    pub attempt_once: Option<u64>,
    /// Shard and owner number, for batch items. An owner number lower than the highest one seen is
    /// refused.
    pub owner: Option<(u32, u64)>,
    pub decisions: mpsc::UnboundedSender<Decision>,
}

impl Handler<OfferRequest> for SideControl {
    type Result = Result<RequestId, Refusal>;

    fn handle(&mut self, offer: OfferRequest, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        if let Some((shard, owner_number)) = offer.owner {
            let highest = self.state.owner_numbers.entry(shard).or_insert(owner_number);
            if owner_number < *highest {
                return Err(Refusal::not_run(
                    RefusalReason::StaleOwner,
                    "another entry owns the job",
                ));
            }
            *highest = owner_number;
        }
        if let Some(attempt) = offer.attempt_once {
            if self.state.barred_attempts.contains(&attempt)
                || self.state.started_attempts.contains(&attempt)
            {
                return Err(Refusal::not_run(RefusalReason::Conflict, "the attempt was given up"));
            }
            Self::remember_attempt(&mut self.state.started_attempts, attempt);
        }
        if !self.endpoint_state.healthy {
            let detail = "the endpoint is starting";
            return Err(Refusal::not_run(RefusalReason::NotReady, detail).retry_after(500));
        }
        let restriction = self.suspects.restriction(offer.fingerprint, now);
        if restriction == RunRestriction::Refused {
            return Err(poison_refusal());
        }
        self.state.next_id += 1;
        let id = self.state.next_id;
        let request = TrackedRequest {
            fingerprint: offer.fingerprint,
            urgency: offer.urgency,
            decisions: offer.decisions,
        };
        self.state.requests.insert(id, request);
        let offered = Offer {
            id,
            deadline_ms: offer.deadline_ms,
            prompt_tokens: offer.prompt_tokens,
            alone: offer.alone || restriction == RunRestriction::Alone,
        };
        let actions = match offer.urgency {
            Urgency::Online => self.admission.offer_online(offered, now),
            Urgency::Batch => self.admission.offer_batch(offered, now),
        };
        self.apply_actions(actions);
        Ok(id)
    }
}

/// Records a request's progress.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) enum Progress {
    FirstToken {
        id: RequestId,
    },
    /// Further tokens, and the mean time between them in milliseconds.
    Tokens {
        id: RequestId,
        tokens: u32,
        gap_ms: f64,
    },
    /// A batch item stopped on the engine after it was preempted.
    Stopped {
        id: RequestId,
    },
    /// The request ended for any reason; `completed` if its whole response was received.
    Ended {
        id: RequestId,
        completed: bool,
    },
}

impl Handler<Progress> for SideControl {
    type Result = ();

    fn handle(&mut self, progress: Progress, _: &mut Self::Context) {
        let now = self.clock.now();
        match progress {
            Progress::FirstToken { id } => {
                let actions = self.admission.record_first_token(id, now);
                self.apply_actions(actions);
            }
            Progress::Tokens { id, tokens, gap_ms } => {
                self.admission.record_tokens(id, tokens, gap_ms, now);
            }
            Progress::Stopped { id } => {
                let actions = self.admission.record_stopped(id, now);
                self.apply_actions(actions);
            }
            Progress::Ended { id, completed } => self.end_request(id, completed),
        }
    }
}

/// Asks whether an attempt of a non-idempotent request started. One that did not is barred: it is
/// refused if it is offered later.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct QueryAttempt {
    pub attempt: u64,
}

impl Handler<QueryAttempt> for SideControl {
    type Result = bool;

    fn handle(&mut self, query: QueryAttempt, _: &mut Self::Context) -> bool {
        if self.state.started_attempts.contains(&query.attempt) {
            return true;
        }
        Self::remember_attempt(&mut self.state.barred_attempts, query.attempt);
        false
    }
}
