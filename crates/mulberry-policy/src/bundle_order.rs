//! Tracks the highest bundle number that a process knows, so that it never reverts to an older
//! bundle.

use mulberry_protocol::digest::Digest;

use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// The number and digest that identify a bundle that was put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleVersion {
    /// Number of its roll. A newer bundle has a higher number.
    pub number: u64,
    /// Digest of its content.
    pub digest: Digest,
}

/// How a reported bundle compares with the one in force, and what to do with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BundleVerdict {
    /// The bundle is newer: load its content, then call [`BundleOrder::put_in_force`].
    Load,
    /// The bundle is the one in force: nothing to do.
    Same,
    /// The bundle is older than the newest one known and must be ignored.
    Stale,
    /// The bundle has the number of the one in force but another digest: the store broke its
    /// guarantee that a number is used once.
    Forked,
}

/// Tracks the bundle in force and the highest number known to exist.
#[derive(Debug, Clone, Default)]
pub struct BundleOrder {
    in_force: Option<BundleVersion>,
    highest_known: u64,
}

impl BundleOrder {
    /// Compares a bundle reported by the store or a peer with the one in force.
    pub fn classify(&mut self, reported: &BundleVersion) -> BundleVerdict {
        if is_injected(InjectedFault::StaleBundle) {
            return BundleVerdict::Load;
        }
        if reported.number < self.highest_known {
            // A newer bundle is known to exist, from a peer or an earlier report: the store
            // answered with an old version.
            return BundleVerdict::Stale;
        }
        self.highest_known = reported.number;
        let Some(current) = &self.in_force else {
            return BundleVerdict::Load;
        };
        if reported.number > current.number {
            BundleVerdict::Load
        } else if reported.number < current.number {
            BundleVerdict::Stale
        } else if reported.digest == current.digest {
            BundleVerdict::Same
        } else {
            BundleVerdict::Forked
        }
    }

    /// Records the number of a bundle that a peer has in force, without its digest.
    pub fn record_known_number(&mut self, number: u64) {
        self.highest_known = self.highest_known.max(number);
    }

    /// Puts a loaded bundle in force unless one at least as new already is. Returns whether it did.
    pub fn put_in_force(&mut self, bundle: BundleVersion) -> bool {
        let newer = self.in_force.as_ref().is_none_or(|c| bundle.number > c.number)
            || is_injected(InjectedFault::StaleBundle);
        if newer {
            self.highest_known = self.highest_known.max(bundle.number);
            self.in_force = Some(bundle);
        }
        newer
    }

    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<&BundleVersion> {
        self.in_force.as_ref()
    }

    /// Returns the number of the bundle in force, or zero if there is none.
    pub fn number(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |b| b.number)
    }

    /// Returns whether a bundle newer than the one in force is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest_known > self.number()
    }
}
