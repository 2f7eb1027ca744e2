//! Waits for answers of a store that is quick, slow, lossy or silent.

use mulberry_policy::adaptive_timeout::AdaptiveTimeout;

struct Pattern {
    name: &'static str,
    /// Time that each answer takes, none if it is lost.
    answers: &'static [Option<u64>],
    /// Most calls given up although their answer would have come.
    given_up: usize,
    /// Wait at the end, at least and at most.
    wait_ms: (u64, u64),
}

#[test]
fn waits() {
    let patterns = [
        Pattern { name: "quick", answers: &[Some(4); 20], given_up: 0, wait_ms: (120, 125) },
        Pattern {
            name: "lossy: one in three is lost, and the wait stays short",
            answers: &[
                Some(4),
                None,
                Some(4),
                Some(4),
                None,
                Some(4),
                Some(4),
                None,
                Some(4),
                Some(4),
                None,
                Some(4),
            ],
            given_up: 0,
            wait_ms: (120, 240),
        },
        Pattern {
            name: "turned slow: few are given up until the wait is long enough",
            answers: &[Some(4), Some(4), Some(250), Some(250), Some(250), Some(250)],
            given_up: 2,
            wait_ms: (1_200, 1_300),
        },
        Pattern { name: "silent", answers: &[None; 9], given_up: 0, wait_ms: (1_500, 1_500) },
    ];
    for pattern in patterns {
        let mut patience = AdaptiveTimeout::default();
        let mut given_up = 0;
        for answer in pattern.answers {
            match answer {
                Some(span_ms) if *span_ms <= patience.timeout_ms() => {
                    patience.note_answer(*span_ms)
                }
                Some(_) => {
                    given_up += 1;
                    patience.note_timeout();
                }
                None => patience.note_timeout(),
            }
        }
        assert!(given_up <= pattern.given_up, "{}: {given_up}", pattern.name);
        let (least, most) = pattern.wait_ms;
        let wait = patience.timeout_ms();
        assert!((least..=most).contains(&wait), "{}: {wait}", pattern.name);
    }
}
