//! How long a call's answer is waited for before the call counts as unanswered.
//!
//! Answers that are lost never come, so that a wait far beyond the usual time is wasted; a store that
//! turned slow must not be given up on for ever.

/// Shortest wait, in milliseconds.
const MIN_MS: u64 = 120;

/// Longest wait, in milliseconds.
const MAX_MS: u64 = 1_500;

/// Wait as a multiple of the time that an answer took.
const SPAN_FACTOR: u64 = 5;

/// The wait for the next answer.
#[derive(Debug, Clone)]
pub struct AdaptiveTimeout {
    wait_ms: u64,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self { wait_ms: 2 * MIN_MS }
    }
}

impl AdaptiveTimeout {
    /// Returns the wait in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        self.wait_ms
    }

    /// Notes an answer that came after `span_ms`.
    pub fn note_answer(&mut self, span_ms: u64) {
        let wanted = (span_ms * SPAN_FACTOR).clamp(MIN_MS, MAX_MS);
        self.wait_ms = if wanted >= self.wait_ms { wanted } else { (self.wait_ms + wanted) / 2 };
    }

    /// Notes that no answer came in time.
    pub fn note_timeout(&mut self) {
        self.wait_ms = (self.wait_ms * 2).min(MAX_MS);
    }
}
