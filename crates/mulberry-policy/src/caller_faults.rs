//! When a caller's connection is given up because the caller sends or reads too slowly.

use mulberry_protocol::closed_set;
use mulberry_protocol::time::Millis;

/// Time that a body has before its rate counts, and for which a caller may pause within it, in
/// milliseconds. Lost packets are sent again within it.
const BODY_GRACE_MS: u64 = 5_000;

/// Lowest rate of a body, in bytes a millisecond (16 kB a second), which slow mobile networks reach.
const MIN_BODY_RATE: u64 = 16;

/// Time for which a caller may leave a response unread, in milliseconds. A caller that still wants it
/// reads on within it even after lost packets.
const MAX_UNREAD_MS: u64 = 10_000;

/// Time by which a connection is idle for longer than the limit before it is closed, in milliseconds, so
/// that no request is on its way from a caller that keeps to the limit.
const IDLE_MARGIN_MS: u64 = 500;

/// Limits on the time of a step where the configuration states none, in milliseconds.
const DEFAULT_HEAD_MS: u64 = 60_000;
const DEFAULT_IDLE_MS: u64 = 120_000;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerStep {
    /// The first byte of a request.
    Idle {
        /// Since when.
        since: Millis,
    },
    /// The rest of a request's head.
    Head {
        /// When its first byte came.
        since: Millis,
    },
    /// More of a request's body.
    Body {
        /// When the body began. Time for which this process did not read is left out.
        since: Millis,
        /// When the last byte came.
        heard: Millis,
        /// Bytes that have come.
        bytes: u64,
    },
    /// This process or an endpoint.
    Serving,
}

closed_set! {
    /// Why a connection of a caller is given up.
    pub enum CallerFault {
        /// It was idle for longer than the limit.
        Idle,
        /// The head did not arrive in time.
        SlowHead,
        /// The body arrives too slowly.
        SlowBody,
        /// The response is not read.
        Unread,
        /// Its bytes were needed for others.
        Evicted,
        /// The body is over the limit.
        TooLarge,
        /// There was no room for its bytes.
        NoRoom,
        /// Its connection, which was idle, made room for a new one.
        Crowded,
    }
}

impl CallerFault {
    /// Returns the fault's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallerFault::Idle => "idle",
            CallerFault::SlowHead => "slow-head",
            CallerFault::SlowBody => "slow-body",
            CallerFault::Unread => "unread",
            CallerFault::Evicted => "evicted",
            CallerFault::TooLarge => "too-large",
            CallerFault::NoRoom => "no-room",
            CallerFault::Crowded => "crowded",
        }
    }
}

/// Limits of a configuration on the time of a step, in milliseconds; zero for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StepLimits {
    /// Time within which a head must arrive.
    pub head_ms: u64,
    /// Time for which a connection may be idle.
    pub idle_ms: u64,
}

/// Returns why a connection is to be given up, if it is. `unread_since` is when its socket stopped taking
/// bytes of a response.
pub fn judge_connection(
    step: CallerStep,
    unread_since: Option<Millis>,
    limits: StepLimits,
    now: Millis,
) -> Option<CallerFault> {
    if unread_since.is_some_and(|since| now.since(since) > MAX_UNREAD_MS) {
        return Some(CallerFault::Unread);
    }
    let or_default = |stated: u64, default: u64| if stated == 0 { default } else { stated };
    match step {
        CallerStep::Idle { since } => {
            let max_ms = or_default(limits.idle_ms, DEFAULT_IDLE_MS) + IDLE_MARGIN_MS;
            (now.since(since) > max_ms).then_some(CallerFault::Idle)
        }
        CallerStep::Head { since } => {
            let max_ms = or_default(limits.head_ms, DEFAULT_HEAD_MS);
            (now.since(since) > max_ms).then_some(CallerFault::SlowHead)
        }
        CallerStep::Body { since, heard, bytes } => {
            let owed = now.since(since).saturating_sub(BODY_GRACE_MS) * MIN_BODY_RATE;
            let is_slow = bytes < owed || now.since(heard) > BODY_GRACE_MS;
            is_slow.then_some(CallerFault::SlowBody)
        }
        CallerStep::Serving => None,
    }
}
