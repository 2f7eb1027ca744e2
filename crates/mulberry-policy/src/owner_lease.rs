//! Decides who owns the batch jobs: one lease in the platform's store, renewed under a condition.
//!
//! The lease is for efficiency: every write of an owner has a condition of its own, so that a paused
//! owner can waste work but never change a result. Only the quota of waiting tokens relies on spans
//! of the steady clock.

use serde::Deserialize;
use serde::Serialize;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::OwnerClaim;
use mulberry_protocol::time::Millis;

/// Time between renewals, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 1_000;

/// Time without a renewal after which the lease may be taken, in milliseconds.
pub const LEASE_TTL_MS: u64 = 2_500;

/// Time before the end of the lease at which its holder accepts no more jobs, in milliseconds.
const MARGIN_MS: u64 = 400;

/// Time between reads of the lease while its holder is not heard, in milliseconds.
const READ_MS: u64 = 700;

/// Age from which a claim of a peer counts as not heard, in milliseconds.
const CLAIM_TTL_MS: u64 = 700;

/// Time for which a process that handed the lease over doesn't take it, in milliseconds.
const RELUCTANT_MS: u64 = 3_000;

/// The lease as the store holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRecord {
    /// Name of the holder, or none after it was handed over.
    pub holder: Option<EntryName>,
    /// Rises with each new holder.
    pub term: u64,
    /// Rises with each renewal, so that each one changes the object.
    pub renewals: u64,
}

/// What the process does next about the lease.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Read the lease.
    Read,
    /// Create the lease.
    Create(LeaseRecord),
    /// Replace the lease of this revision, to take or to renew it.
    Replace(LeaseRecord, u64),
}

#[derive(Debug, Clone)]
struct Held {
    record: LeaseRecord,
    revision: u64,
    /// When the last successful write was sent.
    confirmed_at: Millis,
    /// When the last write was sent.
    tried_at: Millis,
}

#[derive(Debug, Clone)]
struct Seen {
    /// What the store holds, or none if a peer told of it.
    record: Option<LeaseRecord>,
    term: u64,
    revision: u64,
    /// When this revision was first seen.
    since: Millis,
}

/// One process's view of the lease.
#[derive(Debug)]
pub struct OwnerLease {
    own: EntryName,
    held: Option<Held>,
    seen: Option<Seen>,
    read_at: Option<Millis>,
    heard_at: Option<Millis>,
    reluctant_until: Millis,
}

impl OwnerLease {
    /// Makes the view of a process that has just started.
    pub fn new(own: EntryName) -> Self {
        Self {
            own,
            held: None,
            seen: None,
            read_at: None,
            heard_at: None,
            reluctant_until: Millis(0),
        }
    }

    /// Tells what to do now.
    pub fn next_step(&self, now: Millis) -> LeaseStep {
        if let Some(held) = &self.held {
            if now.since(held.tried_at) < RENEW_INTERVAL_MS {
                return LeaseStep::Wait;
            }
            let record = LeaseRecord { renewals: held.record.renewals + 1, ..held.record.clone() };
            return LeaseStep::Replace(record, held.revision);
        }
        let heard = self.heard_at.is_some_and(|at| now.since(at) < CLAIM_TTL_MS);
        if now < self.reluctant_until || heard && !self.is_lapsed(now) {
            return LeaseStep::Wait;
        }
        let read_lately = self.read_at.is_some_and(|at| now.since(at) < READ_MS);
        match &self.seen {
            _ if !read_lately => LeaseStep::Read,
            None => LeaseStep::Create(self.next_record(0)),
            Some(seen) if self.is_lapsed(now) => {
                LeaseStep::Replace(self.next_record(seen.term), seen.revision)
            }
            Some(_) => LeaseStep::Wait,
        }
    }

    /// Notes that a read was sent, so that the next one waits.
    pub fn note_read_sent(&mut self, now: Millis) {
        self.read_at = Some(now);
    }

    /// Notes what the store holds.
    pub fn note_read(&mut self, found: Option<(LeaseRecord, u64)>, now: Millis) {
        let Some((record, revision)) = found else {
            self.seen = None;
            return;
        };
        if self.seen.as_ref().is_none_or(|s| s.revision < revision || s.record.is_none()) {
            let since = self.seen.as_ref().filter(|s| s.revision == revision).map(|s| s.since);
            let (term, since) = (record.term, since.unwrap_or(now));
            self.seen = Some(Seen { record: Some(record), term, revision, since });
        }
    }

    /// Notes that a write was sent.
    pub fn note_write_sent(&mut self, now: Millis) {
        if let Some(held) = &mut self.held {
            held.tried_at = now;
        }
    }

    /// Notes a successful write that was sent at `sent_at`. Returns whether the lease is new.
    pub fn note_written(&mut self, record: LeaseRecord, revision: u64, sent_at: Millis) -> bool {
        if record.holder.as_ref() != Some(&self.own) {
            return false;
        }
        let is_new = self.held.is_none();
        self.held = Some(Held { record, revision, confirmed_at: sent_at, tried_at: sent_at });
        is_new
    }

    /// Notes that another record is in the store. Returns whether a held lease was lost.
    pub fn note_conflict(&mut self, found: Option<(LeaseRecord, u64)>, now: Millis) -> bool {
        if let (Some(held), Some((record, revision))) = (&mut self.held, &found) {
            let is_own = record.holder.as_ref() == Some(&self.own);
            if is_own && record.term == held.record.term {
                // An earlier renewal whose answer was lost.
                held.record = record.clone();
                held.revision = *revision;
                return false;
            }
        }
        let was_held = self.held.take().is_some();
        self.note_read(found, now);
        was_held
    }

    /// Notes a claim heard from a peer. Returns whether a held lease was lost to it.
    pub fn note_claim(&mut self, claim: &OwnerClaim, now: Millis) -> bool {
        if self.held.as_ref().is_some_and(|h| h.record.term >= claim.term) {
            return false;
        }
        self.heard_at = Some(now);
        let since = now - claim.renewed_ms_ago;
        if self.seen.as_ref().is_none_or(|s| s.revision < claim.revision) {
            let (term, revision) = (claim.term, claim.revision);
            self.seen = Some(Seen { record: None, term, revision, since });
            self.read_at = None;
        }
        self.held.take().is_some()
    }

    /// Gives the lease up. Returns the record to write and the revision that it replaces.
    pub fn hand_over(&mut self, now: Millis) -> Option<(LeaseRecord, u64)> {
        self.reluctant_until = now + RELUCTANT_MS;
        let held = self.held.take()?;
        Some((LeaseRecord { holder: None, ..held.record }, held.revision))
    }

    /// Tells whether this process holds the lease, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the term of the held lease, zero if none is held.
    pub fn term(&self) -> u64 {
        self.held.as_ref().map_or(0, |h| h.record.term)
    }

    /// Tells whether no other process can have taken the lease yet.
    pub fn is_exclusive(&self, now: Millis) -> bool {
        self.held.as_ref().is_some_and(|h| now.since(h.confirmed_at) < LEASE_TTL_MS - MARGIN_MS)
    }

    /// Makes the claim for datagrams.
    pub fn claim(&self, serving: bool, now: Millis) -> Option<OwnerClaim> {
        self.held.as_ref().map(|h| OwnerClaim {
            term: h.record.term,
            revision: h.revision,
            renewed_ms_ago: now.since(h.confirmed_at),
            serving,
        })
    }

    fn is_lapsed(&self, now: Millis) -> bool {
        self.seen.as_ref().is_some_and(|s| {
            let free = s
                .record
                .as_ref()
                .is_some_and(|r| r.holder.is_none() || r.holder.as_ref() == Some(&self.own));
            free || now.since(s.since) >= LEASE_TTL_MS
        })
    }

    fn next_record(&self, term: u64) -> LeaseRecord {
        LeaseRecord { holder: Some(self.own.clone()), term: term + 1, renewals: 0 }
    }
}
