//! Who waits and who is refused, by load pattern.

use mulberry_policy::queue_limit::QueueLimits;
use mulberry_policy::queue_limit::retry_after_ms;
use mulberry_protocol::name::ServiceName;

struct Pattern {
    name: &'static str,
    /// Time to the first part and from there to the end of each run, in milliseconds.
    runs: &'static [(u64, u64)],
    slots: u32,
    target_ms: u64,
    returned: bool,
    /// Least and most online requests at an endpoint.
    max_online: (u32, u32),
}

#[test]
fn load_patterns() {
    let patterns = [
        Pattern {
            name: "streams at rest: one more than run may wait",
            runs: &[(50, 700); 40],
            slots: 8,
            target_ms: 300,
            returned: false,
            max_online: (9, 9),
        },
        Pattern {
            name: "overload: long waits until the first part don't widen the queue",
            runs: &[(50, 700), (900, 700), (900, 700), (1_200, 700), (60, 700), (1_500, 700)],
            slots: 8,
            target_ms: 300,
            returned: false,
            max_online: (9, 10),
        },
        Pattern {
            name: "overload: who came back goes before the others, and is still on time",
            runs: &[(50, 700); 40],
            slots: 8,
            target_ms: 300,
            returned: true,
            max_online: (10, 10),
        },
        Pattern {
            name: "short plain calls: many may wait",
            runs: &[(20, 0); 40],
            slots: 6,
            target_ms: 100,
            returned: false,
            max_online: (20, 30),
        },
        Pattern {
            name: "endpoints too slow for the target: none waits",
            runs: &[(400, 2_000); 40],
            slots: 8,
            target_ms: 300,
            returned: false,
            max_online: (8, 8),
        },
        Pattern {
            name: "nothing known yet: nobody is refused",
            runs: &[],
            slots: 8,
            target_ms: 300,
            returned: false,
            max_online: (u32::MAX, u32::MAX),
        },
    ];
    for pattern in patterns {
        let service = ServiceName::new("captions");
        let mut limits = QueueLimits::default();
        for (first, rest) in pattern.runs {
            limits.note_run(&service, *first, *rest);
        }
        let max = limits.max_online(&service, pattern.slots, pattern.target_ms, pattern.returned);
        let (least, most) = pattern.max_online;
        assert!((least..=most).contains(&max), "{}: {max}", pattern.name);
    }
}

#[test]
fn callers_that_came_back_are_known_by_their_deadline() {
    let mut limits = QueueLimits::default();
    assert!(!limits.detect_retry("r", 5_000));
    assert!(!limits.detect_retry("r", 4_990), "a little less is the way here");
    assert!(limits.detect_retry("r", 3_300));
    assert!(!limits.detect_retry("other", 600), "each route has its own");
}

#[test]
fn refused_callers_come_back_spread() {
    assert!(retry_after_ms(0.0) >= 100);
    assert!(retry_after_ms(0.99) > retry_after_ms(0.0) + 1_000);
}
