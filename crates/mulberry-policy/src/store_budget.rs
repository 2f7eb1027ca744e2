//! Limits a process's calls to the object API to its share of the rate, and lets important calls go
//! first.

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
        /// Leases and reads of the bundle in force.
        Lease,
        /// Reading results and inputs.
        Read,
        /// Listing and cleaning up.
        Listing,
    }
}

impl CallClass {
    /// All classes, most important first.
    pub const ALL: &'static [CallClass] =
        &[CallClass::Commit, CallClass::Lease, CallClass::Read, CallClass::Listing];

    /// Returns the class's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallClass::Commit => "commit",
            CallClass::Lease => "lease",
            CallClass::Read => "read",
            CallClass::Listing => "listing",
        }
    }

    /// Returns the share of the burst that calls of this class must leave for more important ones.
    fn reserve_share(self) -> f64 {
        match self {
            CallClass::Commit => 0.0,
            CallClass::Lease => 0.1,
            CallClass::Read => 0.25,
            CallClass::Listing => 0.5,
        }
    }
}

/// Rate limits of one process, in calls per second.
#[derive(Debug, Clone, Copy)]
pub struct StoreRates {
    /// Writes per second.
    pub writes_per_s: f64,
    /// Reads per second.
    pub reads_per_s: f64,
}

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPermit {
    /// The call may be made now.
    Granted,
    /// The call must wait: ask again after this many milliseconds.
    Wait(u64),
}

/// Size of the burst, in seconds of the rate.
const BURST_S: f64 = 1.0;

/// Longest delay after the first failed call, in milliseconds.
const FIRST_RETRY_DELAY_MS: u64 = 100;

/// Longest delay after any failed call, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 5_000;

/// The rate budget of one process's calls, and the backoff after failed ones.
#[derive(Debug)]
pub struct StoreBudget {
    rates: StoreRates,
    writes: TokenBucket,
    reads: TokenBucket,
    backoff: Backoff,
    blocked_until: Millis,
}

impl StoreBudget {
    /// Creates a full budget.
    pub fn new(rates: StoreRates, now: Millis) -> Self {
        Self {
            rates,
            writes: TokenBucket::new(rates.writes_per_s, rates.writes_per_s * BURST_S, now),
            reads: TokenBucket::new(rates.reads_per_s, rates.reads_per_s * BURST_S, now),
            backoff: Backoff::new(FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
            blocked_until: Millis(0),
        }
    }

    /// Limits the delay after failed calls to `max_delay_ms`, for a process that must notice the
    /// store's recovery quickly.
    pub fn with_max_backoff(mut self, max_delay_ms: u64) -> Self {
        self.backoff = Backoff::new(FIRST_RETRY_DELAY_MS, max_delay_ms);
        self
    }

    /// Takes a call of this class from the budget, or returns how long to wait for one.
    pub fn try_acquire(&mut self, class: CallClass, is_write: bool, now: Millis) -> CallPermit {
        if is_injected(InjectedFault::UnlimitedCalls) {
            return CallPermit::Granted;
        }
        if now < self.blocked_until {
            return CallPermit::Wait(self.blocked_until.since(now));
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

    /// Records a response of any kind. Returns whether the call before it failed.
    pub fn record_response(&mut self) -> bool {
        let recovered = self.backoff.failures() > 0;
        self.backoff.reset();
        recovered
    }

    /// Records a call without a response, or one refused for its rate, after which further calls
    /// wait.
    pub fn record_failure(&mut self, now: Millis, rng: &mut impl Rng) {
        // Calls that were already in flight when the first one failed don't lengthen the delay.
        if now < self.blocked_until {
            return;
        }
        self.blocked_until = now + self.backoff.next_delay_ms(rng);
    }

    /// Lets a call go at once though an earlier one has failed, for a caller that paces its calls itself.
    pub fn end_delay(&mut self, now: Millis) {
        self.blocked_until = self.blocked_until.min(now);
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.backoff.failures() > 0
    }
}
