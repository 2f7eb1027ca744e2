//! Tests of a job's log at its owner: each result is listed once, whichever owner writes it.

use std::sync::Arc;

use mulberry_policy::item_state::ItemPhase;
use mulberry_policy::item_state::Progress;
use mulberry_policy::job_log::JobLog;
use mulberry_policy::job_origin::JobOrigin;
use mulberry_policy::run_outcome::ItemDecision;
use mulberry_policy::run_outcome::RunOutcome;
use mulberry_protocol::batch_job::ItemResult;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::MAX_SEGMENT_BYTES;
use mulberry_protocol::batch_job::ResultState;
use mulberry_protocol::batch_job::Segment;
use mulberry_protocol::job_address::JobAddress;
use mulberry_protocol::job_address::SubmittedPath;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::time::Millis;

fn job(items: usize) -> JobLog {
    let item = |n: usize| JobItem {
        id: Arc::from(format!("i{n}")),
        path: "/p/".into(),
        headers: Vec::new(),
        body: "".into(),
        tokens: 100,
    };
    let origin = JobOrigin {
        route: "r".into(),
        address: JobAddress { host: "h".into(), path: SubmittedPath::Known("/p/".into()) },
        account: None,
        due_at: Millis(18_000),
        now: Millis(0),
    };
    JobLog::new(origin, (0..items).map(item).collect())
}

fn complete(log: &mut JobLog, index: usize, text: &str) {
    if let Some(item) = log.item_mut(index) {
        item.phase = ItemPhase::Running;
        item.progress.push(1, text);
    }
    let decision = log.record_run_outcome(index, RunOutcome::Completed, true, 3, Millis(1));
    assert_eq!(decision, ItemDecision::List);
}

fn result(item: &str, text: &str) -> ItemResult {
    ItemResult { item: item.into(), state: ResultState::Completed, text: text.into() }
}

#[test]
fn results_are_gathered_and_listed_in_order() {
    let mut log = job(3);
    complete(&mut log, 1, "b");
    complete(&mut log, 0, "a");
    let (number, segment) = log.begin_segment().unwrap();
    assert_eq!((number, segment.results.len()), (0, 2));
    complete(&mut log, 2, "c");
    assert!(log.begin_segment().is_none(), "only one segment is written at a time");
    assert!(log.listed().is_empty(), "no result is listed before it is stored");
    log.commit_segment();
    assert_eq!(log.listed(), [result("i1", "b"), result("i0", "a")]);
    assert_eq!(log.begin_segment().map(|(n, s)| (n, s.results.len())), Some((1, 1)));
    log.commit_segment();
    assert!(log.is_settled());
}

#[test]
fn a_segment_of_another_owner_takes_precedence() {
    let mut log = job(3);
    complete(&mut log, 0, "mine");
    complete(&mut log, 1, "mine");
    log.begin_segment();
    log.adopt_segment(Segment { results: vec![result("i0", "theirs")], ..Segment::default() });
    assert_eq!(log.listed(), [result("i0", "theirs")]);
    let (number, segment) = log.begin_segment().unwrap();
    assert_eq!((number, segment.results), (1, vec![result("i1", "mine")]));
}

#[test]
fn an_abandoned_segment_is_written_again_with_later_results() {
    let mut log = job(2);
    complete(&mut log, 0, "a");
    log.begin_segment();
    complete(&mut log, 1, "b");
    log.abandon_segment();
    assert_eq!(log.begin_segment().map(|(n, s)| (n, s.results.len())), Some((0, 2)));
}

#[test]
fn an_empty_segment_takes_a_number_and_lists_nothing() {
    let mut log = job(1);
    log.adopt_segment(Segment::default());
    assert!(log.listed().is_empty() && !log.is_settled());
    complete(&mut log, 0, "a");
    assert_eq!(log.begin_segment().map(|(n, _)| n), Some(1));
}

#[test]
fn a_job_ends_once_its_end_is_stored() {
    let mut log = job(2);
    assert_eq!(log.waiting_tokens(), 200);
    log.request_end();
    assert!(!log.is_ended() && log.is_ending());
    let (_, segment) = log.begin_segment().unwrap();
    assert!(segment.ends && segment.results.is_empty());
    log.commit_segment();
    assert!(log.is_ended() && log.is_settled());
    assert_eq!(log.waiting_tokens(), 0);
}

#[test]
fn an_end_stored_by_an_earlier_owner_is_adopted() {
    let mut log = job(2);
    log.adopt_segment(Segment { ends: true, ..Segment::default() });
    assert!(log.is_ended());
}

#[test]
fn segments_stay_within_the_size_limit() {
    let mut log = job(3);
    let text = "x".repeat(MAX_SEGMENT_BYTES / 2);
    for index in 0..3 {
        complete(&mut log, index, &text);
    }
    assert_eq!(log.begin_segment().map(|(_, s)| s.results.len()), Some(1));
}

struct OutcomeCase {
    name: &'static str,
    outcomes: &'static [RunOutcome],
    expected: ItemDecision,
}

#[test]
fn run_outcomes_decide_what_becomes_of_the_item() {
    let cases = [
        OutcomeCase {
            name: "impossible",
            outcomes: &[RunOutcome::Impossible],
            expected: ItemDecision::GiveUp,
        },
        OutcomeCase {
            name: "failed the allowed number of times",
            outcomes: &[RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Failed],
            expected: ItemDecision::GiveUp,
        },
        OutcomeCase {
            name: "failed less often",
            outcomes: &[RunOutcome::Failed, RunOutcome::Failed],
            expected: ItemDecision::Again(600),
        },
        OutcomeCase {
            name: "broken runs do not count as failures",
            outcomes: &[RunOutcome::Broken; 7],
            expected: ItemDecision::Again(4_000),
        },
        OutcomeCase {
            name: "stopped runs do not count as failures",
            outcomes: &[RunOutcome::Stopped; 9],
            expected: ItemDecision::Again(0),
        },
    ];
    for case in cases {
        let mut log = job(1);
        let mut decision = None;
        for outcome in case.outcomes {
            log.item_mut(0).unwrap().phase = ItemPhase::Running;
            decision = Some(log.record_run_outcome(0, *outcome, false, 3, Millis(0)));
        }
        assert_eq!(decision, Some(case.expected), "{}", case.name);
    }
}

#[test]
fn progress_takes_each_event_once() {
    let mut progress = Progress::default();
    for (number, data) in [(1, "a"), (2, "b"), (2, "b"), (1, "a"), (3, "c")] {
        progress.push(number, data);
    }
    assert_eq!((progress.text.as_str(), progress.events), ("a\nb\nc", 3));
}

fn origin() -> StreamOrigin {
    StreamOrigin { service: "captions".into(), software: "v1".into() }
}

/// Longest pause before an item runs again, in milliseconds.
const MAX_PAUSE_MS: u64 = 4_000;

/// Guards against ORDER of issue 23, second matter: output of which it is not certain what wrote it
/// must not be continued, here or by another owner.
#[test]
fn output_is_continued_only_by_what_wrote_it() {
    let mut before = job(1);
    before.item_mut(0).unwrap().progress.push(1, "x");
    let exported: Vec<_> = before.unlisted_outputs().map(|o| o.to_progress()).collect();
    let mut after = job(1);
    after.import_progress(exported[0].clone(), Millis(9));
    assert_eq!(after.items()[0].progress.last_event, None, "its origin is not certain");
    let progress = &mut before.item_mut(0).unwrap().progress;
    progress.origin = Some(origin());
    progress.keep_only_of(&origin());
    assert_eq!((progress.events, progress.generation), (1, 0));
    progress.keep_only_of(&StreamOrigin { software: "v2".into(), ..origin() });
    assert_eq!((progress.events, progress.generation, progress.last_event), (0, 1, None));
}

#[test]
fn progress_is_imported_by_the_next_owner_once() {
    let mut before = job(4);
    complete(&mut before, 0, "whole");
    for (index, number) in [(1, 2), (2, 1)] {
        if let Some(item) = before.item_mut(index) {
            item.phase = ItemPhase::Running;
            (1..=number).for_each(|n| item.progress.push(n, "x"));
            item.progress.origin = Some(origin());
        }
    }
    let exported: Vec<_> = before.unlisted_outputs().map(|o| o.to_progress()).collect();
    assert_eq!(exported.len(), 3);
    let mut after = job(4);
    if let Some(item) = after.item_mut(1) {
        item.phase = ItemPhase::Running;
        item.progress.push(1, "x");
    }
    if let Some(item) = after.item_mut(2) {
        item.phase = ItemPhase::Running;
        (1..=5).for_each(|n| item.progress.push(n, "x"));
    }
    let stopped: Vec<Option<usize>> =
        exported.iter().map(|p| after.import_progress(p.clone(), Millis(9))).collect();
    assert_eq!(stopped, [None, Some(1), None], "only a run with less progress is stopped");
    assert_eq!(after.items()[1].progress.last_event, Some(2));
    assert_eq!(after.items()[2].progress.last_event, Some(5), "further progress is kept");
    let generations = [1, 2].map(|index| after.items()[index].progress.generation);
    assert_eq!(generations, [1, 0], "replaced output starts another generation");
    let (_, segment) = after.begin_segment().unwrap_or_default();
    assert_eq!(segment.results, [result("i0", "whole")]);
    for progress in exported.iter().cloned() {
        after.import_progress(progress, Millis(9));
    }
    after.commit_segment();
    assert!(after.begin_segment().is_none(), "a result imported twice is listed once");
}

#[test]
fn only_a_waiting_item_is_given_up() {
    let mut log = job(2);
    log.item_mut(0).unwrap().phase = ItemPhase::Running;
    assert!(log.give_up(0).is_none(), "a running item may still complete");
    assert!(log.give_up(1).is_some());
    assert!(log.give_up(1).is_none(), "an item is given up once");
    let (_, segment) = log.begin_segment().unwrap();
    let given_up: Vec<_> = segment.results.iter().map(|r| (&*r.item, r.state)).collect();
    assert_eq!(given_up, [("i1", ResultState::GivenUp)]);
}

fn fail(log: &mut JobLog, index: usize) -> ItemDecision {
    if let Some(item) = log.item_mut(index) {
        item.phase = ItemPhase::Running;
    }
    log.record_run_outcome(index, RunOutcome::Failed, false, 3, Millis(1))
}

/// Guards against BUDGET: an item that fails at each run started afresh at each next owner.
#[test]
fn failed_runs_of_an_item_outlast_its_owner() {
    let mut stored: Vec<Segment> = Vec::new();
    let mut runs = 0;
    for owner in 0..10 {
        let mut log = job(1);
        stored.iter().for_each(|segment| log.adopt_segment(segment.clone()));
        if log.is_settled() {
            break;
        }
        assert!(!log.items()[0].has_unstored_failure());
        runs += 1;
        let decision = fail(&mut log, 0);
        assert!(matches!(decision, ItemDecision::Again(_)) == (runs < 3), "owner {owner}");
        assert!(log.items()[0].has_unstored_failure());
        // Each owner dies once it has stored what it knows.
        stored.extend(log.begin_segment().map(|(_, segment)| segment));
    }
    assert_eq!(runs, 3);
}

/// Guards against running an item again before its failure is stored, and against forgetting one whose
/// segment was not written.
#[test]
fn failure_waits_until_it_is_stored() {
    let mut log = job(1);
    fail(&mut log, 0);
    assert!(log.items()[0].has_unstored_failure());
    log.begin_segment();
    log.abandon_segment();
    let (number, segment) = log.begin_segment().unwrap();
    assert_eq!((number, segment.failures.len()), (0, 1));
    assert!(log.items()[0].has_unstored_failure());
    log.commit_segment();
    assert!(!log.items()[0].has_unstored_failure());
    assert!(log.begin_segment().is_none(), "it is stored once");
}

/// Guards against LOST of issue 23: an item under which endpoints crash is owed, and its runs are
/// spaced so that they are not what keeps the endpoints down.
#[test]
fn item_under_which_endpoints_crash_waits_longer_each_time_but_never_for_good() {
    let mut log = job(1);
    let mut now = Millis(0);
    let mut pauses = Vec::new();
    for _ in 0..20 {
        log.item_mut(0).unwrap().phase = ItemPhase::Running;
        log.record_run_outcome(0, RunOutcome::Broken, false, 3, now);
        let ItemPhase::Waiting(at) = log.items()[0].phase else { panic!("the item is given up") };
        pauses.push(at.since(now));
        now = at;
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&MAX_PAUSE_MS), "{pauses:?}");
    assert!(log.begin_segment().is_none(), "nothing is listed, and nothing to store");
}
