//! When the store last confirmed the configuration in force.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mulberry_protocol::time::Millis;

/// Value of a time that stands for none.
const NEVER: u64 = 0;

/// Time of the last confirmation. An answer confirms the configuration for the time when its call was sent:
/// it may have lain unread for any time while the process was stopped.
#[derive(Debug, Default)]
pub struct Confirmation {
    asked_at: AtomicU64,
    confirmed_at: AtomicU64,
}

impl Confirmation {
    /// Records that the store is asked now.
    pub fn record_call(&self, now: Millis) {
        self.asked_at.store(now.0, Ordering::Relaxed);
    }

    /// Records that the last call was answered, and that its changes are in force.
    pub fn record_answer(&self) {
        self.confirmed_at.store(self.asked_at.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns when the call was sent that was answered last.
    pub fn confirmed_at(&self) -> Option<Millis> {
        match self.confirmed_at.load(Ordering::Relaxed) {
            NEVER => None,
            at => Some(Millis(at)),
        }
    }
}
