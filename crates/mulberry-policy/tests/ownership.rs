//! Shards are owned by one entry at a time, handed over, taken over, and never fought over.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mulberry_policy::ownership::LeaseSettings;
use mulberry_policy::ownership::Ownership;
use mulberry_policy::ownership::OwnershipAction;
use mulberry_policy::ownership::OwnershipChange;
use mulberry_policy::ownership::SeenLease;
use mulberry_protocol::job::ShardLease;
use mulberry_protocol::time::Millis;

/// One shard in a store that answers at once, and the entries that want it.
struct Bench {
    version: u64,
    lease: Option<ShardLease>,
    entries: Vec<Option<Ownership>>,
    now: Millis,
    writes: u32,
    refused: u32,
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

impl Bench {
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
        Self { version: 0, lease: None, entries, now, writes: 0, refused: 0, owned }
    }

    fn run_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 50 {
            self.now = self.now + 50;
            for index in 0..self.entries.len() {
                let Some(mut entry) = self.entries[index].take() else { continue };
                for action in entry.tick(self.now) {
                    let change = self.call(&mut entry, action);
                    self.note(index, change);
                }
                self.entries[index] = Some(entry);
            }
        }
    }

    fn note(&mut self, index: usize, change: Option<OwnershipChange>) {
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
                entry.note_read(0, seen, self.now)
            }
            OwnershipAction::Write { expected, lease, .. } => {
                if expected != self.version {
                    self.refused += 1;
                    return entry.note_conflict(0, self.now);
                }
                self.writes += 1;
                self.version += 1;
                self.lease = Some(lease.clone());
                entry.note_written(0, lease, self.version, self.now)
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
fn an_idle_shard_costs_one_write_a_renewal() {
    let mut bench = Bench::new(3);
    bench.run_ms(10_000);
    let owner = bench.owner().unwrap();
    let before = (bench.writes, bench.refused);
    bench.run_ms(20_000);
    assert_eq!(bench.owner(), Some(owner));
    assert!(bench.writes - before.0 <= 11, "{} writes in ten renewals", bench.writes - before.0);
    assert_eq!(bench.refused, before.1, "entries fight over the shard");
}

#[test]
fn a_refused_acquisition_is_not_repeated_before_a_read() {
    let mut entry = Ownership::new("entry-0".into(), 1, 1, SETTINGS, Millis(1_000));
    entry.note_read(0, SeenLease { lease: None, version: 0 }, Millis(1_000));
    let first = entry.tick(Millis(1_050));
    assert!(matches!(first[..], [OwnershipAction::Write { .. }]), "{first:?}");
    entry.note_conflict(0, Millis(1_060));
    let next = entry.tick(Millis(1_100));
    assert_eq!(next, [OwnershipAction::Read(0)]);
}

#[test]
fn another_entry_takes_over_from_a_dead_one_within_seconds() {
    let mut bench = Bench::new(3);
    bench.run_ms(10_000);
    let owner = bench.owner().unwrap();
    bench.entries[owner] = None;
    bench.owned[owner] = false;
    let number = bench.lease.as_ref().unwrap().owner_number;
    bench.run_ms(SETTINGS.ttl_ms + SETTINGS.standby_poll_ms + 2 * SETTINGS.rank_delay_ms);
    assert!(bench.owner().is_some_and(|o| o != owner));
    assert!(bench.lease.as_ref().unwrap().owner_number > number);
}

#[test]
fn a_graceful_leave_hands_over_without_waiting_for_the_lease() {
    let mut bench = Bench::new(2);
    bench.run_ms(10_000);
    let owner = bench.owner().unwrap();
    let mut entry = bench.entries[owner].take().unwrap();
    for action in entry.leave() {
        let change = bench.call(&mut entry, action);
        bench.note(owner, change);
    }
    bench.run_ms(2 * SETTINGS.standby_poll_ms + 2 * SETTINGS.rank_delay_ms);
    assert_eq!(bench.owner(), Some(1 - owner));
}

#[test]
fn a_paused_owner_learns_that_it_lost_the_shard() {
    let mut bench = Bench::new(2);
    bench.run_ms(10_000);
    let owner = bench.owner().unwrap();
    let paused = bench.entries[owner].take();
    bench.owned[owner] = false;
    bench.run_ms(20_000);
    assert_eq!(bench.owner(), Some(1 - owner));
    // It still believes that it owns the shard when it wakes; its renewal is refused.
    bench.owned[owner] = false;
    bench.entries[owner] = paused;
    bench.run_ms(200);
    assert_eq!(bench.entries[owner].as_ref().unwrap().owner_number(0), None);
}

#[test]
fn an_acquisition_whose_answer_was_lost_is_found_by_reading() {
    let mut entry = Ownership::new("entry-0".into(), 9, 1, SETTINGS, Millis(1_000));
    entry.note_read(0, SeenLease { lease: None, version: 0 }, Millis(1_000));
    let actions = entry.tick(Millis(1_050));
    let [OwnershipAction::Write { lease, .. }] = &actions[..] else { panic!("{actions:?}") };
    entry.note_write_failed(0, Millis(2_000));
    let seen = SeenLease { lease: Some(lease.clone()), version: 5 };
    let change = entry.note_read(0, seen, Millis(2_100));
    assert_eq!(change, Some(OwnershipChange::Acquired { shard: 0, owner_number: 1 }));
}
