//! Detects by the reports of peers that a pending watch call may never be answered and must be
//! renewed.
//!
//! A call sent while the store doesn't respond stays without a response even after the store's
//! recovery, although its connection looks alive. Peers whose calls were sent before or after that
//! time show it: they have a newer configuration, or they saw the store recover.

use indexmap::IndexMap;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

/// Shortest time between two renewals of the pending watches, in milliseconds.
pub const MIN_RENEWAL_INTERVAL_MS: u64 = 1_500;

/// Time for which a peer may have a newer version before the watches are renewed, in milliseconds.
/// Until then this process's own watch may still deliver that version.
pub const VERSION_LAG_MS: u64 = 600;

/// What one process reports about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReport {
    /// Random number drawn at the reporting process's start.
    pub incarnation: u64,
    /// Number of times that the store answered the process again after failed calls.
    pub recoveries: u64,
    /// Version of the configuration that the process uses.
    pub version: u64,
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
    pub fn record(
        &mut self,
        reporter: &EntryName,
        report: StoreReport,
        own_version: u64,
        now: Millis,
    ) {
        let previous = self.reports.insert(reporter.clone(), report);
        let recovered = previous.is_some_and(|p| {
            p.incarnation == report.incarnation && p.recoveries < report.recoveries
        });
        self.recovery_seen |= recovered;
        if report.version > own_version {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns whether to renew the pending watches now, and if so records the renewal.
    pub fn take_due_renewal(&mut self, own_version: u64, now: Millis) -> bool {
        if self.reports.values().all(|r| r.version <= own_version) {
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
