//! When items of batch jobs that crash endpoints run, and when they are given up.

use crate::ENDPOINT_COUNT;
use crate::POISON;
use crate::SOUND;
use crate::complete;
use crate::crash;
use crate::sender_of;
use crate::service;
use crate::told;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::ItemPermission;
use mulberry_policy::crash_suspects::MAX_ITEM_TRIALS;
use mulberry_protocol::time::Millis;

/// Plays an item that crashes each endpoint, kept for this long, while the service completes another
/// run every `sound_ms` milliseconds, or none. Returns the times of its runs and when it was given up.
fn play_item(kept_ms: u64, sound_ms: Option<u64>) -> (Vec<u64>, Option<u64>) {
    let mut suspects = CrashSuspects::default();
    let mut runs = Vec::new();
    let mut claimed = 0;
    for at in (0..2 * kept_ms).step_by(50) {
        let now = Millis(at);
        if sound_ms.is_some_and(|sound_ms| at % sound_ms == 0) {
            (0..ENDPOINT_COUNT).for_each(|endpoint| complete(&mut suspects, SOUND, endpoint, at));
        }
        match suspects.item_permission(POISON, &service(), Millis(kept_ms), now) {
            ItemPermission::Trial => {
                claimed += 1;
                suspects.begin_trial(POISON, claimed, now);
            }
            ItemPermission::Run => {}
            ItemPermission::Wait => continue,
            ItemPermission::GiveUp => return (runs, Some(at)),
        }
        crash(&mut suspects, POISON, runs.len() as u64 % ENDPOINT_COUNT, at, at);
        runs.push(at);
    }
    (runs, None)
}

/// Guards against BUDGET: an item that crashed endpoints was run again without bound.
#[test]
fn item_that_crashes_endpoints_runs_rarely_and_then_never() {
    for kept_ms in [60_000, 600_000] {
        for sound_ms in [Some(100), None] {
            let (runs, given_up_at) = play_item(kept_ms, sound_ms);
            assert_eq!(given_up_at, Some(kept_ms), "kept for its time, then given up");
            let late = runs.iter().filter(|at| **at > 3_000).count();
            assert_eq!(late, usize::from(MAX_ITEM_TRIALS), "{runs:?}");
            let last = runs.last().copied().unwrap_or(0);
            assert!(last >= kept_ms / 2, "its chances are spread over the time: {runs:?}");
        }
    }
}

/// Guards against giving up a job's items because endpoints crashed whatever they ran for a while.
#[test]
fn item_completes_soon_after_a_time_in_which_nothing_did() {
    let kept = Millis(60_000);
    let mut suspects = CrashSuspects::default();
    let mut claimed = 0;
    for at in (0..20_000).step_by(50) {
        match suspects.item_permission(POISON, &service(), kept, Millis(at)) {
            ItemPermission::Run => {}
            ItemPermission::Trial => {
                claimed += 1;
                suspects.begin_trial(POISON, claimed, Millis(at));
            }
            ItemPermission::Wait => continue,
            ItemPermission::GiveUp => panic!("given up at {at}"),
        }
        crash(&mut suspects, POISON, at / 50 % ENDPOINT_COUNT, at, at);
    }
    complete(&mut suspects, SOUND, 0, 20_000);
    let due = (20_000..60_000).find(|at| {
        suspects.item_permission(POISON, &service(), kept, Millis(*at)) == ItemPermission::Trial
    });
    assert!(due.is_some_and(|at| at <= 25_000), "its next trial is at {due:?}");
}

/// Guards against BUDGET: a new owner that knew of crashes only by number ran the item freely, or
/// counted them again when peers told of them.
#[test]
fn stored_crashes_count_once() {
    let permission = |suspects: &CrashSuspects| {
        suspects.item_permission(POISON, &service(), Millis(60_000), Millis(9_000))
    };
    let mut suspects = CrashSuspects::default();
    suspects.record_stored_crashes(POISON, 2, Millis(5_000));
    suspects.merge(&sender_of(1), &[told(&[1, 2], 900, false)], Millis(5_100));
    assert_eq!(permission(&suspects), ItemPermission::Run, "two crashes, known twice");
    crash(&mut suspects, POISON, 3, 5_200, 5_210);
    assert_eq!(permission(&suspects), ItemPermission::Wait, "the third one");
}

/// Guards against BUDGET: a new owner ran the item freely for two seconds after it had read that it
/// had crashed three endpoints.
#[test]
fn three_stored_crashes_convict_at_once() {
    let mut suspects = CrashSuspects::default();
    suspects.record_stored_crashes(POISON, 3, Millis(5_000));
    let permission = suspects.item_permission(POISON, &service(), Millis(60_000), Millis(5_001));
    assert_eq!(permission, ItemPermission::Wait);
}
