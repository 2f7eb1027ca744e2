//! Makes sure that all changes of endpoints up to a moment are known. A process that has just been cut off from
//! the store does not know it until its pending watch should have been answered.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use mulberry_protocol::time::Millis;

use crate::confirmation::Confirmation;
use crate::shared::SharedState;

/// Time within which the store must answer, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 500;

/// Shortest time between two questions to the store, in milliseconds, if the last one was answered.
const ASK_INTERVAL_MS: u64 = 250;

/// The same if the last one was not answered: a slow store is not asked anew while it works on the answer.
const UNANSWERED_ASK_INTERVAL_MS: u64 = 1_000;

/// Time for which nothing is known of endpoints before the first answer, in milliseconds.
const NEVER_CONFIRMED_MS: u64 = 24 * 60 * 60 * 1_000;

/// Interval at which a waiting request looks for the answer.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// When the store last told all changes of endpoints, and the way to ask it now.
#[derive(Debug)]
pub struct EndpointConfirmation {
    /// Calls for changes of endpoints and their answers.
    pub(crate) calls: Confirmation,
    asked_at: AtomicU64,
    /// Incremented when the pending watch of endpoints must be sent again.
    pub(crate) renewals: watch::Sender<u64>,
}

impl Default for EndpointConfirmation {
    fn default() -> Self {
        Self {
            calls: Confirmation::default(),
            asked_at: AtomicU64::new(0),
            renewals: watch::Sender::new(0),
        }
    }
}

impl SharedState {
    /// Returns for how long changes of endpoints may not be known here, in milliseconds: since the store was
    /// asked for those that it has told last.
    pub(crate) fn endpoints_unconfirmed_ms(&self) -> u64 {
        let confirmed_at = self.endpoint_confirmation.calls.confirmed_at();
        let unconfirmed_ms =
            confirmed_at.map_or(NEVER_CONFIRMED_MS, |at| self.clock.now().since(at));
        unconfirmed_ms.max(self.endpoints_stale_ms())
    }

    /// Waits until all changes of endpoints up to `since` are known, for which the store is asked. Returns
    /// false if it does not answer in time, or is known to be away.
    pub(crate) async fn confirm_endpoints(&self, since: Millis) -> bool {
        let began = self.clock.now();
        loop {
            let confirmed_at = self.endpoint_confirmation.calls.confirmed_at();
            if self.endpoints_stale_ms() > 0 {
                return false;
            }
            if confirmed_at.is_some_and(|at| at >= since) {
                return true;
            }
            if self.clock.now().since(began) >= CONFIRM_TIMEOUT_MS {
                self.metrics.count("direct.endpoints_unconfirmed");
                return false;
            }
            self.ask_for_endpoints();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Asks the store for changes of endpoints at once, unless that was done just now or the store is known to
    /// be away.
    pub(crate) fn ask_for_endpoints(&self) {
        let confirmation = &self.endpoint_confirmation;
        let Some(confirmed_at) = confirmation.calls.confirmed_at() else { return };
        if self.endpoints_stale_ms() > 0 {
            return;
        }
        let now = self.clock.now();
        let asked_at = Millis(confirmation.asked_at.load(Ordering::Relaxed));
        let interval_ms =
            if confirmed_at >= asked_at { ASK_INTERVAL_MS } else { UNANSWERED_ASK_INTERVAL_MS };
        if now.since(asked_at) < interval_ms {
            return;
        }
        confirmation.asked_at.store(now.0, Ordering::Relaxed);
        self.metrics.count("direct.endpoints_asked");
        confirmation.renewals.send_modify(|number| *number += 1);
    }
}
