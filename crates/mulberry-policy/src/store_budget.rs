//! Keeps a process's calls to the object API within its share, important calls first.

use rand::Rng;

use mulberry_protocol::closed_set;
use mulberry_protocol::time::Millis;

use crate::backoff::Backoff;
use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;
use crate::token_bucket::TokenBucket;

closed_set! {
    /// The importance of a call, most important first.
    pub enum CallClass {
        /// Acceptance, claims and commits.
        Commit,
        /// Leases and the bundle in force.
        Lease,
        /// Reading results and inputs.
        Read,
        /// Listing and clean-up.
        Listing,
    }
}

impl CallClass {
    /// Lists every class.
    pub const ALL: &'static [CallClass] =
        &[CallClass::Commit, CallClass::Lease, CallClass::Read, CallClass::Listing];

    /// Returns the class's text in counter names.
    pub fn as_str(self) -> &'static str {
        match self {
            CallClass::Commit => "commit",
            CallClass::Lease => "lease",
            CallClass::Read => "read",
            CallClass::Listing => "listing",
        }
    }

    /// Share of the burst that calls of this class must leave behind for more important ones.
    fn reserve_share(self) -> f64 {
        match self {
            CallClass::Commit => 0.0,
            CallClass::Lease => 0.1,
            CallClass::Read => 0.25,
            CallClass::Listing => 0.5,
        }
    }
}

/// Limits of one process, in calls a second.
#[derive(Debug, Clone, Copy)]
pub struct StoreRates {
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
}

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPermit {
    /// Make it.
    Granted,
    /// Ask again after this many milliseconds.
    Wait(u64),
}

/// Seconds of the rate that can be saved up.
const BURST_S: f64 = 1.0;

/// First wait after a failed call, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 100;

/// Longest wait after failed calls, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// The budget and health of one process's calls.
#[derive(Debug)]
pub struct StoreBudget {
    rates: StoreRates,
    writes: TokenBucket,
    reads: TokenBucket,
    backoff: Backoff,
    closed_until: Millis,
}

impl StoreBudget {
    /// Makes a full budget.
    pub fn new(rates: StoreRates, now: Millis) -> Self {
        Self {
            rates,
            writes: TokenBucket::new(rates.writes_per_s, rates.writes_per_s * BURST_S, now),
            reads: TokenBucket::new(rates.reads_per_s, rates.reads_per_s * BURST_S, now),
            backoff: Backoff::new(FIRST_BACKOFF_MS, MAX_BACKOFF_MS),
            closed_until: Millis(0),
        }
    }

    /// Bounds the wait after failed calls, for a process that must follow the store's return closely.
    pub fn with_max_backoff(mut self, longest_ms: u64) -> Self {
        self.backoff = Backoff::new(FIRST_BACKOFF_MS, longest_ms);
        self
    }

    /// Asks to make a call.
    pub fn try_acquire(&mut self, class: CallClass, is_write: bool, now: Millis) -> CallPermit {
        if is_injected(InjectedFault::UnlimitedCalls) {
            return CallPermit::Granted;
        }
        if now < self.closed_until {
            return CallPermit::Wait(self.closed_until.since(now));
        }
        let (bucket, rate) = if is_write {
            (&mut self.writes, self.rates.writes_per_s)
        } else {
            (&mut self.reads, self.rates.reads_per_s)
        };
        let reserve = (rate * BURST_S - 1.0).max(0.0) * class.reserve_share();
        if bucket.take_above(1.0, reserve, now) {
            CallPermit::Granted
        } else {
            CallPermit::Wait(bucket.wait_ms(1.0, reserve, now).max(1))
        }
    }

    /// Notes an answer of any kind. Returns whether calls had failed before it.
    pub fn note_answer(&mut self) -> bool {
        let recovered = self.backoff.failures() > 0;
        self.backoff.reset();
        recovered
    }

    /// Notes a call without an answer, or one refused for its rate. Further calls wait.
    pub fn note_failure(&mut self, now: Millis, rng: &mut impl Rng) {
        // Calls already under way when the first one failed don't lengthen the wait.
        if now < self.closed_until {
            return;
        }
        self.closed_until = now + self.backoff.next_wait_ms(rng);
    }

    /// Tells whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.backoff.failures() > 0
    }
}
