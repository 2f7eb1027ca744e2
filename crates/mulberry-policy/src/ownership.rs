//! Shares the jobs among entries by leases on shards, kept in the object API.
//!
//! A lease only avoids wasted work. An owner that was paused may act on after another took over;
//! nothing it does can take effect twice, because chunks are created under fixed names and only if
//! absent. So expiry needs no agreement on clocks: an observer takes over once it has seen the same
//! version for the lease's span on its own clock.

use mulberry_protocol::digest::placement_hash;
use mulberry_protocol::job::ShardLease;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

/// Timing of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Milliseconds between renewals.
    pub renew_ms: u64,
    /// Milliseconds without a renewal after which others take over.
    pub ttl_ms: u64,
    /// Milliseconds between reads by the entries that stand by for a shard.
    pub standby_poll_ms: u64,
    /// Milliseconds between lists of all shards by an entry that does not stand by for some.
    pub far_poll_ms: u64,
    /// Entries that stand by for a shard.
    pub standbys: usize,
    /// Milliseconds that each rank of standby waits longer, so that they don't race.
    pub rank_delay_ms: u64,
    /// Milliseconds for which a shard is held before it is handed to a better ranked entry.
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

/// A lease as read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct SeenLease {
    /// The lease, or none if the object does not exist.
    pub lease: Option<ShardLease>,
    /// Version of the object, or zero.
    pub version: u64,
}

/// A call to make.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnershipAction {
    /// Read the shard's lease, then call [`Ownership::note_read`].
    Read(u32),
    /// List the leases of all shards in one call, then call [`Ownership::note_read`] for each.
    ReadAll,
    /// Write the lease if the object still has this version (zero: if it is absent), then call
    /// [`Ownership::note_written`] or [`Ownership::note_write_failed`].
    Write {
        /// The shard.
        shard: u32,
        /// Version that the object must have.
        expected: u64,
        /// The lease to write.
        lease: ShardLease,
    },
}

/// A change of what the entry owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The entry owns the shard.
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
struct Shard {
    rank: usize,
    seen: Option<SeenLease>,
    seen_since: Millis,
    next_read_at: Millis,
    held: Option<Held>,
    write_pending: bool,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    owner_number: u64,
    version: u64,
    renewals: u64,
    next_renewal_at: Millis,
    since: Millis,
}

/// The shards as one entry sees them.
#[derive(Debug, Clone)]
pub struct Ownership {
    entry: EntryName,
    incarnation: u64,
    settings: LeaseSettings,
    shards: Vec<Shard>,
    live_entries: Vec<EntryName>,
    next_list_at: Millis,
    leaving: bool,
}

impl Ownership {
    /// Makes the state of an entry that owns nothing yet.
    pub fn new(
        entry: EntryName,
        incarnation: u64,
        shards: u32,
        settings: LeaseSettings,
        now: Millis,
    ) -> Self {
        let shard = Shard {
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

    /// Takes the entries that the VM list shows, from which the standbys are chosen.
    pub fn apply_entries(&mut self, mut entries: Vec<EntryName>) {
        if !entries.contains(&self.entry) {
            entries.push(self.entry.clone());
        }
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let own = rendezvous(&self.entry, index as u32);
            let better = |e: &&EntryName| rendezvous(e, index as u32) < own;
            shard.rank = entries.iter().filter(better).count();
        }
        self.live_entries = entries;
    }

    /// Returns the owner number under which the entry holds the shard.
    pub fn owner_number(&self, shard: u32) -> Option<u64> {
        self.shards.get(shard as usize).and_then(|s| s.held).map(|h| h.owner_number)
    }

    /// Lists the shards that the entry holds.
    pub fn held(&self) -> impl Iterator<Item = u32> {
        (0..).zip(&self.shards).filter(|(_, s)| s.held.is_some()).map(|(index, _)| index)
    }

    /// Gives up every shard, so that others take over without waiting for the leases to lapse.
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
        let is_far = self.shards.iter().any(|s| s.rank >= self.settings.standbys);
        if is_far && self.next_list_at <= now {
            self.next_list_at = now + self.settings.far_poll_ms;
            actions.push(OwnershipAction::ReadAll);
        }
        actions
    }

    /// Notes a lease read from the store.
    pub fn note_read(
        &mut self,
        shard: u32,
        seen: SeenLease,
        now: Millis,
    ) -> Option<OwnershipChange> {
        let change = self.judge_read(shard, &seen, now);
        let state = self.shards.get_mut(shard as usize)?;
        if state.seen.as_ref().map(|s| s.version) != Some(seen.version) {
            state.seen_since = now;
        }
        state.seen = Some(seen);
        change
    }

    /// Notes that a write took effect and gave the object a new version.
    pub fn note_written(
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
        let had = state.held.is_some();
        let since = state.held.map_or(now, |h| h.since);
        state.held = own.then_some(Held {
            owner_number: lease.owner_number,
            version,
            renewals: lease.renewals,
            next_renewal_at: now + renew_ms,
            since,
        });
        let owner_number = lease.owner_number;
        state.seen = Some(SeenLease { lease: Some(lease), version });
        match (had, own) {
            (false, true) => Some(OwnershipChange::Acquired { shard, owner_number }),
            (true, false) => Some(OwnershipChange::Lost { shard }),
            _ => None,
        }
    }

    /// Notes that the object had another version, or that the answer was lost. The lease is read
    /// again before anything else.
    pub fn note_write_failed(&mut self, shard: u32, now: Millis) {
        if let Some(state) = self.shards.get_mut(shard as usize) {
            state.write_pending = false;
            state.next_read_at = now;
            // What was seen before is out of date; acting on it again would only be refused again.
            state.seen = None;
        }
    }

    /// Notes that the object had another version while the entry held the shard.
    pub fn note_conflict(&mut self, shard: u32, now: Millis) -> Option<OwnershipChange> {
        self.note_write_failed(shard, now);
        let state = self.shards.get_mut(shard as usize)?;
        state.held.take().map(|_| OwnershipChange::Lost { shard })
    }

    /// Judges a read of a shard: a lost answer may have acquired it, another may have taken it.
    fn judge_read(&mut self, shard: u32, seen: &SeenLease, now: Millis) -> Option<OwnershipChange> {
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
            // A read that is older than the own last write says nothing.
            (Some(_), None) => None,
            (None, Some(lease)) => {
                state.held = Some(Held {
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

    fn may_acquire(&self, state: &Shard, now: Millis) -> bool {
        let Some(seen) = &state.seen else { return false };
        let rank = state.rank as u64;
        let unowned_for = now.since(state.seen_since);
        let owner = seen.lease.as_ref().and_then(|l| l.owner.as_ref());
        match owner {
            // A better ranked entry gets the time of one poll to notice the release.
            None => {
                let delay = self.settings.standby_poll_ms + self.settings.rank_delay_ms;
                unowned_for >= rank * delay
            }
            Some(_) => unowned_for >= self.settings.ttl_ms + rank * self.settings.rank_delay_ms,
        }
    }

    /// Tells whether the shard belongs with a better ranked entry that is listed as live.
    fn should_hand_over(&self, index: u32) -> bool {
        let best = self.live_entries.iter().min_by_key(|e| rendezvous(e, index));
        best.is_some_and(|b| *b != self.entry)
    }

    fn acquire(&mut self, index: u32) -> Option<OwnershipAction> {
        let state = self.shards.get(index as usize)?;
        let seen = state.seen.clone()?;
        let before = seen.lease.as_ref().map_or(0, |l| l.owner_number);
        let lease = ShardLease {
            owner: Some(self.entry.clone()),
            incarnation: self.incarnation,
            owner_number: before + 1,
            renewals: 0,
        };
        self.write(index, seen.version, lease)
    }

    fn renew(&mut self, index: u32, held: Held) -> OwnershipAction {
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

fn rendezvous(entry: &EntryName, shard: u32) -> u64 {
    placement_hash(entry.as_str().as_bytes(), u64::from(shard) + 1)
}
