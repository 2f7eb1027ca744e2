//! Decides whether a failed attempt may be retried, and limits retries by a budget so that they
//! can't multiply the load.

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
pub const MAX_NOT_RUN_ATTEMPTS: u32 = 8;

/// Retries earned by each first attempt.
const RETRY_RATIO: f64 = 0.2;

/// Retries per second that are allowed without traffic.
const RETRY_FLOOR_PER_S: f64 = 2.0;

/// Most unused retries that a budget holds.
const RETRY_BURST: f64 = 20.0;

closed_set! {
    /// Why an attempt is retried. Each cause has its own counter.
    pub enum RetryCause {
        /// The endpoint had no free slot, or could not start the request within its deadline.
        Busy,
        /// The endpoint is leaving the fleet and accepts no new requests.
        Leaving,
        /// The endpoint can't serve the request's target yet.
        NotReady,
        /// The link failed before the request was sent, or later if the request is idempotent.
        LinkFailed,
        /// The engine failed and the request is idempotent.
        EngineFailed,
        /// The link broke, and the side confirmed that the request never started.
        Barred,
    }
}

impl RetryCause {
    /// All causes.
    pub const ALL: &'static [RetryCause] = &[
        RetryCause::Busy,
        RetryCause::Leaving,
        RetryCause::NotReady,
        RetryCause::LinkFailed,
        RetryCause::EngineFailed,
        RetryCause::Barred,
    ];

    /// Returns the cause's name in metrics.
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

/// What is known of a failed attempt and of the attempts before it.
#[derive(Debug, Clone)]
pub struct FailedAttempt<'a> {
    /// The refusal that the side returned, or that stands for a broken link.
    pub refusal: &'a Refusal,
    /// Attempts so far that may have run, this one included if it may have.
    pub attempts: u32,
    /// Attempts so far that were refused as not run, this one included if it was.
    pub not_run_attempts: u32,
    /// Most attempts that may have run, the first included.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether any part of the response was sent to the caller.
    pub response_started: bool,
    /// Milliseconds left until the deadline.
    pub left_ms: u64,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint, if the retry budget allows.
    Retry(RetryCause),
    /// Ask the side whether the attempt started, then decide again.
    AskWhetherStarted,
    /// Return the refusal to the caller.
    GiveUp,
}

/// Decides what to do after a failed attempt. A request that isn't idempotent is only retried if
/// the attempt is known not to have run.
pub fn decide_retry(failed: &FailedAttempt<'_>) -> RetryDecision {
    let limit_reached =
        failed.attempts >= failed.max_attempts || failed.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS;
    if failed.response_started || limit_reached || failed.left_ms == 0 {
        return RetryDecision::GiveUp;
    }
    let refusal = failed.refusal;
    match (refusal.run, failed.idempotent) {
        (RunState::NotRun, _) if refusal.may_retry_elsewhere() => {
            RetryDecision::Retry(not_run_cause(refusal.reason))
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

/// Returns the refusal for the caller: the last attempt's, with the run state corrected by the
/// worst one of the attempts before. A request of which any attempt may have run must not be
/// reported as not run.
pub fn final_refusal(last: Refusal, worst_before: RunState) -> Refusal {
    if is_injected(InjectedFault::DenyRun) {
        return Refusal { run: RunState::NotRun, ..last };
    }
    Refusal { run: last.run.max(worst_before), ..last }
}

fn not_run_cause(reason: RefusalReason) -> RetryCause {
    match reason {
        RefusalReason::Busy | RefusalReason::Deadline => RetryCause::Busy,
        RefusalReason::Leaving => RetryCause::Leaving,
        RefusalReason::LinkFailed => RetryCause::LinkFailed,
        _ => RetryCause::NotReady,
    }
}

/// Retry budgets per client account and per service. Retries are a fixed share of first attempts.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    clients: IndexMap<ClientName, TokenBucket>,
    services: IndexMap<ServiceName, TokenBucket>,
}

impl RetryBudgets {
    /// Records a first attempt: adds the share of a retry that it earns to both budgets.
    pub fn record_first_attempt(
        &mut self,
        client: &ClientName,
        service: &ServiceName,
        now: Millis,
    ) {
        self.clients.entry(client.clone()).or_insert_with(|| new_bucket(now)).put(RETRY_RATIO);
        self.services.entry(service.clone()).or_insert_with(|| new_bucket(now)).put(RETRY_RATIO);
    }

    /// Takes one retry from both budgets, or none from either. Returns whether it did.
    pub fn take_retry(&mut self, client: &ClientName, service: &ServiceName, now: Millis) -> bool {
        let client_budget = self.clients.entry(client.clone()).or_insert_with(|| new_bucket(now));
        if !client_budget.take(1.0, now) {
            return false;
        }
        let service_budget =
            self.services.entry(service.clone()).or_insert_with(|| new_bucket(now));
        if service_budget.take(1.0, now) {
            return true;
        }
        client_budget.put(1.0);
        false
    }
}

fn new_bucket(now: Millis) -> TokenBucket {
    TokenBucket::new(RETRY_FLOOR_PER_S, RETRY_BURST, now)
}
