//! Keeps the highest bundle number a process has seen, so that a bundle never reverts.

use mulberry_protocol::digest::Digest;

use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// The number and digest of a bundle in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleVersion {
    /// Number of the roll.
    pub number: u64,
    /// Digest of the content.
    pub digest: Digest,
}

/// What to do with a report of a bundle in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BundleVerdict {
    /// The bundle is newer: load its content, then call [`BundleOrder::put_in_force`].
    Load,
    /// It is the one in force.
    Same,
    /// It is older than the one in force and must be ignored.
    Stale,
    /// It has the number of the one in force and another digest. The store broke its promise.
    Forked,
}

/// The highest bundle in force, and the highest known to exist.
#[derive(Debug, Clone, Default)]
pub struct BundleOrder {
    in_force: Option<BundleVersion>,
    highest_known: u64,
}

impl BundleOrder {
    /// Judges a report from the store or a peer.
    pub fn classify(&mut self, seen: &BundleVersion) -> BundleVerdict {
        if is_injected(InjectedFault::StaleBundle) {
            return BundleVerdict::Load;
        }
        if seen.number < self.highest_known {
            // A peer proved that a newer one exists; the store answered with an old version.
            return BundleVerdict::Stale;
        }
        self.highest_known = seen.number;
        let Some(current) = &self.in_force else {
            return BundleVerdict::Load;
        };
        if seen.number > current.number {
            BundleVerdict::Load
        } else if seen.number < current.number {
            BundleVerdict::Stale
        } else if seen.digest == current.digest {
            BundleVerdict::Same
        } else {
            BundleVerdict::Forked
        }
    }

    /// Notes a number heard from a peer that does not say the digest.
    pub fn note_known_number(&mut self, number: u64) {
        self.highest_known = self.highest_known.max(number);
    }

    /// Puts a loaded bundle in force unless a newer one came first. Returns whether it did.
    pub fn put_in_force(&mut self, seen: BundleVersion) -> bool {
        let newer = self.in_force.as_ref().is_none_or(|c| seen.number > c.number)
            || is_injected(InjectedFault::StaleBundle);
        if newer {
            self.highest_known = self.highest_known.max(seen.number);
            self.in_force = Some(seen);
        }
        newer
    }

    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<&BundleVersion> {
        self.in_force.as_ref()
    }

    /// Returns the number of the bundle in force, or zero.
    pub fn number(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |b| b.number)
    }

    /// Tells whether a newer bundle is known to exist than the one in force.
    pub fn is_behind(&self) -> bool {
        self.highest_known > self.number()
    }
}
