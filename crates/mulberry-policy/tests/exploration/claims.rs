//! Model of two entries that claim the same idempotency key, whose request may run at most once.

use mulberry_policy::claims::ClaimDecision;
use mulberry_policy::claims::ClaimReply;
use mulberry_policy::claims::decide_claim;
use mulberry_protocol::claim::Claim;
use mulberry_protocol::claim::ClaimState;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::explore;

#[derive(Debug, Clone)]
struct ClaimModel {
    claim: Option<(Claim, u64)>,
    version: u64,
    runs: u32,
    entries: [EntryState; 2],
    /// Number of responses that may still be lost.
    losses_left: u32,
    /// Whether the entries obey a refusal; if not, the model must find a fault.
    obeys_refusals: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum EntryState {
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

fn claim_steps(model: &ClaimModel) -> Vec<ClaimModel> {
    let mut next = Vec::new();
    for entry in 0..2 {
        let mut step = model.clone();
        match model.entries[entry] {
            EntryState::Idle => {
                step.entries[entry] = EntryState::Claiming;
                next.push(step);
            }
            EntryState::Claiming => next.extend(claim(model, entry, None)),
            EntryState::TakingOver(version) => next.extend(claim(model, entry, Some(version))),
            EntryState::Running(version) => {
                // The endpoint runs the request or refuses it as not run, or the entry crashes.
                let mut ran = model.clone();
                ran.runs += 1;
                record(&mut ran, entry, version, answered());
                next.push(ran);
                let mut refused = model.clone();
                record(&mut refused, entry, version, ClaimState::Released);
                next.push(refused);
                let mut crashed = model.clone();
                crashed.runs += 1;
                crashed.entries[entry] = EntryState::Ended("crashed");
                next.push(crashed);
            }
            EntryState::Ended(_) => {}
        }
    }
    next
}

fn answered() -> ClaimState {
    ClaimState::Answered { status: 200, content_type: String::new(), body: String::new() }
}

fn record(model: &mut ClaimModel, entry: usize, version: u64, state: ClaimState) {
    model.entries[entry] = EntryState::Ended("done");
    if model.claim.as_ref().is_some_and(|(_, v)| *v == version) {
        model.version += 1;
        model.claim = Some((claim_of(entry, state), model.version));
    }
}

/// Creates the claim, or takes over a released one of version `expected`. The response may be lost.
fn claim(model: &ClaimModel, entry: usize, expected: Option<u64>) -> Vec<ClaimModel> {
    let mut done = model.clone();
    let found = model.claim.as_ref().map(|(_, version)| *version);
    if found == expected {
        done.version += 1;
        done.claim = Some((claim_of(entry, ClaimState::Started), done.version));
    }
    let reply = match (&model.claim, found == expected) {
        (_, true) => ClaimReply::Created { version: done.version },
        (Some((claim, version)), false) => {
            ClaimReply::Exists { claim: claim.clone(), version: *version }
        }
        (None, false) => ClaimReply::NoResponse,
    };
    let mut next = vec![apply_reply(done.clone(), entry, reply)];
    if model.losses_left > 0 {
        // The response is lost. Reading the claim back shows its state, or gets no response either.
        done.losses_left -= 1;
        let (claim, version) = done.claim.clone().unwrap();
        next.push(apply_reply(done.clone(), entry, ClaimReply::Exists { claim, version }));
        next.push(apply_reply(done, entry, ClaimReply::NoResponse));
    }
    next
}

fn apply_reply(mut model: ClaimModel, entry: usize, reply: ClaimReply) -> ClaimModel {
    let decision = decide_claim(&Digest::of(b"gift"), entry as u64 + 1, reply);
    model.entries[entry] = match decision {
        ClaimDecision::Dispatch { version } => EntryState::Running(version),
        ClaimDecision::TakeOver { version } => EntryState::TakingOver(version),
        ClaimDecision::Replay { .. } => EntryState::Ended("replayed"),
        // A faulty entry dispatches although it holds no claim.
        ClaimDecision::Refuse(_) if !model.obeys_refusals => EntryState::Running(0),
        ClaimDecision::Refuse(_) => EntryState::Ended("refused"),
    };
    model
}

fn new_claim_model(obeys_refusals: bool) -> ClaimModel {
    let entries = [EntryState::Idle, EntryState::Idle];
    ClaimModel { claim: None, version: 0, runs: 0, entries, losses_left: 2, obeys_refusals }
}

fn ran_twice(model: &ClaimModel) -> Option<&'static str> {
    (model.runs > 1).then_some("a claimed request ran twice")
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    let (states, problem) = explore(new_claim_model(true), claim_steps, ran_twice);
    assert_eq!(problem, None);
    assert!(states > 30, "only {states} states");
}

#[test]
fn the_exploration_finds_a_dispatch_without_a_claim() {
    let (_, problem) = explore(new_claim_model(false), claim_steps, ran_twice);
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
fn requests_with_an_existing_claim_are_decided() {
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
        let decision = decide_claim(&Digest::of(case.request), 7, reply);
        let refused = match &decision {
            ClaimDecision::Refuse(refusal) => Some(refusal.reason),
            _ => None,
        };
        assert_eq!(refused, case.refused, "{}: {decision:?}", case.name);
    }
}
