//! Evidence that a request crashes endpoints, and when it is evidence against the endpoint instead.

use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

/// Points of a crash after which the endpoint refused connections.
pub(super) const CRASH_POINTS: u8 = 2;

/// Points of a connection that the endpoint ended without being down afterwards.
const BREAK_POINTS: u8 = 1;

/// Points in a row that convict a request: those of three crashes.
pub const POINTS_TO_CONVICT: u8 = 3 * CRASH_POINTS;

/// What an endpoint did after it had ended the connection of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// It refused a connection: its process has ended.
    Refused,
    /// It accepted a connection, or there was no answer.
    Unclear,
}

impl CrashEvidence {
    pub(super) fn points(self) -> u8 {
        match self {
            CrashEvidence::Refused => CRASH_POINTS,
            CrashEvidence::Unclear => BREAK_POINTS,
        }
    }
}

/// Why a crash does not count against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotCounted {
    /// The endpoint has completed nothing since it broke the last time.
    EndpointAtFault,
    /// The request was sent before the last crash that counted.
    SameMoment,
    /// The service has completed no other run since the crash before.
    Unproven,
}

impl NotCounted {
    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotCounted::EndpointAtFault => "endpoint-at-fault",
            NotCounted::SameMoment => "same-moment",
            NotCounted::Unproven => "unproven",
        }
    }
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

/// When an endpoint last completed a run of this process, and when it broke one first since then.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EndpointHistory {
    pub(super) completed_at: Option<Millis>,
    pub(super) broke_at: Option<Millis>,
}

impl EndpointHistory {
    /// Records that a run ended with a break. Returns whether the break counts: it is the first one
    /// since a completed run, or the run was under way at the first one.
    pub(super) fn record_break(&mut self, sent_at: Millis, now: Millis) -> bool {
        match self.broke_at {
            Some(broke_at) if self.completed_at.is_none_or(|at| at <= broke_at) => {
                sent_at <= broke_at
            }
            Some(_) | None => {
                self.broke_at = Some(now);
                true
            }
        }
    }
}
