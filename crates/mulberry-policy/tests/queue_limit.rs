//! How many online requests may wait at an endpoint, by measured run times and latency target.

use mulberry_policy::queue_limit::QueueLimits;
use mulberry_policy::queue_limit::retry_after_ms;
use mulberry_protocol::name::ServiceName;

struct LoadPattern {
    name: &'static str,
    /// Time of each run to the first part of its response, and from there to its end, in
    /// milliseconds.
    runs: &'static [(u64, u64)],
    slots: u32,
    target_ms: u64,
    /// Lowest and highest limit of online requests that the case allows.
    max_online: (u32, u32),
}

#[test]
fn queue_is_bounded_by_the_latency_target() {
    let patterns = [
        LoadPattern {
            name: "streams: one request may wait beyond those that run",
            runs: &[(50, 700); 40],
            slots: 8,
            target_ms: 300,
            max_online: (9, 9),
        },
        LoadPattern {
            name: "overload: a long time to the first part doesn't lengthen the queue",
            runs: &[(50, 700), (900, 700), (900, 700), (1_200, 700), (60, 700), (1_500, 700)],
            slots: 8,
            target_ms: 300,
            max_online: (9, 10),
        },
        LoadPattern {
            name: "short calls without a stream: many may wait",
            runs: &[(20, 0); 40],
            slots: 6,
            target_ms: 100,
            max_online: (20, 30),
        },
        LoadPattern {
            name: "endpoints too slow for the target: none may wait",
            runs: &[(400, 2_000); 40],
            slots: 8,
            target_ms: 300,
            max_online: (8, 8),
        },
        LoadPattern {
            name: "no run measured yet: no limit",
            runs: &[],
            slots: 8,
            target_ms: 300,
            max_online: (u32::MAX, u32::MAX),
        },
    ];
    for pattern in patterns {
        let service = ServiceName::new("captions");
        let mut limits = QueueLimits::default();
        for (first, rest) in pattern.runs {
            limits.record_run(&service, *first, *rest);
        }
        let max = limits.max_online(&service, pattern.slots, pattern.target_ms);
        let (lowest, highest) = pattern.max_online;
        assert!((lowest..=highest).contains(&max), "{}: {max}", pattern.name);
    }
}

#[test]
fn retries_of_refused_callers_are_spread() {
    assert!(retry_after_ms(0.0) >= 100);
    assert!(retry_after_ms(0.99) > retry_after_ms(0.0) + 1_000);
}
