//! Judges by what peers tell whether a waiting watch may never be answered.
//!
//! A call that was sent while the store was silent gets no answer even when the store is back, and its
//! connection looks alive. Peers whose calls came before or after know better: they have a newer
//! configuration, or saw the store return.

use indexmap::IndexMap;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

/// Shortest time between two renewals of the watches, in milliseconds.
pub const RENEWAL_MS: u64 = 1_500;

/// Time for which a newer version at a peer is no news: the own watch may be about to bring it, in
/// milliseconds.
pub const VERSION_LAG_MS: u64 = 600;

/// What one process tells of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReport {
    /// Number drawn at the teller's start.
    pub incarnation: u64,
    /// Times that the store has answered it again after it had not.
    pub returns: u64,
    /// Version of the configuration that it works by.
    pub version: u64,
}

/// What was told so far.
#[derive(Debug, Default)]
pub struct WatchRenewal {
    told: IndexMap<EntryName, StoreReport>,
    renewed_at: Option<Millis>,
    behind_since: Option<Millis>,
    owed: bool,
}

impl WatchRenewal {
    /// Notes what a peer, or this process itself, tells.
    pub fn note(&mut self, teller: &EntryName, told: StoreReport, own_version: u64, now: Millis) {
        let before = self.told.insert(teller.clone(), told);
        let returned =
            before.is_some_and(|b| b.incarnation == told.incarnation && b.returns < told.returns);
        self.owed |= returned;
        if told.version > own_version {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Tells whether to make the waiting watches anew now.
    pub fn take_due_renewal(&mut self, own_version: u64, now: Millis) -> bool {
        if self.told.values().all(|t| t.version <= own_version) {
            self.behind_since = None;
        }
        let is_behind = self.behind_since.is_some_and(|at| now.since(at) >= VERSION_LAG_MS);
        let lately = self.renewed_at.is_some_and(|at| now.since(at) < RENEWAL_MS);
        if lately || !(self.owed || is_behind) {
            return false;
        }
        self.renewed_at = Some(now);
        self.owed = false;
        self.behind_since = None;
        true
    }
}
