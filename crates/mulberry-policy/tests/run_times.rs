//! What follows from measured run times: when a request must begin, and how many an endpoint is handed.

use mulberry_policy::run_times::CompletedRun;
use mulberry_policy::run_times::RunTimes;
use mulberry_protocol::name::ServiceName;

const SLOTS: u32 = 8;

fn service() -> ServiceName {
    ServiceName::new("captions")
}

fn measured(runs: &[(u64, u64)], in_flight: u32) -> RunTimes {
    let mut times = RunTimes::default();
    for (first_ms, rest_ms) in runs {
        let run = CompletedRun { first_ms: *first_ms, rest_ms: *rest_ms, in_flight, slots: SLOTS };
        times.record_run(&service(), run);
    }
    times
}

struct HandedPattern {
    name: &'static str,
    run_ms: u64,
    /// Time for which nobody may see that an endpoint has room.
    unseen_ms: f64,
    /// Longest time for which the request may wait.
    wait_ms: u64,
    slowness: f64,
    max_online: u32,
}

#[test]
fn endpoints_are_handed_what_keeps_them_busy() {
    let patterns = [
        HandedPattern {
            name: "ends are seen at once: one waits for the next",
            run_ms: 800,
            unseen_ms: 0.0,
            wait_ms: 4_000,
            slowness: 1.0,
            max_online: 9,
        },
        HandedPattern {
            name: "long runs, reports of 150 ms ago: two end meanwhile",
            run_ms: 800,
            unseen_ms: 150.0,
            wait_ms: 4_000,
            slowness: 1.0,
            max_online: 10,
        },
        HandedPattern {
            name: "short runs: no more than a few are queued there, and the others wait in order",
            run_ms: 16,
            unseen_ms: 150.0,
            wait_ms: 4_000,
            slowness: 1.0,
            max_online: 16,
        },
        HandedPattern {
            name: "a caller in a hurry is not queued",
            run_ms: 800,
            unseen_ms: 150.0,
            wait_ms: 90,
            slowness: 1.0,
            max_online: 8,
        },
        HandedPattern {
            name: "a slow endpoint ends fewer runs meanwhile",
            run_ms: 800,
            unseen_ms: 150.0,
            wait_ms: 4_000,
            slowness: 3.0,
            max_online: 9,
        },
    ];
    for pattern in patterns {
        let times = measured(&[(pattern.run_ms, 0); 40], 1);
        let (unseen_ms, wait_ms) = (pattern.unseen_ms, pattern.wait_ms);
        let max = times.max_online(&service(), SLOTS, pattern.slowness, unseen_ms, wait_ms);
        assert_eq!(max, pattern.max_online, "{}", pattern.name);
    }
}

#[test]
fn time_in_the_queue_of_an_endpoint_is_not_taken_for_the_run() {
    let alone = measured(&[(50, 700); 100], 1);
    let queued = measured(&[[(50, 700); 1].as_slice(), &[(425, 700); 100]].concat(), 12);
    let (alone, queued) = (alone.run_ms(&service()), queued.run_ms(&service()));
    assert_eq!(alone, Some(750.0));
    assert!(queued.is_some_and(|ms| ms < 800.0), "{queued:?}");
}

#[test]
fn runs_that_differ_must_begin_sooner() {
    let even = measured(&[(400, 0); 100], 1);
    let uneven: Vec<(u64, u64)> =
        (0..100).map(|i| (if i % 2 == 0 { 200 } else { 600 }, 0)).collect();
    let uneven = measured(&uneven, 1);
    let needed = (even.needed_ms(&service()), uneven.needed_ms(&service()));
    assert!((400..600).contains(&needed.0), "{needed:?}");
    assert!(needed.1 >= 600, "the longest of them end in time: {needed:?}");
    assert_eq!(
        RunTimes::default().needed_ms(&service()),
        0,
        "nothing is known before the first run"
    );
}

#[test]
fn stuck_follows_from_runs_and_from_the_queue() {
    let times = measured(&[(60, 0); 100], 1);
    let stuck = |in_flight| times.stuck_ms(&service(), SLOTS, in_flight, 1.0).unwrap_or(0);
    assert!((100..200).contains(&stuck(1)), "{}", stuck(1));
    assert!(stuck(16) >= stuck(1) + 60, "a request may wait for a full queue to be run");
    assert_eq!(RunTimes::default().stuck_ms(&service(), SLOTS, 1, 1.0), None);
}
