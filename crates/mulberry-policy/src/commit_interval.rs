//! Decides how often the results of a batch job are written, so that a job whose results are due much later
//! does not cost a write for each of its items.

use mulberry_protocol::time::Millis;

/// Shortest time between two writes of a job's results, in milliseconds.
const MIN_INTERVAL_MS: u64 = 400;

/// Longest time between two writes, in milliseconds. Callers see results appear at least this often.
const MAX_INTERVAL_MS: u64 = 1_500;

/// Part of the time left until the results are due for which results may wait to be written.
const LEFT_SHARE: u64 = 8;

/// Returns the time that must have passed since a job's last write before the next one, in milliseconds.
pub fn commit_interval_ms(due_at: Millis, now: Millis) -> u64 {
    (due_at.since(now) / LEFT_SHARE).clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}
