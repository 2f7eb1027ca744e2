//! Decides whether API keys may be used while the store does not confirm the configuration.

use mulberry_protocol::time::Millis;

/// Share of the time until a removed key stops that one watch call of the configuration may wait. An answer
/// confirms what was in force when its call was sent, so that in calm conditions a confirmation is up to
/// two waits old; one lost answer, which costs a wait and its time-out, must not use up the rest.
const CONFIRMING_WAIT_SHARE: u64 = 4;

/// Shortest wait of a watch call, which bounds the number of calls, in milliseconds.
const MIN_WAIT_MS: u64 = 100;

/// How removed API keys stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Revocation {
    /// Whether a process refuses keys that it can't confirm, instead of going by the last configuration.
    pub is_strict: bool,
    /// Time within which a removed key stops, in milliseconds.
    pub within_ms: u64,
}

impl Revocation {
    /// Returns whether keys may be used at a time, given when the store last confirmed the configuration.
    pub fn allows_keys(&self, confirmed_at: Option<Millis>, now: Millis) -> bool {
        !self.is_strict || confirmed_at.is_some_and(|at| now.since(at) <= self.within_ms)
    }

    /// Returns `wait_ms`, the longest wait of a watch call of the configuration, shortened if revocation is
    /// strict so that confirmations arrive in time, in milliseconds.
    pub fn configuration_wait_ms(&self, wait_ms: u64) -> u64 {
        match self.is_strict {
            true => wait_ms.min((self.within_ms / CONFIRMING_WAIT_SHARE).max(MIN_WAIT_MS)),
            false => wait_ms,
        }
    }
}
