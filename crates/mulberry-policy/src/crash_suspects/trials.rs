//! When a convicted request may run once more, to show that it is sound.

use mulberry_protocol::time::Millis;

use crate::crash_suspects::record::Record;

/// Runs of a convicted online request that may be claimed. Later ones are refused until the conviction
/// ends. One less than the platform allows, for a send on its way while the third crash was not known.
pub const MAX_TRIALS: u8 = 2;

/// Pauses before the trials of a request that is hardly the cause, once its service has completed
/// another one since, in milliseconds.
const SHORT_PAUSES_MS: [u64; 2] = [500, 4_000];

/// Pause before the first trial otherwise, in milliseconds.
const FIRST_LONG_PAUSE_MS: u64 = 30_000;

/// Shortest pause before the last trial otherwise, in milliseconds. It is doubled up to
/// [`MAX_DOUBLINGS`] times, by fingerprint.
const LAST_LONG_PAUSE_MS: u64 = 10 * 60_000;

/// Most doublings of [`LAST_LONG_PAUSE_MS`]. A service may run nothing but requests that are all
/// convicted. Then some of them find out that it works again, and the others still have a trial left.
const MAX_DOUBLINGS: u64 = 5;

/// Returns from when on the convicted request may have its next trial, or none if it had all.
/// `service_completed_at` is when its service last completed another request.
pub(super) fn next_trial_at(
    fingerprint: u64,
    record: &Record,
    service_completed_at: Option<Millis>,
) -> Option<Millis> {
    let long_pause_ms = match record.trials {
        0 => FIRST_LONG_PAUSE_MS,
        trials if trials < MAX_TRIALS => LAST_LONG_PAUSE_MS << (fingerprint % (MAX_DOUBLINGS + 1)),
        _ => return None,
    };
    let last_run_at = record.last_run_at();
    let short_pause_ms = short_pause_ms(record, service_completed_at);
    Some(last_run_at + short_pause_ms.unwrap_or(long_pause_ms))
}

fn short_pause_ms(record: &Record, service_completed_at: Option<Millis>) -> Option<u64> {
    let has_recovered = service_completed_at.is_some_and(|at| at > record.last_run_at());
    let short_pause_ms = SHORT_PAUSES_MS.get(usize::from(record.trials)).copied();
    short_pause_ms.filter(|_| has_recovered && !record.is_likely_cause())
}
