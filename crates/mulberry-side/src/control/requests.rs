//! Requests that are offered to the side, their progress, and whether an attempt started.

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
use crate::control::Held;
use crate::control::SideControl;
use crate::control::poison_refusal;

/// Offers a request; decisions come through the channel.
#[derive(Message)]
#[rtype(result = "Result<RequestId, Refusal>")]
pub(crate) struct OfferRequest {
    pub urgency: Urgency,
    pub deadline_ms: u32,
    pub prompt_tokens: u32,
    pub fingerprint: u64,
    pub alone: bool,
    /// Attempt to be remembered, for non-idempotent requests.
    pub attempt_once: Option<u64>,
    /// Shard and owner number, for batch items.
    pub owner: Option<(u32, u64)>,
    pub decisions: mpsc::UnboundedSender<Decision>,
}

impl Handler<OfferRequest> for SideControl {
    type Result = Result<RequestId, Refusal>;

    fn handle(&mut self, offer: OfferRequest, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        if let Some((shard, number)) = offer.owner {
            let highest = self.state.owner_numbers.entry(shard).or_insert(number);
            if number < *highest {
                return Err(Refusal::not_run(
                    RefusalReason::StaleOwner,
                    "another entry owns the job",
                ));
            }
            *highest = number;
        }
        if let Some(attempt) = offer.attempt_once {
            if self.state.barred.contains(&attempt) || self.state.started.contains(&attempt) {
                return Err(Refusal::not_run(RefusalReason::Conflict, "the attempt was given up"));
            }
            Self::remember(&mut self.state.started, attempt);
        }
        if !self.engine.healthy {
            let detail = "the endpoint is starting";
            return Err(Refusal::not_run(RefusalReason::NotReady, detail).retry_after(500));
        }
        let standing = self.suspects.restriction(offer.fingerprint, now);
        if standing == RunRestriction::Refused {
            return Err(poison_refusal());
        }
        self.state.next_id += 1;
        let id = self.state.next_id;
        let held = Held {
            fingerprint: offer.fingerprint,
            urgency: offer.urgency,
            decisions: offer.decisions,
        };
        self.state.held.insert(id, held);
        let offered = Offer {
            id,
            deadline_ms: offer.deadline_ms,
            prompt_tokens: offer.prompt_tokens,
            alone: offer.alone || standing == RunRestriction::Alone,
        };
        let actions = match offer.urgency {
            Urgency::Online => self.admission.offer_online(offered, now),
            Urgency::Batch => self.admission.offer_batch(offered, now),
        };
        self.carry_out(actions);
        Ok(id)
    }
}

/// Reports a running request's progress.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) enum Progress {
    FirstToken { id: RequestId },
    Tokens { id: RequestId, tokens: u32, gap_ms: f64 },
    Stopped { id: RequestId },
    Ended { id: RequestId, completed: bool },
}

impl Handler<Progress> for SideControl {
    type Result = ();

    fn handle(&mut self, progress: Progress, _: &mut Self::Context) {
        let now = self.clock.now();
        match progress {
            Progress::FirstToken { id } => {
                let actions = self.admission.note_first_token(id, now);
                self.carry_out(actions);
            }
            Progress::Tokens { id, tokens, gap_ms } => {
                self.admission.note_tokens(id, tokens, gap_ms, now);
            }
            Progress::Stopped { id } => {
                let actions = self.admission.note_stopped(id, now);
                self.carry_out(actions);
            }
            Progress::Ended { id, completed } => self.end(id, completed),
        }
    }
}
/// Asks whether an attempt started, and bars it if it did not.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct QueryAttempt {
    pub attempt: u64,
}

impl Handler<QueryAttempt> for SideControl {
    type Result = bool;

    fn handle(&mut self, query: QueryAttempt, _: &mut Self::Context) -> bool {
        if self.state.started.contains(&query.attempt) {
            return true;
        }
        Self::remember(&mut self.state.barred, query.attempt);
        false
    }
}
