//! Timeouts of calls to a store that is fast, becomes slow, loses responses or does not answer.

use mulberry_policy::adaptive_timeout::AdaptiveTimeout;

struct StorePattern {
    name: &'static str,
    /// Time that each response takes in milliseconds, or none if it is lost.
    responses: &'static [Option<u64>],
    /// Most calls that may time out although their response would have come.
    premature_timeouts: usize,
    /// Lowest and highest timeout allowed at the end, in milliseconds.
    timeout_ms: (u64, u64),
}

#[test]
fn timeout_follows_the_latency() {
    let patterns = [
        StorePattern {
            name: "fast",
            responses: &[Some(4); 20],
            premature_timeouts: 0,
            timeout_ms: (120, 125),
        },
        StorePattern {
            name: "lossy: one in three responses is lost, and the timeout stays short",
            responses: &[
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
            premature_timeouts: 0,
            timeout_ms: (120, 240),
        },
        StorePattern {
            name: "becomes slow: few calls time out until the timeout is long enough",
            responses: &[Some(4), Some(4), Some(250), Some(250), Some(250), Some(250)],
            premature_timeouts: 2,
            timeout_ms: (1_200, 1_300),
        },
        StorePattern {
            name: "no responses",
            responses: &[None; 9],
            premature_timeouts: 0,
            timeout_ms: (1_500, 1_500),
        },
    ];
    for pattern in patterns {
        let mut timeout = AdaptiveTimeout::default();
        let mut premature_timeouts = 0;
        for response in pattern.responses {
            match response {
                Some(latency_ms) if *latency_ms <= timeout.timeout_ms() => {
                    timeout.record_response(*latency_ms)
                }
                Some(_) => {
                    premature_timeouts += 1;
                    timeout.record_timeout();
                }
                None => timeout.record_timeout(),
            }
        }
        assert!(
            premature_timeouts <= pattern.premature_timeouts,
            "{}: {premature_timeouts} premature timeouts",
            pattern.name
        );
        let (lowest, highest) = pattern.timeout_ms;
        let timeout_ms = timeout.timeout_ms();
        assert!((lowest..=highest).contains(&timeout_ms), "{}: {timeout_ms} ms", pattern.name);
    }
}
