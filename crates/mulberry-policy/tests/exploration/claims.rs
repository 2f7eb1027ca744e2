//! Claims of requests that may run at most once.

use mulberry_policy::claims::ClaimReply;
use mulberry_policy::claims::ClaimVerdict;
use mulberry_policy::claims::decide_claim;
use mulberry_protocol::claim::Claim;
use mulberry_protocol::claim::ClaimState;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::explore;

#[derive(Debug, Clone)]
struct ClaimWorld {
    claim: Option<(Claim, u64)>,
    version: u64,
    runs: u32,
    entries: [ClaimStep; 2],
    losses_left: u32,
    honest: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum ClaimStep {
    Idle,
    Claiming,
    TakingOver(u64),
    Running(u64),
    Ended(&'static str),
}

fn claim_of(entry: usize, state: ClaimState) -> Claim {
    let holder = format!("entry-{entry}");
    Claim {
        request: Digest::of(b"gift"),
        holder: holder.as_str().into(),
        attempt: entry as u64 + 1,
        state,
    }
}

fn claim_steps(world: &ClaimWorld) -> Vec<ClaimWorld> {
    let mut next = Vec::new();
    for entry in 0..2 {
        let mut step = world.clone();
        match world.entries[entry] {
            ClaimStep::Idle => {
                step.entries[entry] = ClaimStep::Claiming;
                next.push(step);
            }
            ClaimStep::Claiming => next.extend(claim(world, entry, None)),
            ClaimStep::TakingOver(version) => next.extend(claim(world, entry, Some(version))),
            ClaimStep::Running(version) => {
                // The endpoint runs it, or refuses it as not run, or the entry dies.
                let mut ran = world.clone();
                ran.runs += 1;
                record(&mut ran, entry, version, answered());
                next.push(ran);
                let mut refused = world.clone();
                record(&mut refused, entry, version, ClaimState::Released);
                next.push(refused);
                let mut died = world.clone();
                died.runs += 1;
                died.entries[entry] = ClaimStep::Ended("died");
                next.push(died);
            }
            ClaimStep::Ended(_) => {}
        }
    }
    next
}

fn answered() -> ClaimState {
    ClaimState::Answered { status: 200, content_type: String::new(), body: String::new() }
}

fn record(world: &mut ClaimWorld, entry: usize, version: u64, state: ClaimState) {
    world.entries[entry] = ClaimStep::Ended("done");
    if world.claim.as_ref().is_some_and(|(_, v)| *v == version) {
        world.version += 1;
        world.claim = Some((claim_of(entry, state), world.version));
    }
}

/// Creates the claim, or takes over a released one at `expected`; the answer may be lost.
fn claim(world: &ClaimWorld, entry: usize, expected: Option<u64>) -> Vec<ClaimWorld> {
    let mut done = world.clone();
    let found = world.claim.as_ref().map(|(_, version)| *version);
    if found == expected {
        done.version += 1;
        done.claim = Some((claim_of(entry, ClaimState::Started), done.version));
    }
    let reply = match (&world.claim, found == expected) {
        (_, true) => ClaimReply::Created { version: done.version },
        (Some((claim, version)), false) => {
            ClaimReply::Exists { claim: claim.clone(), version: *version }
        }
        (None, false) => ClaimReply::NoAnswer,
    };
    let mut next = vec![decide(done.clone(), entry, reply)];
    if world.losses_left > 0 {
        // The answer is lost. Reading back shows the claim as it is, or gives no answer either.
        done.losses_left -= 1;
        let (claim, version) = done.claim.clone().unwrap();
        next.push(decide(done.clone(), entry, ClaimReply::Exists { claim, version }));
        next.push(decide(done, entry, ClaimReply::NoAnswer));
    }
    next
}

fn decide(mut world: ClaimWorld, entry: usize, reply: ClaimReply) -> ClaimWorld {
    let verdict = decide_claim(&Digest::of(b"gift"), entry as u64 + 1, reply);
    world.entries[entry] = match verdict {
        ClaimVerdict::Dispatch { version } => ClaimStep::Running(version),
        ClaimVerdict::TakeOver { version } => ClaimStep::TakingOver(version),
        ClaimVerdict::Replay { .. } => ClaimStep::Ended("replayed"),
        // A dishonest entry dispatches although it holds no claim.
        ClaimVerdict::Refuse(_) if !world.honest => ClaimStep::Running(0),
        ClaimVerdict::Refuse(_) => ClaimStep::Ended("refused"),
    };
    world
}

fn new_claim_world(honest: bool) -> ClaimWorld {
    let entries = [ClaimStep::Idle, ClaimStep::Idle];
    ClaimWorld { claim: None, version: 0, runs: 0, entries, losses_left: 2, honest }
}

fn ran_twice(world: &ClaimWorld) -> Option<&'static str> {
    (world.runs > 1).then_some("a claimed request ran twice")
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    let (states, problem) = explore(new_claim_world(true), claim_steps, ran_twice);
    assert_eq!(problem, None);
    assert!(states > 30, "only {states} states");
}

#[test]
fn dispatch_without_a_claim_is_found() {
    let (_, problem) = explore(new_claim_world(false), claim_steps, ran_twice);
    assert_eq!(problem, Some("a claimed request ran twice"));
}

struct ClaimCase {
    name: &'static str,
    state: ClaimState,
    attempt: u64,
    request: &'static [u8],
    refused: Option<RefusalReason>,
}

#[test]
fn existing_claims_are_judged() {
    let lost = Refusal::unknown(RefusalReason::LinkFailed, "cut");
    let cases = [
        ClaimCase {
            name: "own",
            state: ClaimState::Started,
            attempt: 7,
            request: b"gift",
            refused: None,
        },
        ClaimCase {
            name: "running",
            state: ClaimState::Started,
            attempt: 8,
            request: b"gift",
            refused: Some(RefusalReason::ClaimHeld),
        },
        ClaimCase {
            name: "answered",
            state: answered(),
            attempt: 8,
            request: b"gift",
            refused: None,
        },
        ClaimCase {
            name: "other request",
            state: answered(),
            attempt: 8,
            request: b"other",
            refused: Some(RefusalReason::Conflict),
        },
        ClaimCase {
            name: "lost",
            state: ClaimState::Lost { refusal: lost },
            attempt: 8,
            request: b"gift",
            refused: Some(RefusalReason::LinkFailed),
        },
    ];
    for case in cases {
        let claim = Claim { attempt: case.attempt, ..claim_of(0, case.state) };
        let reply = ClaimReply::Exists { claim, version: 3 };
        let verdict = decide_claim(&Digest::of(case.request), 7, reply);
        let refused = match &verdict {
            ClaimVerdict::Refuse(refusal) => Some(refusal.reason),
            _ => None,
        };
        assert_eq!(refused, case.refused, "{}: {verdict:?}", case.name);
    }
}
