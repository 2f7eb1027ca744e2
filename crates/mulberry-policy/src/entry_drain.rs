//! How an entry stops: which requests it still takes, and when it closes its connections.
//!
//! A request that is cut off is lost to its caller, who can't know whether it ran; one that is refused at
//! once is served elsewhere. So an entry that stops takes only requests whose own time is up before the entry
//! closes, whether they are answered by then or not.

use mulberry_protocol::closed_set;
use mulberry_protocol::time::Millis;

/// Time after the stop signal for which an entry takes requests in any case, in milliseconds: new callers
/// still come until the load balancer has noticed that it is not ready.
const MIN_OPEN_MS: u64 = 3_200;

/// Part of the grace period that is left for closing the connections and ending the process, in milliseconds.
const CLOSE_MARGIN_MS: u64 = 400;

/// Time between the latest end of a request and the closing of its connection, in milliseconds, in which the
/// last of its response is written.
const WRITE_MARGIN_MS: u64 = 300;

closed_set! {
    /// What an entry that stops does with its connections.
    pub enum DrainPhase {
        /// It takes requests that end in time.
        Open,
        /// It refuses all requests, and those that it has taken end.
        Closing,
        /// It closes all connections.
        Closed,
    }
}

/// The stop of one entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryDrain {
    stopped_at: Millis,
    grace_ms: u64,
    phase: DrainPhase,
}

impl EntryDrain {
    /// Begins at the stop signal. The process is killed `grace_ms` milliseconds later.
    pub fn begin(stopped_at: Millis, grace_ms: u64) -> Self {
        Self { stopped_at, grace_ms, phase: DrainPhase::Open }
    }

    /// Returns the time up to which a request must have ended to be taken, or none if none is taken any
    /// more.
    pub fn takes_until(&self) -> Option<Millis> {
        let open_ms = self.grace_ms.saturating_sub(CLOSE_MARGIN_MS + WRITE_MARGIN_MS);
        (self.phase == DrainPhase::Open).then_some(self.stopped_at + open_ms)
    }

    /// Goes on to the phase that is due while `in_progress` requests are not answered to the last byte.
    /// Between two calls, the process must act by the phase that the first one returned: only then no
    /// request is taken that the second one does not count.
    pub fn advance(&mut self, in_progress: u64, now: Millis) -> DrainPhase {
        let elapsed_ms = now.since(self.stopped_at);
        let is_over = elapsed_ms >= self.grace_ms.saturating_sub(CLOSE_MARGIN_MS);
        self.phase = match self.phase {
            _ if is_over => DrainPhase::Closed,
            DrainPhase::Open if elapsed_ms >= MIN_OPEN_MS && in_progress == 0 => {
                DrainPhase::Closing
            }
            DrainPhase::Closing if in_progress == 0 => DrainPhase::Closed,
            phase => phase,
        };
        self.phase
    }
}
