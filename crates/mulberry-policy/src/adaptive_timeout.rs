//! Adapts the timeout of calls to how long their responses take.
//!
//! A lost response never comes, so waiting far longer than responses usually take is of no use. But
//! the timeout must grow when the store becomes slow, or every call would time out from then on.

/// Shortest timeout, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 120;

/// Longest timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 1_500;

/// Timeout as a multiple of the time that a response took.
const LATENCY_FACTOR: u64 = 5;

/// The timeout of the next call, which rises at once after a slow response and falls gradually.
#[derive(Debug, Clone)]
pub struct AdaptiveTimeout {
    timeout_ms: u64,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self { timeout_ms: 2 * MIN_TIMEOUT_MS }
    }
}

impl AdaptiveTimeout {
    /// Returns the timeout of the next call, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Records a response that took `latency_ms`.
    pub fn record_response(&mut self, latency_ms: u64) {
        let wanted = (latency_ms * LATENCY_FACTOR).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
        self.timeout_ms =
            if wanted >= self.timeout_ms { wanted } else { (self.timeout_ms + wanted) / 2 };
    }

    /// Records that a call timed out, which doubles the timeout.
    pub fn record_timeout(&mut self) {
        self.timeout_ms = (self.timeout_ms * 2).min(MAX_TIMEOUT_MS);
    }
}
