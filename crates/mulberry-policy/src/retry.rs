//! Decides whether a failed attempt may be repeated, within a budget that can't multiply load.

use indexmap::IndexMap;

use mulberry_protocol::closed_set;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::time::Millis;

use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;
use crate::token_bucket::TokenBucket;

/// Most attempts of one online request that may have run, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

/// Most attempts of one online request that endpoints refused as not run.
pub const MAX_MOVES: u32 = 8;

/// Retries earned by each first attempt.
const RETRY_RATIO: f64 = 0.2;

/// Retries a second allowed without traffic.
const RETRY_FLOOR_PER_S: f64 = 2.0;

/// Retries that can be saved up.
const RETRY_BURST: f64 = 20.0;

closed_set! {
    /// Why an attempt is repeated. Each cause has its own counter.
    pub enum RetryCause {
        /// The endpoint had no room.
        Busy,
        /// The endpoint is leaving.
        Leaving,
        /// The endpoint can't serve the target yet.
        NotReady,
        /// The link failed before the request was sent.
        LinkFailed,
        /// The engine failed and the request may run again.
        EngineFailed,
        /// The link broke, and the side said that the request never started.
        Barred,
    }
}

impl RetryCause {
    /// Lists every cause.
    pub const ALL: &'static [RetryCause] = &[
        RetryCause::Busy,
        RetryCause::Leaving,
        RetryCause::NotReady,
        RetryCause::LinkFailed,
        RetryCause::EngineFailed,
        RetryCause::Barred,
    ];

    /// Returns the cause's text in counter names.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryCause::Busy => "busy",
            RetryCause::Leaving => "leaving",
            RetryCause::NotReady => "not-ready",
            RetryCause::LinkFailed => "link-failed",
            RetryCause::EngineFailed => "engine-failed",
            RetryCause::Barred => "barred",
        }
    }
}

/// What is known of a failed attempt.
#[derive(Debug, Clone)]
pub struct FailedAttempt<'a> {
    /// The refusal, from the side or made for a broken link.
    pub refusal: &'a Refusal,
    /// Attempts so far that may have run, this one included if it may have.
    pub attempts: u32,
    /// Attempts so far that were refused as not run, this one included if it was.
    pub not_run_attempts: u32,
    /// Most attempts that may have run, the first included.
    pub max_attempts: u32,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether any part of the answer reached the caller.
    pub answer_started: bool,
    /// Milliseconds left until the deadline.
    pub left_ms: u64,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint, if the budget allows.
    Retry(RetryCause),
    /// Ask the side whether the attempt started, then judge again.
    AskWhetherStarted,
    /// Give the refusal to the caller.
    GiveUp,
}

/// Judges a failed attempt.
pub fn decide_retry(failed: &FailedAttempt<'_>) -> RetryDecision {
    let spent = failed.attempts >= failed.max_attempts || failed.not_run_attempts >= MAX_MOVES;
    if failed.answer_started || spent || failed.left_ms == 0 {
        return RetryDecision::GiveUp;
    }
    let refusal = failed.refusal;
    match (refusal.run, failed.idempotent) {
        (RunState::NotRun, _) if refusal.may_move() => {
            RetryDecision::Retry(cause_of_move(refusal.reason))
        }
        (RunState::NotRun, _) => RetryDecision::GiveUp,
        (_, false) if is_injected(InjectedFault::RetryWithoutProof) => {
            RetryDecision::Retry(RetryCause::LinkFailed)
        }
        (RunState::Unknown, false) if refusal.reason == RefusalReason::LinkFailed => {
            RetryDecision::AskWhetherStarted
        }
        (_, false) => RetryDecision::GiveUp,
        (_, true) => match refusal.reason {
            RefusalReason::LinkFailed => RetryDecision::Retry(RetryCause::LinkFailed),
            RefusalReason::EngineFailed => RetryDecision::Retry(RetryCause::EngineFailed),
            _ => RetryDecision::GiveUp,
        },
    }
}

/// Makes the caller's refusal out of the last attempt's and what is known of the ones before: a
/// request of which any attempt may have run was not "not run".
pub fn final_refusal(last: Refusal, worst_before: RunState) -> Refusal {
    if is_injected(InjectedFault::DenyRun) {
        return Refusal { run: RunState::NotRun, ..last };
    }
    Refusal { run: last.run.max(worst_before), ..last }
}

fn cause_of_move(reason: RefusalReason) -> RetryCause {
    match reason {
        RefusalReason::Busy | RefusalReason::Deadline => RetryCause::Busy,
        RefusalReason::Leaving => RetryCause::Leaving,
        RefusalReason::LinkFailed => RetryCause::LinkFailed,
        _ => RetryCause::NotReady,
    }
}

/// Retry budgets per client and per service: retries are a fixed share of first attempts.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    clients: IndexMap<ClientName, TokenBucket>,
    services: IndexMap<ServiceName, TokenBucket>,
}

impl RetryBudgets {
    /// Credits the budgets for a first attempt.
    pub fn note_first_attempt(&mut self, client: &ClientName, service: &ServiceName, now: Millis) {
        self.clients.entry(client.clone()).or_insert_with(|| new_bucket(now)).put(RETRY_RATIO);
        self.services.entry(service.clone()).or_insert_with(|| new_bucket(now)).put(RETRY_RATIO);
    }

    /// Takes one retry from both budgets, or none from either.
    pub fn take_retry(&mut self, client: &ClientName, service: &ServiceName, now: Millis) -> bool {
        let of_client = self.clients.entry(client.clone()).or_insert_with(|| new_bucket(now));
        if !of_client.take(1.0, now) {
            return false;
        }
        let of_service = self.services.entry(service.clone()).or_insert_with(|| new_bucket(now));
        if of_service.take(1.0, now) {
            return true;
        }
        of_client.put(1.0);
        false
    }
}

fn new_bucket(now: Millis) -> TokenBucket {
    TokenBucket::new(RETRY_FLOOR_PER_S, RETRY_BURST, now)
}
