//! Tests of the leases on shards: each has one owner at a time, and is handed over and taken over
//! without entries competing for it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mulberry_policy::ownership::LeaseSettings;
use mulberry_policy::ownership::Ownership;
use mulberry_policy::ownership::OwnershipAction;
use mulberry_policy::ownership::OwnershipChange;
use mulberry_policy::ownership::SeenLease;
use mulberry_protocol::job::ShardLease;
use mulberry_protocol::time::Millis;

/// A store that answers at once, with one shard, and the entries that may own the shard.
struct Harness {
    version: u64,
    lease: Option<ShardLease>,
    entries: Vec<Option<Ownership>>,
    now: Millis,
    writes: u32,
    conflicts: u32,
    owned: Vec<bool>,
}

const SETTINGS: LeaseSettings = LeaseSettings {
    renew_ms: 2_000,
    ttl_ms: 6_000,
    standby_poll_ms: 3_000,
    far_poll_ms: 30_000,
    standbys: 3,
    rank_delay_ms: 1_000,
    min_hold_ms: 30_000,
};

impl Harness {
    fn new(count: usize) -> Self {
        let names: Vec<_> = (0..count).map(|i| format!("entry-{i}").as_str().into()).collect();
        let now = Millis(1_000);
        let entries = (0..count).map(|i| {
            let name = format!("entry-{i}").as_str().into();
            let mut ownership = Ownership::new(name, i as u64 + 1, 1, SETTINGS, now);
            ownership.apply_entries(names.clone());
            Some(ownership)
        });
        let entries = entries.collect();
        let owned = vec![false; count];
        Self { version: 0, lease: None, entries, now, writes: 0, conflicts: 0, owned }
    }

    fn run_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 50 {
            self.now = self.now + 50;
            for index in 0..self.entries.len() {
                let Some(mut entry) = self.entries[index].take() else { continue };
                for action in entry.tick(self.now) {
                    let change = self.call(&mut entry, action);
                    self.record(index, change);
                }
                self.entries[index] = Some(entry);
            }
        }
    }

    fn record(&mut self, index: usize, change: Option<OwnershipChange>) {
        match change {
            Some(OwnershipChange::Acquired { .. }) => self.owned[index] = true,
            Some(OwnershipChange::Lost { .. }) => self.owned[index] = false,
            None => {}
        }
    }

    fn call(&mut self, entry: &mut Ownership, action: OwnershipAction) -> Option<OwnershipChange> {
        match action {
            OwnershipAction::Read(_) | OwnershipAction::ReadAll => {
                let seen = SeenLease { lease: self.lease.clone(), version: self.version };
                entry.record_read(0, seen, self.now)
            }
            OwnershipAction::Write { expected, lease, .. } => {
                if expected != self.version {
                    self.conflicts += 1;
                    return entry.record_conflict(0, self.now);
                }
                self.writes += 1;
                self.version += 1;
                self.lease = Some(lease.clone());
                entry.record_written(0, lease, self.version, self.now)
            }
        }
    }

    fn owner(&self) -> Option<usize> {
        let owners: Vec<usize> = (0..self.owned.len()).filter(|i| self.owned[*i]).collect();
        assert!(owners.len() <= 1, "{owners:?} own the shard");
        owners.first().copied()
    }
}

#[test]
fn an_owned_shard_costs_one_write_per_renewal() {
    let mut harness = Harness::new(3);
    harness.run_ms(10_000);
    let owner = harness.owner().unwrap();
    let before = (harness.writes, harness.conflicts);
    harness.run_ms(20_000);
    assert_eq!(harness.owner(), Some(owner));
    assert!(
        harness.writes - before.0 <= 11,
        "{} writes in ten renewals",
        harness.writes - before.0
    );
    assert_eq!(harness.conflicts, before.1, "entries compete for the shard");
}

#[test]
fn a_conflicting_acquisition_is_not_repeated_before_a_read() {
    let mut entry = Ownership::new("entry-0".into(), 1, 1, SETTINGS, Millis(1_000));
    entry.record_read(0, SeenLease { lease: None, version: 0 }, Millis(1_000));
    let first = entry.tick(Millis(1_050));
    assert!(matches!(first[..], [OwnershipAction::Write { .. }]), "{first:?}");
    entry.record_conflict(0, Millis(1_060));
    let next = entry.tick(Millis(1_100));
    assert_eq!(next, [OwnershipAction::Read(0)]);
}

#[test]
fn another_entry_takes_over_from_a_crashed_one_within_seconds() {
    let mut harness = Harness::new(3);
    harness.run_ms(10_000);
    let owner = harness.owner().unwrap();
    harness.entries[owner] = None;
    harness.owned[owner] = false;
    let number = harness.lease.as_ref().unwrap().owner_number;
    harness.run_ms(SETTINGS.ttl_ms + SETTINGS.standby_poll_ms + 2 * SETTINGS.rank_delay_ms);
    assert!(harness.owner().is_some_and(|o| o != owner));
    assert!(harness.lease.as_ref().unwrap().owner_number > number);
}

#[test]
fn a_graceful_leave_hands_over_before_the_lease_expires() {
    let mut harness = Harness::new(2);
    harness.run_ms(10_000);
    let owner = harness.owner().unwrap();
    let mut entry = harness.entries[owner].take().unwrap();
    for action in entry.leave() {
        let change = harness.call(&mut entry, action);
        harness.record(owner, change);
    }
    harness.run_ms(2 * SETTINGS.standby_poll_ms + 2 * SETTINGS.rank_delay_ms);
    assert_eq!(harness.owner(), Some(1 - owner));
}

#[test]
fn a_paused_owner_learns_that_it_lost_the_shard() {
    let mut harness = Harness::new(2);
    harness.run_ms(10_000);
    let owner = harness.owner().unwrap();
    let paused = harness.entries[owner].take();
    harness.owned[owner] = false;
    harness.run_ms(20_000);
    assert_eq!(harness.owner(), Some(1 - owner));
    // When it resumes it still assumes that it owns the shard, until its renewal conflicts.
    harness.owned[owner] = false;
    harness.entries[owner] = paused;
    harness.run_ms(200);
    assert_eq!(harness.entries[owner].as_ref().unwrap().owner_number(0), None);
}

#[test]
fn an_acquisition_whose_response_was_lost_is_found_by_reading() {
    let mut entry = Ownership::new("entry-0".into(), 9, 1, SETTINGS, Millis(1_000));
    entry.record_read(0, SeenLease { lease: None, version: 0 }, Millis(1_000));
    let actions = entry.tick(Millis(1_050));
    let [OwnershipAction::Write { lease, .. }] = &actions[..] else { panic!("{actions:?}") };
    entry.record_write_failed(0, Millis(2_000));
    let seen = SeenLease { lease: Some(lease.clone()), version: 5 };
    let change = entry.record_read(0, seen, Millis(2_100));
    assert_eq!(change, Some(OwnershipChange::Acquired { shard: 0, owner_number: 1 }));
}
