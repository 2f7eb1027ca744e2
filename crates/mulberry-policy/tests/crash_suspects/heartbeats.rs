//! What processes tell each other about suspects.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::POISON;
use crate::complete;
use crate::crash;
use crate::is_free;
use crate::permission;
use crate::sender_of;
use crate::told;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::Permission;
use mulberry_protocol::time::Millis;

#[test]
fn suspects_beyond_one_heartbeat_reach_every_peer() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let (mut sender, mut receiver) = (CrashSuspects::default(), CrashSuspects::default());
    let fingerprints = 0..40;
    for fingerprint in fingerprints.clone() {
        crash(&mut sender, fingerprint, fingerprint, 0, 0);
    }
    for number in 0..100 {
        let now = Millis(number * 100);
        let sent = sender.suspects_to_send(&mut rng, now);
        assert!(sent.len() <= 8, "{}", sent.len());
        receiver.merge(&sender_of(number + 1), &sent, now);
    }
    for fingerprint in fingerprints {
        for (endpoint, at) in [(1_000, 11_000), (2_000, 12_000)] {
            crash(&mut receiver, fingerprint, endpoint + fingerprint, at, at);
        }
        assert!(!is_free(&receiver, fingerprint, 12_001), "{fingerprint}");
    }
}

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Guards against convictions that never end: each process that restarts would learn them from
/// another one and prolong them.
#[test]
fn conviction_ends_a_day_after_it_was_found_whoever_was_told() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut first = CrashSuspects::default();
    first.add_conviction(POISON, Millis(DAY_MS), Millis(0));
    for hour in 0..30 {
        let now = Millis(hour * 60 * 60 * 1_000);
        // One of the others restarts every hour.
        let mut told = CrashSuspects::default();
        let sent = first.suspects_to_send(&mut rng, now);
        told.merge(&sender_of(hour + 1), &sent, now);
        assert_eq!(is_free(&told, POISON, now.0), now > Millis(DAY_MS), "hour {hour}");
        let passed_on = told.suspects_to_send(&mut rng, now);
        assert!(passed_on.is_empty(), "who was told of a conviction does not tell it");
    }
}

/// Guards against convicting a request that often completes, since a peer told of all its breaks.
#[test]
fn crashes_between_completed_runs_convict_nobody_elsewhere() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let (mut sender, mut receiver) = (CrashSuspects::default(), CrashSuspects::default());
    for round in 0..20 {
        let at = round * 1_000;
        crash(&mut sender, POISON, round, at, at);
        let sent = sender.suspects_to_send(&mut rng, Millis(at + 1));
        receiver.merge(&sender_of(2 * round), &sent, Millis(at + 1));
        complete(&mut sender, POISON, round, at + 2);
        let sent = sender.suspects_to_send(&mut rng, Millis(at + 3));
        receiver.merge(&sender_of(2 * round + 1), &sent, Millis(at + 3));
    }
    assert!(is_free(&receiver, POISON, 20_000));
}

/// Guards against counting a heartbeat that arrives late as a new crash.
#[test]
fn late_heartbeat_changes_nothing() {
    let mut suspects = CrashSuspects::default();
    for (sequence, at) in [(1, 0), (3, 4_000), (2, 9_000), (3, 13_000)] {
        suspects.merge(&sender_of(sequence), &[told(&[1], 0, false)], Millis(at));
    }
    assert!(is_free(&suspects, POISON, 20_000), "two crashes of one endpoint, not four");
}

/// Guards against a process that has just started and runs the request three times more: the owner
/// passes on what it was told, and tells of the conviction once it is stored.
#[test]
fn process_that_has_just_started_is_told_what_others_saw() {
    let mut rng = ChaCha8Rng::seed_from_u64(17);
    let mut owner = CrashSuspects::default();
    owner.merge(&sender_of(1), &[told(&[1, 2, 3], 0, false)], Millis(1_000));
    for at in [2_000, 60_000, DAY_MS / 2] {
        let mut started = CrashSuspects::default();
        let sent = owner.suspects_to_send(&mut rng, Millis(at));
        started.merge(&sender_of(at), &sent, Millis(at));
        let seen = permission(&started, POISON, at + 1);
        assert!(matches!(seen, Permission::Refuse { .. }), "{at}: {seen:?}");
        for (fingerprint, until) in owner.convictions(Millis(at)) {
            owner.add_conviction(fingerprint, until, Millis(at));
        }
    }
}

/// Guards against more trials than one request may have: every process counts those of all.
#[test]
fn trials_of_one_process_count_at_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(19);
    let (mut first, mut second) = (CrashSuspects::default(), CrashSuspects::default());
    for suspects in [&mut first, &mut second] {
        suspects.merge(&sender_of(1), &[told(&[1, 2, 3], 0, false)], Millis(1_000));
    }
    assert_eq!(permission(&second, POISON, 31_000), Permission::Trial);
    first.begin_trial(POISON, 1, Millis(31_000));
    let sent = first.suspects_to_send(&mut rng, Millis(31_100));
    second.merge(&sender_of(2), &sent, Millis(31_100));
    assert!(matches!(permission(&second, POISON, 31_200), Permission::Refuse { .. }));
}

/// Guards against a conviction that an old completed run voids, of which a peer tells beside new crashes.
#[test]
fn completed_run_of_before_does_not_void_a_conviction() {
    let mut rng = ChaCha8Rng::seed_from_u64(23);
    let (mut first, mut second) = (CrashSuspects::default(), CrashSuspects::default());
    crash(&mut first, POISON, 1, 1_000, 1_010);
    complete(&mut first, POISON, 2, 2_000);
    second.merge(&sender_of(1), &[told(&[], 0, true)], Millis(60_000));
    second.begin_trial(POISON, 2, Millis(61_000));
    crash(&mut first, POISON, 1, 62_000, 62_010);
    let sent = first.suspects_to_send(&mut rng, Millis(62_100));
    second.merge(&sender_of(2), &sent, Millis(62_100));
    assert!(matches!(permission(&second, POISON, 600_000), Permission::Refuse { .. }));
}

/// Guards against a sound request that its owner goes on refusing, since it completed while its
/// conviction was being stored.
#[test]
fn conviction_that_was_voided_while_it_was_stored_is_not_kept() {
    let mut suspects = CrashSuspects::default();
    for endpoint in 0..3 {
        crash(&mut suspects, POISON, endpoint, 1_000, 1_010);
    }
    let convictions = suspects.convictions(Millis(1_100));
    complete(&mut suspects, POISON, 5, 1_200);
    for (fingerprint, until) in convictions {
        suspects.confirm_conviction(fingerprint, until, Millis(1_300));
    }
    assert!(is_free(&suspects, POISON, 1_400));
}
