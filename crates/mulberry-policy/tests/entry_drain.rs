//! The stop of an entry, step by step.

use mulberry_policy::entry_drain::DrainPhase;
use mulberry_policy::entry_drain::EntryDrain;
use mulberry_protocol::time::Millis;

const STOPPED_AT: Millis = Millis(50_000);

/// Time from the stop signal until the process is killed, in milliseconds.
const GRACE_MS: u64 = 8_000;

/// Interval at which the entry looks, in milliseconds.
const STEP_MS: u64 = 50;

/// Returns whether a request that comes so long after the stop signal, with so much time, is taken while
/// another one is in progress.
fn is_taken(sent_ms: u64, time_ms: u64) -> bool {
    let mut drain = EntryDrain::begin(STOPPED_AT, GRACE_MS);
    for elapsed_ms in (0..=sent_ms).step_by(STEP_MS as usize) {
        drain.advance(1, STOPPED_AT + elapsed_ms);
    }
    drain.takes_until().is_some_and(|until| STOPPED_AT + (sent_ms + time_ms) <= until)
}

/// Guards against LOST of issue 48: whatever is taken has its own end before the connections close, whenever
/// it comes and however long it may take.
#[test]
fn whatever_is_taken_can_end_before_the_connections_close() {
    for sent_ms in (0..GRACE_MS).step_by(STEP_MS as usize) {
        for time_ms in [50, 200, 800, 2_500, 5_000, 15_000, 60_000] {
            if !is_taken(sent_ms, time_ms) {
                continue;
            }
            let mut drain = EntryDrain::begin(STOPPED_AT, GRACE_MS);
            for elapsed_ms in (0..=sent_ms + time_ms).step_by(STEP_MS as usize) {
                let phase = drain.advance(1, STOPPED_AT + elapsed_ms);
                assert_eq!(phase, DrainPhase::Open, "{sent_ms}, {time_ms}: at {elapsed_ms} ms");
            }
        }
    }
}

struct Case {
    name: &'static str,
    sent_ms: u64,
    time_ms: u64,
    is_taken: bool,
}

/// A request is refused for what it may take, not for when it comes.
#[test]
fn request_is_taken_by_its_own_time() {
    let cases = [
        Case { name: "long, at once", sent_ms: 0, time_ms: 5_000, is_taken: true },
        Case { name: "long, late", sent_ms: 3_400, time_ms: 5_000, is_taken: false },
        Case { name: "longer than the grace period", sent_ms: 0, time_ms: 9_000, is_taken: false },
        Case { name: "short, late", sent_ms: 6_000, time_ms: 800, is_taken: true },
        Case { name: "short, too late", sent_ms: 7_000, time_ms: 800, is_taken: false },
    ];
    for case in cases {
        assert_eq!(is_taken(case.sent_ms, case.time_ms), case.is_taken, "{}", case.name);
    }
}

/// Guards against LOST of the review: the entry closed in the moment in which a request came in, between the
/// last look at those in progress and the end.
#[test]
fn entry_refuses_all_requests_before_it_looks_for_the_last_time() {
    let mut drain = EntryDrain::begin(STOPPED_AT, GRACE_MS);
    let mut phases = Vec::new();
    let mut elapsed_ms = 0;
    while phases.last() != Some(&DrainPhase::Closed) {
        elapsed_ms += STEP_MS;
        // A request comes in just when the entry begins to refuse, and is counted only then.
        let is_late = phases.last() == Some(&DrainPhase::Closing) && phases.len() < 70;
        let phase = drain.advance(u64::from(is_late), STOPPED_AT + elapsed_ms);
        assert_eq!(drain.takes_until().is_none(), phase != DrainPhase::Open);
        phases.push(phase);
    }
    let closing = phases.iter().filter(|phase| **phase == DrainPhase::Closing).count();
    assert!(closing > 1, "it waited for the request: {closing}");
    assert!(elapsed_ms < GRACE_MS);
}

/// The entry closes before it is killed, whatever is still in progress, also with a grace period that is
/// shorter than the margins.
#[test]
fn entry_closes_before_it_is_killed() {
    for grace_ms in [0, 100, 500, 3_000, GRACE_MS] {
        let mut drain = EntryDrain::begin(STOPPED_AT, grace_ms);
        let phase = drain.advance(7, STOPPED_AT + grace_ms);
        assert_eq!(phase, DrainPhase::Closed, "{grace_ms}");
        assert_eq!(drain.takes_until(), None, "{grace_ms}");
    }
}

/// New callers are served until the load balancer has noticed, though nothing is in progress.
#[test]
fn idle_entry_stays_open_until_no_new_callers_come() {
    let mut drain = EntryDrain::begin(STOPPED_AT, GRACE_MS);
    assert_eq!(drain.advance(0, STOPPED_AT + 3_000), DrainPhase::Open);
    assert_eq!(drain.advance(0, STOPPED_AT + 3_200), DrainPhase::Closing);
    assert_eq!(drain.advance(0, STOPPED_AT + 3_250), DrainPhase::Closed);
}
