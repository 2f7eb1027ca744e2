//! What convicts a request at one process, and when it may run on trial.

use crate::POISON;
use crate::SOUND;
use crate::break_run;
use crate::complete;
use crate::crash;
use crate::entry_name;
use crate::permission;
use crate::told;
use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::MAX_TRIALS;
use mulberry_policy::crash_suspects::Permission;
use mulberry_policy::crash_suspects::SuspectSender;
use mulberry_protocol::time::Millis;

/// One thing that happens to a request at a process; times in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An endpoint that has not broken before crashes at this time, under a run that was sent at the
    /// other.
    Crash { sent: u64, at: u64 },
    /// The same for one and the same endpoint.
    SameCrash { sent: u64, at: u64 },
    /// The same endpoint only ends the connection.
    SameEnd { sent: u64, at: u64 },
    /// An endpoint that has not broken before only ends the connection.
    End { sent: u64, at: u64 },
    /// An endpoint that has not broken before only falls silent.
    Silence { sent: u64, at: u64 },
    /// A peer says at this time that it saw these endpoints crash at the other.
    Report { peer: usize, endpoints: &'static [u32], seen: u64, at: u64 },
    /// A peer says at this time that the request is convicted.
    Conviction { at: u64 },
    /// A run of the request completes at this time.
    Completion { at: u64 },
    /// A run of another request of the service completes at this time.
    SoundCompletion { at: u64 },
    /// The last trial is claimed at this time.
    LastTrial { at: u64 },
}

/// Whether the request may run after all steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Free,
    Trial,
    Refused,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    expected: Expected,
}

const CASES: &[Case] = &[
    Case {
        name: "three crashes one after the other while others complete",
        steps: &[
            Step::Crash { sent: 0, at: 10 },
            Step::Crash { sent: 10, at: 20 },
            Step::SoundCompletion { at: 25 },
            Step::Crash { sent: 20, at: 30 },
            Step::SoundCompletion { at: 40 },
        ],
        expected: Expected::Refused,
    },
    Case {
        name: "three crashes while nothing else completes",
        steps: &[
            Step::Crash { sent: 0, at: 10 },
            Step::Crash { sent: 10, at: 20 },
            Step::Crash { sent: 20, at: 30 },
        ],
        expected: Expected::Refused,
    },
    Case {
        name: "three crashes while nothing else completes, until the service works again",
        steps: &[
            Step::Crash { sent: 0, at: 10 },
            Step::Crash { sent: 10, at: 20 },
            Step::Crash { sent: 20, at: 30 },
            Step::SoundCompletion { at: 4_000 },
        ],
        expected: Expected::Trial,
    },
    Case {
        name: "the same after all trials",
        steps: &[
            Step::Crash { sent: 0, at: 10 },
            Step::Crash { sent: 10, at: 20 },
            Step::Crash { sent: 20, at: 30 },
            Step::LastTrial { at: 1_000 },
            Step::SoundCompletion { at: 4_000 },
        ],
        expected: Expected::Refused,
    },
    Case {
        name: "two crashes",
        steps: &[Step::Crash { sent: 0, at: 10 }, Step::Crash { sent: 10, at: 20 }],
        expected: Expected::Free,
    },
    // Guards against convicting requests that are often sent, since one endpoint's link was broken.
    Case {
        name: "one endpoint breaks whatever it is sent for almost two seconds",
        steps: &[
            Step::SameEnd { sent: 0, at: 10 },
            Step::SameEnd { sent: 20, at: 30 },
            Step::SameEnd { sent: 500, at: 510 },
            Step::SameEnd { sent: 1_900, at: 1_910 },
        ],
        expected: Expected::Free,
    },
    // Guards against missing the crashes of an endpoint that is back soon.
    Case {
        name: "one endpoint accepts the request and refuses connections after it, three times",
        steps: &[
            Step::SameCrash { sent: 0, at: 10 },
            Step::SameCrash { sent: 420, at: 430 },
            Step::SameCrash { sent: 840, at: 850 },
            Step::SoundCompletion { at: 860 },
            Step::LastTrial { at: 870 },
        ],
        expected: Expected::Refused,
    },
    // Guards against convicting requests whose responses were spoilt three times in a row.
    Case {
        name: "three endpoints end the connection, and the service lives on",
        steps: &[
            Step::End { sent: 0, at: 10 },
            Step::End { sent: 10, at: 20 },
            Step::SoundCompletion { at: 25 },
            Step::End { sent: 20, at: 30 },
            Step::SoundCompletion { at: 40 },
        ],
        expected: Expected::Trial,
    },
    Case {
        name: "three endpoints end the connection just now",
        steps: &[
            Step::End { sent: 3_500, at: 3_510 },
            Step::End { sent: 3_510, at: 3_520 },
            Step::End { sent: 3_520, at: 3_530 },
        ],
        expected: Expected::Free,
    },
    Case {
        name: "six endpoints end the connection just now",
        steps: &[
            Step::End { sent: 4_500, at: 4_510 },
            Step::End { sent: 4_510, at: 4_520 },
            Step::End { sent: 4_520, at: 4_530 },
            Step::End { sent: 4_530, at: 4_540 },
            Step::End { sent: 4_550, at: 4_560 },
            Step::End { sent: 4_570, at: 4_580 },
        ],
        expected: Expected::Refused,
    },
    Case {
        name: "three endpoints fall silent",
        steps: &[
            Step::Silence { sent: 0, at: 300 },
            Step::Silence { sent: 300, at: 600 },
            Step::Silence { sent: 600, at: 900 },
        ],
        expected: Expected::Refused,
    },
    Case {
        name: "copies of the request at one endpoint that crashes",
        steps: &[
            Step::SameCrash { sent: 0, at: 100 },
            Step::SameCrash { sent: 5, at: 101 },
            Step::SameCrash { sent: 90, at: 101 },
            Step::SameCrash { sent: 99, at: 102 },
        ],
        expected: Expected::Free,
    },
    Case {
        name: "every process tells of the same crash",
        steps: &[
            Step::SameCrash { sent: 0, at: 100 },
            Step::Report { peer: 1, endpoints: &[0], seen: 100, at: 150 },
            Step::Report { peer: 2, endpoints: &[0], seen: 100, at: 180 },
            Step::Report { peer: 3, endpoints: &[0], seen: 100, at: 1_200 },
        ],
        expected: Expected::Free,
    },
    Case {
        name: "a completed run in between",
        steps: &[
            Step::Crash { sent: 0, at: 10 },
            Step::Crash { sent: 10, at: 20 },
            Step::Completion { at: 25 },
            Step::Crash { sent: 30, at: 40 },
            Step::Crash { sent: 40, at: 50 },
        ],
        expected: Expected::Free,
    },
    Case {
        name: "a report that is repeated counts once",
        steps: &[
            Step::Report { peer: 1, endpoints: &[7], seen: 0, at: 0 },
            Step::Report { peer: 1, endpoints: &[7], seen: 0, at: 1_000 },
            Step::Report { peer: 1, endpoints: &[7], seen: 0, at: 2_000 },
            Step::Crash { sent: 2_500, at: 3_000 },
        ],
        expected: Expected::Free,
    },
    Case {
        name: "one peer alone",
        steps: &[Step::Report { peer: 1, endpoints: &[7, 8, 9], seen: 0, at: 0 }],
        expected: Expected::Refused,
    },
    Case {
        name: "two peers, and a crash seen here",
        steps: &[
            Step::Report { peer: 1, endpoints: &[7], seen: 0, at: 0 },
            Step::Report { peer: 2, endpoints: &[8], seen: 10, at: 10 },
            Step::Crash { sent: 500, at: 600 },
        ],
        expected: Expected::Refused,
    },
    Case {
        name: "three peers, one after the other",
        steps: &[
            Step::Report { peer: 1, endpoints: &[7], seen: 0, at: 0 },
            Step::Report { peer: 2, endpoints: &[8], seen: 500, at: 500 },
            Step::Report { peer: 3, endpoints: &[9], seen: 1_000, at: 1_000 },
        ],
        expected: Expected::Refused,
    },
    Case {
        name: "convicted by others",
        steps: &[Step::Conviction { at: 0 }, Step::LastTrial { at: 10 }],
        expected: Expected::Refused,
    },
    Case {
        name: "convicted by others, who don't know that it has just completed",
        steps: &[
            Step::Report { peer: 1, endpoints: &[7, 8, 9], seen: 0, at: 0 },
            Step::Completion { at: 1_000 },
            Step::Conviction { at: 1_100 },
        ],
        expected: Expected::Free,
    },
];

/// Time after all steps, in milliseconds.
const LAST_STEP_MS: u64 = 5_000;

#[test]
fn crashes_convict_as_the_table_says() {
    for case in CASES {
        let mut suspects = CrashSuspects::default();
        let mut next_endpoint = 100;
        for step in case.steps {
            next_endpoint += 1;
            let run = (POISON, next_endpoint);
            match *step {
                Step::Crash { sent, at } => crash(&mut suspects, POISON, next_endpoint, sent, at),
                Step::SameCrash { sent, at } => crash(&mut suspects, POISON, 0, sent, at),
                Step::SameEnd { sent, at } => {
                    break_run(&mut suspects, (POISON, 0), CrashEvidence::Ended, sent, at);
                }
                Step::End { sent, at } => {
                    break_run(&mut suspects, run, CrashEvidence::Ended, sent, at);
                }
                Step::Silence { sent, at } => {
                    break_run(&mut suspects, run, CrashEvidence::Silent, sent, at);
                }
                Step::Report { peer, endpoints, seen, at } => {
                    let head =
                        SuspectSender { name: entry_name(peer), incarnation: 1, sequence: at + 1 };
                    suspects.merge(
                        &head,
                        &[told(endpoints, (at - seen) as u32, false)],
                        Millis(at),
                    );
                }
                Step::Conviction { at } => {
                    let head =
                        SuspectSender { name: entry_name(9), incarnation: 1, sequence: at + 1 };
                    suspects.merge(&head, &[told(&[], 0, true)], Millis(at));
                }
                Step::Completion { at } => complete(&mut suspects, POISON, next_endpoint, at),
                Step::SoundCompletion { at } => complete(&mut suspects, SOUND, next_endpoint, at),
                Step::LastTrial { at } => suspects.begin_trial(POISON, MAX_TRIALS, Millis(at)),
            }
        }
        let seen = match permission(&suspects, POISON, LAST_STEP_MS) {
            Permission::Run => Expected::Free,
            Permission::Trial => Expected::Trial,
            Permission::Refuse { .. } => Expected::Refused,
        };
        assert_eq!(seen, case.expected, "{}", case.name);
    }
}
