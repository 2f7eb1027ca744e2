//! Tests of telling slow endpoints from those that have crashed without ending their connections.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mulberry_direct::silence::SilenceLog;

/// A run that is abandoned; times in milliseconds.
struct Case {
    name: &'static str,
    /// When the endpoint sent something.
    heard: &'static [u64],
    sent: u64,
    abandoned: u64,
    /// The silence that counts.
    silence: u64,
}

const CASES: &[Case] = &[
    Case { name: "never heard", heard: &[], sent: 100, abandoned: 400, silence: 300 },
    Case { name: "heard before only", heard: &[50], sent: 100, abandoned: 400, silence: 300 },
    Case {
        name: "slow, but serves others",
        heard: &[50, 150, 250, 350],
        sent: 100,
        abandoned: 400,
        silence: 50,
    },
    // Guards against BUDGET: such a crash was not seen, since the endpoint served others again.
    Case {
        name: "silent for a while, then back for others",
        heard: &[50, 110, 2_800, 2_850, 2_900, 2_950],
        sent: 100,
        abandoned: 3_000,
        silence: 2_690,
    },
    Case {
        name: "a pause before the run",
        heard: &[50, 2_800, 2_900],
        sent: 2_850,
        abandoned: 3_000,
        silence: 100,
    },
    Case {
        name: "a short pause between others",
        heard: &[50, 800, 2_900],
        sent: 2_200,
        abandoned: 3_000,
        silence: 100,
    },
];

#[test]
fn silence_is_that_of_the_endpoint_not_of_the_run() {
    let start = Instant::now() + Duration::from_secs(3_600);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    for case in CASES {
        let mut log = SilenceLog::default();
        case.heard.iter().for_each(|ms| log.record_heard(address, at(*ms)));
        let silence = log.silence(address, at(case.sent), at(case.abandoned));
        assert_eq!(silence, Duration::from_millis(case.silence), "{}", case.name);
    }
}
