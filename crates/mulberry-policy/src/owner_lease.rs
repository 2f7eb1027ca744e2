//! Elects the owner of all batch jobs through one lease in the platform's store, which is taken and
//! renewed by conditional writes.
//!
//! The lease only avoids duplicate work. Each write of an owner is conditional as well, so a paused
//! owner that was replaced can waste work but cannot change a result. Only the quota of waiting
//! tokens relies on durations of the monotonic clock.

use serde::Deserialize;
use serde::Serialize;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::OwnerClaim;
use mulberry_protocol::time::Millis;

/// Time between renewals, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 1_000;

/// Time without a renewal after which another process may take the lease, in milliseconds.
pub const LEASE_TTL_MS: u64 = 2_500;

/// Time before the expiry of the lease from which its holder accepts no more jobs, in milliseconds.
const ACCEPT_MARGIN_MS: u64 = 400;

/// Time between reads of the lease while no claim of its holder arrives, in milliseconds.
const READ_INTERVAL_MS: u64 = 700;

/// Time after which the last claim received from a peer no longer counts, in milliseconds.
const CLAIM_TTL_MS: u64 = 700;

/// Time for which a process that handed the lease over does not take it again, in milliseconds.
const REACQUIRE_DELAY_MS: u64 = 3_000;

/// The lease object in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRecord {
    /// Name of the holder, or none after the holder handed the lease over.
    pub holder: Option<EntryName>,
    /// Rises with each new holder.
    pub term: u64,
    /// Rises with each renewal, so that each renewal changes the object.
    pub renewals: u64,
}

/// The next call that the process must make for the lease.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseStep {
    /// Make no call.
    Wait,
    /// Read the lease object.
    Read,
    /// Create the lease object with this record, if it is absent.
    Create(LeaseRecord),
    /// Replace the lease object with this record if it has this revision, to take or renew it.
    Replace(LeaseRecord, u64),
}

#[derive(Debug, Clone)]
struct Held {
    record: LeaseRecord,
    revision: u64,
    /// When the last successful write was sent.
    confirmed_at: Millis,
    /// When the last write was sent.
    last_write_at: Millis,
}

#[derive(Debug, Clone)]
struct Observed {
    /// The record in the store, or none if only a peer's claim told of this revision.
    record: Option<LeaseRecord>,
    term: u64,
    revision: u64,
    /// When this revision was first observed.
    since: Millis,
}

/// The lease as one process sees it.
#[derive(Debug)]
pub struct OwnerLease {
    own: EntryName,
    held: Option<Held>,
    observed: Option<Observed>,
    read_at: Option<Millis>,
    claim_received_at: Option<Millis>,
    no_acquire_until: Millis,
}

impl OwnerLease {
    /// Creates the view of a process that has just started.
    pub fn new(own: EntryName) -> Self {
        Self {
            own,
            held: None,
            observed: None,
            read_at: None,
            claim_received_at: None,
            no_acquire_until: Millis(0),
        }
    }

    /// Returns the call that is due at `now`.
    pub fn next_step(&self, now: Millis) -> LeaseStep {
        if let Some(held) = &self.held {
            if now.since(held.last_write_at) < RENEW_INTERVAL_MS {
                return LeaseStep::Wait;
            }
            let record = LeaseRecord { renewals: held.record.renewals + 1, ..held.record.clone() };
            return LeaseStep::Replace(record, held.revision);
        }
        let has_recent_claim =
            self.claim_received_at.is_some_and(|at| now.since(at) < CLAIM_TTL_MS);
        if now < self.no_acquire_until || has_recent_claim && !self.is_expired(now) {
            return LeaseStep::Wait;
        }
        let has_recent_read = self.read_at.is_some_and(|at| now.since(at) < READ_INTERVAL_MS);
        match &self.observed {
            _ if !has_recent_read => LeaseStep::Read,
            None => LeaseStep::Create(self.next_record(0)),
            Some(observed) if self.is_expired(now) => {
                LeaseStep::Replace(self.next_record(observed.term), observed.revision)
            }
            Some(_) => LeaseStep::Wait,
        }
    }

    /// Records that a read was sent, which delays the next one.
    pub fn record_read_sent(&mut self, now: Millis) {
        self.read_at = Some(now);
    }

    /// Records the result of a read: the record and its revision, or none if there is no lease.
    pub fn record_read(&mut self, found: Option<(LeaseRecord, u64)>, now: Millis) {
        let Some((record, revision)) = found else {
            self.observed = None;
            return;
        };
        if self.observed.as_ref().is_none_or(|o| o.revision < revision || o.record.is_none()) {
            let since = self.observed.as_ref().filter(|o| o.revision == revision).map(|o| o.since);
            let (term, since) = (record.term, since.unwrap_or(now));
            self.observed = Some(Observed { record: Some(record), term, revision, since });
        }
    }

    /// Records that a write was sent.
    pub fn record_write_sent(&mut self, now: Millis) {
        if let Some(held) = &mut self.held {
            held.last_write_at = now;
        }
    }

    /// Records a successful write that was sent at `sent_at`. Returns whether it acquired the
    /// lease.
    pub fn record_written(&mut self, record: LeaseRecord, revision: u64, sent_at: Millis) -> bool {
        if record.holder.as_ref() != Some(&self.own) {
            return false;
        }
        let is_new = self.held.is_none();
        self.held = Some(Held { record, revision, confirmed_at: sent_at, last_write_at: sent_at });
        is_new
    }

    /// Records that a write failed because the store holds another revision, or no lease. Returns
    /// whether the lease was held and is lost.
    pub fn record_conflict(&mut self, found: Option<(LeaseRecord, u64)>, now: Millis) -> bool {
        if let (Some(held), Some((record, revision))) = (&mut self.held, &found) {
            let is_own = record.holder.as_ref() == Some(&self.own);
            if is_own && record.term == held.record.term {
                // An earlier renewal took effect although its response was lost.
                held.record = record.clone();
                held.revision = *revision;
                return false;
            }
        }
        let was_held = self.held.take().is_some();
        self.record_read(found, now);
        was_held
    }

    /// Records a claim received from a peer. Returns whether this process lost the lease to it.
    pub fn record_claim(&mut self, claim: &OwnerClaim, now: Millis) -> bool {
        if self.held.as_ref().is_some_and(|h| h.record.term >= claim.term) {
            return false;
        }
        self.claim_received_at = Some(now);
        let since = now - claim.renewed_ms_ago;
        if self.observed.as_ref().is_none_or(|o| o.revision < claim.revision) {
            let (term, revision) = (claim.term, claim.revision);
            self.observed = Some(Observed { record: None, term, revision, since });
            self.read_at = None;
        }
        self.held.take().is_some()
    }

    /// Gives up the lease. Returns the record to write and the revision that it must replace, or
    /// none if the lease was not held.
    pub fn hand_over(&mut self, now: Millis) -> Option<(LeaseRecord, u64)> {
        self.no_acquire_until = now + REACQUIRE_DELAY_MS;
        let held = self.held.take()?;
        Some((LeaseRecord { holder: None, ..held.record }, held.revision))
    }

    /// Returns whether this process holds the lease as far as it knows.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the term of the held lease, or zero if it is not held.
    pub fn term(&self) -> u64 {
        self.held.as_ref().map_or(0, |h| h.record.term)
    }

    /// Returns whether the lease is held and no other process can have taken it yet.
    pub fn is_exclusive(&self, now: Millis) -> bool {
        self.held
            .as_ref()
            .is_some_and(|h| now.since(h.confirmed_at) < LEASE_TTL_MS - ACCEPT_MARGIN_MS)
    }

    /// Returns the claim to send to peers in datagrams, or none if the lease is not held.
    pub fn claim(&self, serving: bool, now: Millis) -> Option<OwnerClaim> {
        self.held.as_ref().map(|h| OwnerClaim {
            term: h.record.term,
            revision: h.revision,
            renewed_ms_ago: now.since(h.confirmed_at),
            serving,
        })
    }

    fn is_expired(&self, now: Millis) -> bool {
        self.observed.as_ref().is_some_and(|o| {
            let is_free = o
                .record
                .as_ref()
                .is_some_and(|r| r.holder.is_none() || r.holder.as_ref() == Some(&self.own));
            is_free || now.since(o.since) >= LEASE_TTL_MS
        })
    }

    fn next_record(&self, term: u64) -> LeaseRecord {
        LeaseRecord { holder: Some(self.own.clone()), term: term + 1, renewals: 0 }
    }
}
