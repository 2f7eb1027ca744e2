//! Exponential backoff with jitter.

use rand::Rng;

/// Computes the delay after a failure, which doubles with each one until a success.
#[derive(Debug, Clone)]
pub struct Backoff {
    first_ms: u64,
    max_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose first delay is up to `first_ms` and whose longest is up to `max_ms`.
    pub fn new(first_ms: u64, max_ms: u64) -> Self {
        Self { first_ms, max_ms, failures: 0 }
    }

    /// Records a success, after which delays start again from the shortest.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure and returns the delay before the next attempt, in milliseconds, drawn at
    /// random from the upper half of the current step.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let doublings = self.failures.min(20);
        self.failures = self.failures.saturating_add(1);
        let step = self.first_ms.saturating_mul(1 << doublings).min(self.max_ms).max(1);
        rng.random_range(step.div_ceil(2)..=step)
    }
}
