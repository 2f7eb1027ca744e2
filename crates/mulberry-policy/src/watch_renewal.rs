//! Detects by the reports of peers that a pending watch call may never be answered and must be
//! renewed.
//!
//! A call sent while the store doesn't respond stays without a response even after the store's
//! recovery, although its connection looks alive. Peers whose calls were sent before or after that
//! time show it: they have a newer configuration, they have seen a change of endpoints that has not
//! arrived here, or they saw the store recover.

use indexmap::IndexMap;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

/// Shortest time between two renewals of the pending watches, in milliseconds.
pub const MIN_RENEWAL_INTERVAL_MS: u64 = 1_500;

/// Time for which a peer may know more before the watches are renewed, in milliseconds.
/// Until then this process's own watch may still deliver it.
pub const VERSION_LAG_MS: u64 = 600;

/// What one process reports about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReport {
    /// Random number drawn at the reporting process's start.
    pub incarnation: u64,
    /// Number of times that the store answered the process again after failed calls.
    pub recoveries: u64,
    /// What the process knows of the objects that it watches.
    pub known: Known,
}

/// What a process knows of the objects that all watch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Known {
    /// Version of the configuration in force.
    pub version: u64,
    /// Revision of the store. At a peer, that of the last change of endpoints which it has seen; at
    /// this process, the one up to which it knows all changes. Zero if there is none.
    pub endpoints: u64,
}

impl Known {
    /// Returns whether another process knows more.
    fn is_behind(self, other: Known) -> bool {
        other.version > self.version || other.endpoints > self.endpoints
    }
}

/// Decides when to renew the pending watches, from the last report of each process.
#[derive(Debug, Default)]
pub struct WatchRenewal {
    reports: IndexMap<EntryName, StoreReport>,
    renewed_at: Option<Millis>,
    behind_since: Option<Millis>,
    recovery_seen: bool,
}

impl WatchRenewal {
    /// Records a report of a peer or of this process itself.
    pub fn record(&mut self, reporter: &EntryName, report: StoreReport, own: Known, now: Millis) {
        let previous = self.reports.insert(reporter.clone(), report);
        let recovered = previous.is_some_and(|p| {
            p.incarnation == report.incarnation && p.recoveries < report.recoveries
        });
        self.recovery_seen |= recovered;
        if own.is_behind(report.known) {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns whether to renew the pending watches now, and if so records the renewal.
    pub fn take_due_renewal(&mut self, own: Known, now: Millis) -> bool {
        if !self.reports.values().any(|r| own.is_behind(r.known)) {
            self.behind_since = None;
        }
        let is_behind = self.behind_since.is_some_and(|at| now.since(at) >= VERSION_LAG_MS);
        let renewed_recently =
            self.renewed_at.is_some_and(|at| now.since(at) < MIN_RENEWAL_INTERVAL_MS);
        if renewed_recently || !(self.recovery_seen || is_behind) {
            return false;
        }
        self.renewed_at = Some(now);
        self.recovery_seen = false;
        self.behind_since = None;
        true
    }
}
