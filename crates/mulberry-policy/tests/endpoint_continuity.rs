//! For how long the process behind the connections to an endpoint is known, and when that is enough.

use std::net::SocketAddr;

use mulberry_policy::endpoint_continuity::Continuity;
use mulberry_policy::endpoint_continuity::END_NOTICE_MS;
use mulberry_policy::endpoint_continuity::REGISTRATION_LAG_MS;
use mulberry_policy::endpoint_continuity::certain_in_ms;
use mulberry_protocol::time::Millis;

enum Step {
    Open(u64),
    /// This process closes the connection that was opened at the first time.
    Close(u64),
    /// The endpoint ends the connection that was opened at the first time, at the second.
    End(u64, u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Time of the question.
    at: u64,
    held_ms: Option<u64>,
}

const CASES: &[Case] = &[
    Case { name: "no connection", steps: &[], at: 50, held_ms: None },
    Case {
        name: "the oldest connection counts",
        steps: &[Step::Open(10), Step::Open(500)],
        at: 1_000,
        held_ms: Some(990),
    },
    Case {
        name: "the oldest is closed here",
        steps: &[Step::Open(10), Step::Open(500), Step::Close(10)],
        at: 1_000,
        held_ms: Some(500),
    },
    Case {
        name: "a connection has just ended: the others may only look open",
        steps: &[Step::Open(10), Step::Open(20), Step::End(20, 990)],
        at: 1_000,
        held_ms: Some(10),
    },
    Case {
        name: "another one outlived it: the process goes on",
        steps: &[Step::Open(10), Step::Open(20), Step::End(20, 500)],
        at: 500 + END_NOTICE_MS,
        held_ms: Some(590),
    },
    Case {
        name: "a restart ends them all, and a new connection begins anew",
        steps: &[
            Step::Open(10),
            Step::Open(20),
            Step::End(10, 900),
            Step::End(20, 901),
            Step::Open(950),
        ],
        at: 1_000,
        held_ms: Some(50),
    },
    Case {
        name: "a restart that is seen late, after a new connection",
        steps: &[Step::Open(10), Step::Open(950), Step::End(10, 960)],
        at: 2_000,
        held_ms: Some(1_050),
    },
];

#[test]
fn process_is_known_for_as_long_as_a_connection_is_held() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    for case in CASES {
        let mut continuity = Continuity::default();
        for step in case.steps {
            match *step {
                Step::Open(at) => continuity.record_opened(address, Millis(at)),
                Step::Close(opened) => continuity.record_closed(address, Millis(opened)),
                Step::End(opened, at) => {
                    continuity.record_ended(address, Millis(opened), Millis(at))
                }
            }
        }
        assert_eq!(continuity.held_ms(address, Millis(case.at)), case.held_ms, "{}", case.name);
    }
}

/// Guards against ORDER of issue 23, second matter: an endpoint that is back as another version before
/// its registration is known must not be taken for the one that is registered.
#[test]
fn version_is_certain_only_after_a_registration_would_have_arrived() {
    assert_eq!(certain_in_ms(0, 0), REGISTRATION_LAG_MS);
    assert_eq!(certain_in_ms(REGISTRATION_LAG_MS, 0), 0);
    assert_eq!(certain_in_ms(REGISTRATION_LAG_MS, 300), 300, "the store has been away for 300 ms");
    assert_eq!(certain_in_ms(REGISTRATION_LAG_MS + 300, 300), 0, "held since before it was away");
}
