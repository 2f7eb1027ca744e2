//! Tests of the lease on the batch jobs: acquisition, renewal, expiry, claims, and lost responses.

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

/// A store with one lease, on which processes act one after another.
#[derive(Default)]
struct LeaseStore {
    held: Option<(LeaseRecord, u64)>,
    revision: u64,
}

impl LeaseStore {
    /// Makes the call that is due for a process, and returns what it was.
    fn apply(&mut self, owner: &mut OwnerLease, now: Millis) -> &'static str {
        let step = owner.next_step(now);
        let (record, expected) = match step {
            LeaseStep::Wait => return "wait",
            LeaseStep::Read => {
                owner.record_read_sent(now);
                owner.record_read(self.held.clone(), now);
                return "read";
            }
            LeaseStep::Create(record) => (record, None),
            LeaseStep::Replace(record, revision) => (record, Some(revision)),
        };
        owner.record_write_sent(now);
        if self.held.as_ref().map(|(_, revision)| *revision) != expected {
            owner.record_conflict(self.held.clone(), now);
            return "conflict";
        }
        self.revision += 1;
        self.held = Some((record.clone(), self.revision));
        owner.record_written(record, self.revision, now);
        "written"
    }
}

#[test]
fn a_new_lease_is_created_and_renewed() {
    let (mut store, mut owner) = (LeaseStore::default(), OwnerLease::new("a".into()));
    let now = Millis(10_000);
    assert_eq!(store.apply(&mut owner, now), "read");
    assert_eq!(store.apply(&mut owner, now), "written");
    assert!(owner.is_held() && owner.is_exclusive(now));
    assert_eq!(store.apply(&mut owner, now + (RENEW_INTERVAL_MS - 1)), "wait");
    assert_eq!(store.apply(&mut owner, now + RENEW_INTERVAL_MS), "written");
}

#[test]
fn only_one_of_two_processes_takes_an_expired_lease() {
    let mut store = LeaseStore { held: Some((record("lost", 4), 9)), revision: 9 };
    let mut owners = [OwnerLease::new("a".into()), OwnerLease::new("b".into())];
    let mut now = Millis(10_000);
    let end = now + (LEASE_TTL_MS + 800);
    while now < end {
        for owner in &mut owners {
            store.apply(owner, now);
        }
        now = now + 50;
    }
    let held = owners.iter().filter(|o| o.is_held()).count();
    assert_eq!(held, 1);
    assert_eq!(store.held.map(|(r, _)| r.term), Some(5));
}

struct TakeoverCase {
    name: &'static str,
    /// Record in the store at the start.
    found: LeaseRecord,
    /// Time during which claims of the holder arrive, in milliseconds.
    claims_for_ms: u64,
    /// Age of the last renewal in each claim, in milliseconds.
    renewed_ms_ago: u64,
    /// Least and greatest time until the lease is taken, in milliseconds.
    after_ms: (u64, u64),
}

#[test]
fn takeover_happens_in_the_expected_time() {
    let free = LeaseRecord { holder: None, ..record("x", 3) };
    let cases = [
        TakeoverCase {
            name: "a lease held before a restart is taken at once",
            found: record("a", 3),
            claims_for_ms: 0,
            renewed_ms_ago: 0,
            after_ms: (0, 100),
        },
        TakeoverCase {
            name: "a lease that was handed over is taken at once",
            found: free,
            claims_for_ms: 0,
            renewed_ms_ago: 0,
            after_ms: (0, 100),
        },
        TakeoverCase {
            name: "a holder without claims loses the lease after its TTL",
            found: record("x", 3),
            claims_for_ms: 0,
            renewed_ms_ago: 0,
            after_ms: (LEASE_TTL_MS, LEASE_TTL_MS + 800),
        },
        TakeoverCase {
            name: "a holder with claims until 6 s loses the lease a TTL after its renewal at 5 s",
            found: record("x", 3),
            claims_for_ms: 6_000,
            renewed_ms_ago: 100,
            after_ms: (5_000 + LEASE_TTL_MS - 100, 5_000 + LEASE_TTL_MS + 800),
        },
    ];
    for case in cases {
        let mut store = LeaseStore { held: Some((case.found.clone(), 7)), revision: 7 };
        let mut owner = OwnerLease::new("a".into());
        let start = Millis(10_000);
        let mut now = start;
        while !owner.is_held() && now.since(start) < 20_000 {
            if now.since(start) < case.claims_for_ms {
                let revision = 8 + now.since(start) / RENEW_INTERVAL_MS;
                store.held = Some((case.found.clone(), revision));
                store.revision = revision;
                owner.record_claim(&claim(3, revision, case.renewed_ms_ago), now);
            }
            store.apply(&mut owner, now);
            now = now + 50;
        }
        let term = store.held.as_ref().map(|(record, _)| record.term);
        assert_eq!(term, Some(case.found.term + 1), "{}", case.name);
        let after = now.since(start);
        let (least, most) = case.after_ms;
        assert!((least..=most).contains(&after), "{}: {after}", case.name);
    }
}

#[test]
fn a_holder_that_cannot_renew_is_not_exclusive_and_yields_to_a_higher_term() {
    let (mut store, mut owner) = (LeaseStore::default(), OwnerLease::new("a".into()));
    let now = Millis(10_000);
    store.apply(&mut owner, now);
    store.apply(&mut owner, now);
    let later = now + LEASE_TTL_MS;
    assert!(owner.is_held() && !owner.is_exclusive(later));
    assert!(!owner.record_claim(&claim(1, 1, 0), later), "its own term");
    assert!(owner.record_claim(&claim(2, 2, 0), later));
    assert!(!owner.is_held());
}

#[test]
fn a_takeover_exceeds_a_term_known_only_from_a_claim() {
    let mut owner = OwnerLease::new("a".into());
    let now = Millis(10_000);
    owner.record_claim(&claim(6, 40, 0), now);
    let later = now + LEASE_TTL_MS;
    assert_eq!(owner.next_step(later), LeaseStep::Read);
    // The read gets no response.
    owner.record_read_sent(later);
    let LeaseStep::Replace(record, revision) = owner.next_step(later + 1) else {
        panic!("the lease has expired");
    };
    assert_eq!((record.term, revision), (7, 40));
}

#[test]
fn an_own_renewal_whose_response_was_lost_does_not_lose_the_lease() {
    let (mut store, mut owner) = (LeaseStore::default(), OwnerLease::new("a".into()));
    let now = Millis(10_000);
    store.apply(&mut owner, now);
    store.apply(&mut owner, now);
    let LeaseStep::Replace(renewed, _) = owner.next_step(now + RENEW_INTERVAL_MS) else {
        panic!("a renewal is due");
    };
    // The renewal took effect although its response was lost, and the next write conflicts with it.
    let lost = owner.record_conflict(Some((renewed.clone(), 7)), now + RENEW_INTERVAL_MS);
    assert!(!lost && owner.is_held());
    assert_eq!(
        owner.next_step(now + 2 * RENEW_INTERVAL_MS),
        LeaseStep::Replace(LeaseRecord { renewals: renewed.renewals + 1, ..renewed }, 7)
    );
    let taken = LeaseRecord { term: 2, ..record("b", 2) };
    assert!(owner.record_conflict(Some((taken, 9)), now + 2 * RENEW_INTERVAL_MS));
}
