//! Who owns the batch jobs, over renewals, losses and lost answers.

use mulberry_policy::owner_lease::LEASE_TTL_MS;
use mulberry_policy::owner_lease::LeaseRecord;
use mulberry_policy::owner_lease::LeaseStep;
use mulberry_policy::owner_lease::OwnerLease;
use mulberry_policy::owner_lease::RENEW_INTERVAL_MS;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::OwnerClaim;
use mulberry_protocol::time::Millis;

fn record(holder: &str, term: u64) -> LeaseRecord {
    LeaseRecord { holder: Some(EntryName::new(holder)), term, renewals: 0 }
}

fn claim(term: u64, revision: u64, renewed_ms_ago: u64) -> OwnerClaim {
    OwnerClaim { term, revision, renewed_ms_ago, serving: true }
}

/// A store with one lease, which several owners use in turn.
#[derive(Default)]
struct Lease {
    held: Option<(LeaseRecord, u64)>,
    revision: u64,
}

impl Lease {
    fn apply(&mut self, owner: &mut OwnerLease, now: Millis) -> &'static str {
        let step = owner.next_step(now);
        let (record, expected) = match step {
            LeaseStep::Wait => return "wait",
            LeaseStep::Read => {
                owner.note_read_sent(now);
                owner.note_read(self.held.clone(), now);
                return "read";
            }
            LeaseStep::Create(record) => (record, None),
            LeaseStep::Replace(record, revision) => (record, Some(revision)),
        };
        owner.note_write_sent(now);
        if self.held.as_ref().map(|(_, revision)| *revision) != expected {
            owner.note_conflict(self.held.clone(), now);
            return "conflict";
        }
        self.revision += 1;
        self.held = Some((record.clone(), self.revision));
        owner.note_written(record, self.revision, now);
        "written"
    }
}

#[test]
fn a_new_lease_is_created_and_renewed() {
    let (mut lease, mut owner) = (Lease::default(), OwnerLease::new("a".into()));
    let now = Millis(10_000);
    assert_eq!(lease.apply(&mut owner, now), "read");
    assert_eq!(lease.apply(&mut owner, now), "written");
    assert!(owner.is_held() && owner.is_exclusive(now));
    assert_eq!(lease.apply(&mut owner, now + (RENEW_INTERVAL_MS - 1)), "wait");
    assert_eq!(lease.apply(&mut owner, now + RENEW_INTERVAL_MS), "written");
}

#[test]
fn only_one_of_two_takes_a_lapsed_lease() {
    let mut lease = Lease { held: Some((record("gone", 4), 9)), revision: 9 };
    let mut owners = [OwnerLease::new("a".into()), OwnerLease::new("b".into())];
    let mut now = Millis(10_000);
    let end = now + (LEASE_TTL_MS + 800);
    while now < end {
        for owner in &mut owners {
            lease.apply(owner, now);
        }
        now = now + 50;
    }
    let held = owners.iter().filter(|o| o.is_held()).count();
    assert_eq!(held, 1);
    assert_eq!(lease.held.map(|(r, _)| r.term), Some(5));
}

struct TakeCase {
    name: &'static str,
    /// What is in the store at the start.
    found: LeaseRecord,
    /// Claims heard from the holder: for how long, and how old its renewals get.
    heard_for_ms: u64,
    renewed_ms_ago: u64,
    /// Time until the lease is taken, at least and at most.
    after_ms: (u64, u64),
}

#[test]
fn time_of_a_takeover() {
    let free = LeaseRecord { holder: None, ..record("x", 3) };
    let cases = [
        TakeCase {
            name: "an own lease of before a restart is taken at once",
            found: record("a", 3),
            heard_for_ms: 0,
            renewed_ms_ago: 0,
            after_ms: (0, 100),
        },
        TakeCase {
            name: "a lease that was handed over is taken at once",
            found: free,
            heard_for_ms: 0,
            renewed_ms_ago: 0,
            after_ms: (0, 100),
        },
        TakeCase {
            name: "a holder that was never heard loses it after the lease's time",
            found: record("x", 3),
            heard_for_ms: 0,
            renewed_ms_ago: 0,
            after_ms: (LEASE_TTL_MS, LEASE_TTL_MS + 800),
        },
        TakeCase {
            name: "a holder that renews until five seconds and is heard for one more keeps it so long",
            found: record("x", 3),
            heard_for_ms: 6_000,
            renewed_ms_ago: 100,
            after_ms: (5_000 + LEASE_TTL_MS - 100, 5_000 + LEASE_TTL_MS + 800),
        },
    ];
    for case in cases {
        let mut lease = Lease { held: Some((case.found.clone(), 7)), revision: 7 };
        let mut owner = OwnerLease::new("a".into());
        let start = Millis(10_000);
        let mut now = start;
        while !owner.is_held() && now.since(start) < 20_000 {
            if now.since(start) < case.heard_for_ms {
                let revision = 8 + now.since(start) / RENEW_INTERVAL_MS;
                lease.held = Some((case.found.clone(), revision));
                lease.revision = revision;
                owner.note_claim(&claim(3, revision, case.renewed_ms_ago), now);
            }
            lease.apply(&mut owner, now);
            now = now + 50;
        }
        let term = lease.held.as_ref().map(|(record, _)| record.term);
        assert_eq!(term, Some(case.found.term + 1), "{}", case.name);
        let after = now.since(start);
        let (least, most) = case.after_ms;
        assert!((least..=most).contains(&after), "{}: {after}", case.name);
    }
}

#[test]
fn a_holder_that_the_store_turns_away_is_not_certain_and_yields_to_a_higher_term() {
    let (mut lease, mut owner) = (Lease::default(), OwnerLease::new("a".into()));
    let now = Millis(10_000);
    lease.apply(&mut owner, now);
    lease.apply(&mut owner, now);
    let later = now + LEASE_TTL_MS;
    assert!(owner.is_held() && !owner.is_exclusive(later));
    assert!(!owner.note_claim(&claim(1, 1, 0), later), "its own term");
    assert!(owner.note_claim(&claim(2, 2, 0), later));
    assert!(!owner.is_held());
}

#[test]
fn a_term_that_only_a_peer_told_of_is_exceeded_as_well() {
    let mut owner = OwnerLease::new("a".into());
    let now = Millis(10_000);
    owner.note_claim(&claim(6, 40, 0), now);
    let later = now + LEASE_TTL_MS;
    assert_eq!(owner.next_step(later), LeaseStep::Read);
    // The read gets no answer.
    owner.note_read_sent(later);
    let LeaseStep::Replace(record, revision) = owner.next_step(later + 1) else {
        panic!("the lease has lapsed");
    };
    assert_eq!((record.term, revision), (7, 40));
}

#[test]
fn an_own_renewal_whose_answer_was_lost_does_not_lose_the_lease() {
    let (mut lease, mut owner) = (Lease::default(), OwnerLease::new("a".into()));
    let now = Millis(10_000);
    lease.apply(&mut owner, now);
    lease.apply(&mut owner, now);
    let LeaseStep::Replace(renewed, _) = owner.next_step(now + RENEW_INTERVAL_MS) else {
        panic!("a renewal is due");
    };
    // It was written, and further writes met it.
    let lost = owner.note_conflict(Some((renewed.clone(), 7)), now + RENEW_INTERVAL_MS);
    assert!(!lost && owner.is_held());
    assert_eq!(
        owner.next_step(now + 2 * RENEW_INTERVAL_MS),
        LeaseStep::Replace(LeaseRecord { renewals: renewed.renewals + 1, ..renewed }, 7)
    );
    let taken = LeaseRecord { term: 2, ..record("b", 2) };
    assert!(owner.note_conflict(Some((taken, 9)), now + 2 * RENEW_INTERVAL_MS));
}
