//! Distributes the jobs among entries by leases on shards, which are kept in the object API.
//!
//! A lease only avoids duplicate work. A paused owner may continue after another entry took over,
//! but nothing that it does takes effect twice, because chunks are created under fixed names and
//! only if absent. Expiry therefore needs no synchronized clocks: an entry takes over once it has
//! observed the same version for the TTL of the lease on its own clock.

use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::job::ShardLease;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

/// Timing of the leases on shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Milliseconds between renewals.
    pub renew_ms: u64,
    /// Milliseconds without a renewal after which another entry takes over.
    pub ttl_ms: u64,
    /// Milliseconds between reads of a shard's lease by an entry that does not hold it.
    pub standby_poll_ms: u64,
    /// Milliseconds between lists of all shards by an entry that is not a standby of every shard.
    pub far_poll_ms: u64,
    /// Number of entries that are standbys of a shard, those that rank first for it.
    pub standbys: usize,
    /// Milliseconds by which the takeover is delayed with each rank, so that standbys don't race.
    pub rank_delay_ms: u64,
    /// Milliseconds for which a shard is held before it is handed over to an entry of higher rank.
    pub min_hold_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            renew_ms: 2_000,
            ttl_ms: 6_000,
            standby_poll_ms: 3_000,
            far_poll_ms: 30_000,
            standbys: 3,
            rank_delay_ms: 1_000,
            min_hold_ms: 30_000,
        }
    }
}

/// A shard's lease as read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct SeenLease {
    /// The lease, or none if the object does not exist.
    pub lease: Option<ShardLease>,
    /// Version of the object, or zero if it does not exist.
    pub version: u64,
}

/// A call to make to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnershipAction {
    /// Read the shard's lease, then call [`Ownership::record_read`].
    Read(u32),
    /// List the leases of all shards in one call, then call [`Ownership::record_read`] for each.
    ReadAll,
    /// Write the lease if the object still has this version (zero: if it is absent), then call
    /// [`Ownership::record_written`], [`Ownership::record_conflict`] if the object had another
    /// version, or [`Ownership::record_write_failed`] if the outcome is unknown.
    Write {
        /// The shard.
        shard: u32,
        /// Version that the object must have.
        expected: u64,
        /// The lease to write.
        lease: ShardLease,
    },
}

/// A change in the ownership of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The entry now owns the shard.
    Acquired {
        /// The shard.
        shard: u32,
        /// The owner number that its dispatches carry.
        owner_number: u64,
    },
    /// The entry no longer owns the shard.
    Lost {
        /// The shard.
        shard: u32,
    },
}

#[derive(Debug, Clone)]
struct ShardState {
    /// Number of live entries that rank higher for the shard than this one.
    rank: usize,
    seen: Option<SeenLease>,
    /// When the version in `seen` was first observed.
    seen_since: Millis,
    next_read_at: Millis,
    held: Option<HeldLease>,
    write_pending: bool,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    owner_number: u64,
    version: u64,
    renewals: u64,
    next_renewal_at: Millis,
    /// When the entry acquired the shard.
    since: Millis,
}

/// The leases on all shards as one entry sees them.
#[derive(Debug, Clone)]
pub struct Ownership {
    entry: EntryName,
    incarnation: u64,
    settings: LeaseSettings,
    shards: Vec<ShardState>,
    live_entries: Vec<EntryName>,
    next_list_at: Millis,
    leaving: bool,
}

impl Ownership {
    /// Creates the state of an entry that owns no shard yet.
    pub fn new(
        entry: EntryName,
        incarnation: u64,
        shards: u32,
        settings: LeaseSettings,
        now: Millis,
    ) -> Self {
        let shard = ShardState {
            rank: 0,
            seen: None,
            seen_since: now,
            next_read_at: now,
            held: None,
            write_pending: false,
        };
        let live_entries = vec![entry.clone()];
        let shards = vec![shard; shards as usize];
        Self {
            entry,
            incarnation,
            settings,
            shards,
            live_entries,
            next_list_at: now + settings.far_poll_ms,
            leaving: false,
        }
    }

    /// Updates the live entries from the VM list, and ranks this entry among them for each shard.
    pub fn apply_entries(&mut self, mut entries: Vec<EntryName>) {
        if !entries.contains(&self.entry) {
            entries.push(self.entry.clone());
        }
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let own = rendezvous_rank(&self.entry, index as u32);
            let ranks_higher = |e: &&EntryName| rendezvous_rank(e, index as u32) < own;
            shard.rank = entries.iter().filter(ranks_higher).count();
        }
        self.live_entries = entries;
    }

    /// Returns the owner number under which the entry holds the shard.
    pub fn owner_number(&self, shard: u32) -> Option<u64> {
        self.shards.get(shard as usize).and_then(|s| s.held).map(|h| h.owner_number)
    }

    /// Returns the shards whose leases the entry holds.
    pub fn held(&self) -> impl Iterator<Item = u32> {
        (0..).zip(&self.shards).filter(|(_, s)| s.held.is_some()).map(|(index, _)| index)
    }

    /// Releases every shard, so that other entries take over without waiting for expiry.
    pub fn leave(&mut self) -> Vec<OwnershipAction> {
        self.leaving = true;
        let held: Vec<u32> = self.held().collect();
        held.into_iter().filter_map(|shard| self.release(shard)).collect()
    }

    /// Returns the calls that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        if self.leaving {
            return actions;
        }
        for index in 0..self.shards.len() as u32 {
            actions.extend(self.tick_shard(index, now));
        }
        let needs_list = self.shards.iter().any(|s| s.rank >= self.settings.standbys);
        if needs_list && self.next_list_at <= now {
            self.next_list_at = now + self.settings.far_poll_ms;
            actions.push(OwnershipAction::ReadAll);
        }
        actions
    }

    /// Records a lease read from the store.
    pub fn record_read(
        &mut self,
        shard: u32,
        seen: SeenLease,
        now: Millis,
    ) -> Option<OwnershipChange> {
        let change = self.apply_read(shard, &seen, now);
        let state = self.shards.get_mut(shard as usize)?;
        if state.seen.as_ref().map(|s| s.version) != Some(seen.version) {
            state.seen_since = now;
        }
        state.seen = Some(seen);
        change
    }

    /// Records that a write took effect and gave the object a new version.
    pub fn record_written(
        &mut self,
        shard: u32,
        lease: ShardLease,
        version: u64,
        now: Millis,
    ) -> Option<OwnershipChange> {
        let own = self.is_own(&lease);
        let renew_ms = self.settings.renew_ms;
        let state = self.shards.get_mut(shard as usize)?;
        state.write_pending = false;
        state.seen_since = now;
        let was_held = state.held.is_some();
        let since = state.held.map_or(now, |h| h.since);
        state.held = own.then_some(HeldLease {
            owner_number: lease.owner_number,
            version,
            renewals: lease.renewals,
            next_renewal_at: now + renew_ms,
            since,
        });
        let owner_number = lease.owner_number;
        state.seen = Some(SeenLease { lease: Some(lease), version });
        match (was_held, own) {
            (false, true) => Some(OwnershipChange::Acquired { shard, owner_number }),
            (true, false) => Some(OwnershipChange::Lost { shard }),
            _ => None,
        }
    }

    /// Records that a write failed because the object had another version, or that its response was
    /// lost. The lease is read again before the next write.
    pub fn record_write_failed(&mut self, shard: u32, now: Millis) {
        if let Some(state) = self.shards.get_mut(shard as usize) {
            state.write_pending = false;
            state.next_read_at = now;
            // The lease seen before is out of date; another write based on it would fail again.
            state.seen = None;
        }
    }

    /// Records that the object had another version than expected, which ends a held lease.
    pub fn record_conflict(&mut self, shard: u32, now: Millis) -> Option<OwnershipChange> {
        self.record_write_failed(shard, now);
        let state = self.shards.get_mut(shard as usize)?;
        state.held.take().map(|_| OwnershipChange::Lost { shard })
    }

    /// Updates the held lease from a read, which may show that a write whose response was lost
    /// acquired the shard, or that another entry took it.
    fn apply_read(&mut self, shard: u32, seen: &SeenLease, now: Millis) -> Option<OwnershipChange> {
        let own = seen.lease.as_ref().filter(|l| self.is_own(l)).cloned();
        let state = self.shards.get_mut(shard as usize)?;
        match (&mut state.held, own) {
            (Some(held), Some(lease)) => {
                held.version = held.version.max(seen.version);
                held.renewals = held.renewals.max(lease.renewals);
                None
            }
            (Some(held), None) if seen.version > held.version => {
                state.held = None;
                Some(OwnershipChange::Lost { shard })
            }
            // The read is older than this entry's last write and has no new information.
            (Some(_), None) => None,
            (None, Some(lease)) => {
                state.held = Some(HeldLease {
                    owner_number: lease.owner_number,
                    version: seen.version,
                    renewals: lease.renewals,
                    next_renewal_at: now,
                    since: now,
                });
                let owner_number = lease.owner_number;
                Some(OwnershipChange::Acquired { shard, owner_number })
            }
            (None, None) => None,
        }
    }

    fn tick_shard(&mut self, index: u32, now: Millis) -> Option<OwnershipAction> {
        let state = self.shards.get(index as usize)?;
        if state.write_pending {
            return None;
        }
        if let Some(held) = state.held {
            if now.since(held.since) >= self.settings.min_hold_ms && self.should_hand_over(index) {
                return self.release(index);
            }
            return (held.next_renewal_at <= now).then(|| self.renew(index, held));
        }
        if self.may_acquire(state, now) {
            return self.acquire(index);
        }
        if state.next_read_at > now {
            return None;
        }
        let poll = self.settings.standby_poll_ms;
        let state = self.shards.get_mut(index as usize)?;
        state.next_read_at = now + poll;
        Some(OwnershipAction::Read(index))
    }

    fn may_acquire(&self, state: &ShardState, now: Millis) -> bool {
        let Some(seen) = &state.seen else { return false };
        let rank = state.rank as u64;
        let unchanged_for = now.since(state.seen_since);
        let owner = seen.lease.as_ref().and_then(|l| l.owner.as_ref());
        match owner {
            // Gives each entry of higher rank one poll interval to notice the release.
            None => {
                let delay = self.settings.standby_poll_ms + self.settings.rank_delay_ms;
                unchanged_for >= rank * delay
            }
            Some(_) => unchanged_for >= self.settings.ttl_ms + rank * self.settings.rank_delay_ms,
        }
    }

    /// Returns whether a live entry ranks higher for the shard than this one.
    fn should_hand_over(&self, index: u32) -> bool {
        let best = self.live_entries.iter().min_by_key(|e| rendezvous_rank(e, index));
        best.is_some_and(|b| *b != self.entry)
    }

    fn acquire(&mut self, index: u32) -> Option<OwnershipAction> {
        let state = self.shards.get(index as usize)?;
        let seen = state.seen.clone()?;
        let last_owner_number = seen.lease.as_ref().map_or(0, |l| l.owner_number);
        let lease = ShardLease {
            owner: Some(self.entry.clone()),
            incarnation: self.incarnation,
            owner_number: last_owner_number + 1,
            renewals: 0,
        };
        self.write(index, seen.version, lease)
    }

    fn renew(&mut self, index: u32, held: HeldLease) -> OwnershipAction {
        let lease = ShardLease {
            owner: Some(self.entry.clone()),
            incarnation: self.incarnation,
            owner_number: held.owner_number,
            renewals: held.renewals + 1,
        };
        if let Some(state) = self.shards.get_mut(index as usize) {
            state.write_pending = true;
        }
        OwnershipAction::Write { shard: index, expected: held.version, lease }
    }

    fn release(&mut self, index: u32) -> Option<OwnershipAction> {
        let held = self.shards.get(index as usize)?.held?;
        let lease = ShardLease {
            owner: None,
            incarnation: self.incarnation,
            owner_number: held.owner_number,
            renewals: held.renewals + 1,
        };
        self.write(index, held.version, lease)
    }

    fn write(&mut self, shard: u32, expected: u64, lease: ShardLease) -> Option<OwnershipAction> {
        self.shards.get_mut(shard as usize)?.write_pending = true;
        Some(OwnershipAction::Write { shard, expected, lease })
    }

    fn is_own(&self, lease: &ShardLease) -> bool {
        lease.owner.as_ref() == Some(&self.entry) && lease.incarnation == self.incarnation
    }
}

/// Returns the value that ranks an entry for a shard by rendezvous hashing; the lowest ranks first.
fn rendezvous_rank(entry: &EntryName, shard: u32) -> u64 {
    stable_hash(entry.as_str().as_bytes(), u64::from(shard) + 1)
}
