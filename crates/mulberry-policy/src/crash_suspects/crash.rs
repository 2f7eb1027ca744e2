//! Crashes of endpoints under a request: what is evidence of one, and when two observations are of
//! the same.

use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::SeenCrash;
use mulberry_protocol::time::Millis;

/// Time for which an endpoint that broke may still be down, in milliseconds: further breaks there are
/// of the same crash.
const DOWN_MS: u64 = 2_000;

/// Difference between the times that two heartbeats give for the same crash, in milliseconds.
const SAME_TELLING_MS: u64 = 250;

/// The same where one of the tellings came by way of the store, in milliseconds: its times are off by
/// the time on the way.
const SAME_PUBLISHED_MS: u64 = 2_500;

/// How a run broke, and what its endpoint did then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// It ended the connection and refused the next one: its process has ended.
    Refused,
    /// It ended the connection and accepted the next one, or did not answer.
    Ended,
    /// It ended nothing, and nothing came from it on any connection.
    Silent,
}

/// A run of a request at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Service of the endpoint.
    pub service: &'a ServiceName,
    /// Load key of the endpoint.
    pub endpoint: u64,
    /// When the request was sent.
    pub sent_at: Millis,
}

/// A crash of an endpoint under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    /// The low half of the endpoint's load key.
    pub(super) endpoint: u32,
    /// When the request was sent there.
    pub(super) sent_at: Millis,
    /// When the run broke.
    pub(super) at: Millis,
    /// Whether the endpoint refused connections then.
    pub(super) is_refused: bool,
    /// Whether the times are those of a published suspect.
    pub(super) is_rough: bool,
}

impl Crash {
    pub(super) fn new(run: Run<'_>, evidence: CrashEvidence, now: Millis) -> Self {
        Self {
            endpoint: run.endpoint as u32,
            sent_at: run.sent_at,
            at: now,
            is_refused: evidence == CrashEvidence::Refused,
            is_rough: false,
        }
    }

    /// Returns the crash that a peer has just told of.
    pub(super) fn from_seen(seen: &SeenCrash, now: Millis) -> Self {
        Self {
            endpoint: seen.endpoint,
            sent_at: now - u64::from(seen.sent_ms_ago),
            at: now - u64::from(seen.broke_ms_ago),
            is_refused: seen.is_refused,
            is_rough: false,
        }
    }

    pub(super) fn to_seen(self, now: Millis) -> SeenCrash {
        SeenCrash {
            endpoint: self.endpoint,
            sent_ms_ago: ms_ago(self.sent_at, now),
            broke_ms_ago: ms_ago(self.at, now),
            is_refused: self.is_refused,
        }
    }

    /// Returns whether the other one is the same, as told by another process or at another time.
    pub(super) fn is_same_telling(&self, other: &Crash) -> bool {
        let tolerance_ms =
            if self.is_rough || other.is_rough { SAME_PUBLISHED_MS } else { SAME_TELLING_MS };
        self.endpoint == other.endpoint && self.distance_ms(other) < tolerance_ms
    }

    /// Returns whether the other one is of the same endpoint, which may not have been back between. One
    /// that refuses connections after a run has accepted that run, so that it was back for it.
    pub(super) fn is_same(&self, other: &Crash) -> bool {
        let (first, next) = if self.at <= other.at { (self, other) } else { (other, self) };
        let was_back = next.is_refused && next.sent_at > first.at;
        let is_near = self.endpoint == other.endpoint && self.distance_ms(other) < DOWN_MS;
        self.is_same_telling(other) || is_near && !was_back
    }

    fn distance_ms(&self, other: &Crash) -> u64 {
        self.at.since(other.at).max(other.at.since(self.at))
    }
}

/// Returns the milliseconds since `at`, as heartbeats carry them.
pub(super) fn ms_ago(at: Millis, now: Millis) -> u32 {
    u32::try_from(now.since(at)).unwrap_or(u32::MAX)
}
