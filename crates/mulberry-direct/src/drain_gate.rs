//! What the threads of an entry must know of its stop: which requests are still taken, and how many are in
//! progress.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mulberry_protocol::time::Millis;

/// Time up to which a request may take, for a process that does not stop.
const NO_END: u64 = u64::MAX;

/// The same for a process that takes no requests any more.
const TAKES_NONE: u64 = 0;

/// Which requests are taken, and the count of those in progress.
#[derive(Debug)]
pub struct DrainGate {
    /// Time in milliseconds up to which a request must have ended to be taken.
    takes_until: AtomicU64,
    in_progress: InProgressCount,
}

impl Default for DrainGate {
    fn default() -> Self {
        Self { takes_until: AtomicU64::new(NO_END), in_progress: InProgressCount::default() }
    }
}

impl DrainGate {
    /// Sets the time up to which a request must have ended to be taken, or that none is taken.
    pub fn set_takes_until(&self, until: Option<Millis>) {
        let until = until.map_or(TAKES_NONE, |at| at.0);
        // In one order with the counts of requests in progress, so that a request which is not counted
        // yet sees it.
        self.takes_until.store(until, Ordering::SeqCst);
    }

    /// Returns whether a request is taken that has ended by `due`, answered or not. It must be counted as
    /// in progress before.
    pub fn takes(&self, due: Millis) -> bool {
        due.0 <= self.takes_until.load(Ordering::SeqCst)
    }

    /// Returns whether the process stops.
    pub fn is_stopping(&self) -> bool {
        self.takes_until.load(Ordering::SeqCst) != NO_END
    }

    /// Returns the count of requests in progress.
    pub fn in_progress(&self) -> &InProgressCount {
        &self.in_progress
    }
}

/// The number of requests of callers in progress, from the end of their heads until the last byte of their
/// responses is written. Clones share the same number.
#[derive(Debug, Clone, Default)]
pub struct InProgressCount {
    number: Arc<AtomicU64>,
}

impl InProgressCount {
    /// Counts a request until the guard is dropped.
    pub fn begin(&self) -> InProgressGuard {
        self.number.fetch_add(1, Ordering::SeqCst);
        InProgressGuard { number: self.number.clone() }
    }

    /// Returns the number.
    pub fn get(&self) -> u64 {
        self.number.load(Ordering::SeqCst)
    }
}

/// Keeps one request counted as in progress until dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    number: Arc<AtomicU64>,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.number.fetch_sub(1, Ordering::SeqCst);
    }
}
