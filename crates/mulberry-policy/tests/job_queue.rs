//! Tests of the job queue: order by fair share and due time, retries, and commits of complete
//! chunks.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mulberry_policy::job_queue::ItemKey;
use mulberry_policy::job_queue::JobAction;
use mulberry_policy::job_queue::JobQueue;
use mulberry_policy::job_queue::MAX_ITEM_ATTEMPTS;
use mulberry_policy::job_queue::PullRequest;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobState;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::time::Millis;

fn new_job(id: &str, client: &str, items: u32, chunk_items: u32, due_at_s: u64) -> Job {
    Job {
        id: id.into(),
        client: client.into(),
        input: "file-1".into(),
        digest: Digest::of(b"input"),
        path: "/v1/chat/completions".to_owned(),
        service: "copywriter".into(),
        model: Some("caption-7b".into()),
        idempotent: true,
        items,
        chunk_items,
        created_at_s: 0,
        due_at_s,
        state: JobState::Open,
        completed: 0,
        failed: 0,
        cancelled_by: None,
        metadata: Vec::new(),
    }
}

fn open_chunks(queue: &mut JobQueue) -> Vec<JobAction> {
    let actions = queue.tick();
    for action in &actions {
        if let JobAction::OpenChunk { job, chunk } = action {
            let range = queue.job(job).unwrap().chunk_range(*chunk);
            let ids = range.map(|i| format!("item-{i}")).collect();
            queue.record_chunk_opened(job, *chunk, ids, false);
        }
    }
    actions
}

fn take(queue: &mut JobQueue, max_items: usize, now: Millis) -> Vec<ItemKey> {
    let (service, models) = ("copywriter".into(), ["caption-7b".into()]);
    queue.take(&PullRequest { service: &service, models: &models, max_items }, now)
}

fn answered() -> Result<ItemEnd, Refusal> {
    Ok(ItemEnd::Answered { status: 200, body: serde_json::Value::Null })
}

#[test]
fn a_job_ends_after_every_chunk_is_committed() {
    let mut queue = JobQueue::default();
    queue.add(new_job("a", "kavka", 5, 2, 100), &[]);
    open_chunks(&mut queue);
    let keys = take(&mut queue, 10, Millis(0));
    assert_eq!(keys.len(), 5);
    for key in &keys {
        queue.record_item_end(key, answered(), Millis(1));
        // A second report of the same item changes nothing.
        queue.record_item_end(key, answered(), Millis(2));
    }
    let commits = queue.tick();
    assert_eq!(commits.len(), 3);
    for (chunk, action) in (0..).zip(&commits) {
        let JobAction::CommitChunk { outcomes, sealed_by_cancel, .. } = action else {
            panic!("{action:?}")
        };
        assert!(!sealed_by_cancel);
        let indices: Vec<u32> = outcomes.iter().map(|o| o.index).collect();
        let expected: Vec<u32> = (chunk * 2..(chunk * 2 + 2).min(5)).collect();
        assert_eq!(indices, expected);
        queue.record_chunk_committed(&"a".into(), chunk);
    }
    assert_eq!(queue.tick(), [JobAction::EndJob { job: "a".into() }]);
}

#[test]
fn a_new_owner_skips_committed_chunks() {
    let mut queue = JobQueue::default();
    queue.add(new_job("a", "kavka", 6, 2, 100), &[0, 2]);
    open_chunks(&mut queue);
    let indices: Vec<u32> = take(&mut queue, 10, Millis(0)).iter().map(|k| k.index).collect();
    assert_eq!(indices, [2, 3]);
}

struct RetryCase {
    name: &'static str,
    refusal: Refusal,
    idempotent: bool,
    runs: u8,
}

#[test]
fn failing_items_run_a_bounded_number_of_times() {
    let ran = |reason| Refusal::ran(reason, "");
    let not_run = |reason| Refusal::not_run(reason, "");
    let unknown = Refusal::unknown(RefusalReason::LinkFailed, "");
    let cases = [
        RetryCase {
            name: "crash",
            refusal: ran(RefusalReason::EngineFailed),
            idempotent: true,
            runs: MAX_ITEM_ATTEMPTS,
        },
        RetryCase {
            name: "poison",
            refusal: not_run(RefusalReason::Poison),
            idempotent: true,
            runs: 1,
        },
        RetryCase {
            name: "malformed",
            refusal: not_run(RefusalReason::Malformed),
            idempotent: true,
            runs: 1,
        },
        RetryCase { name: "not idempotent", refusal: unknown.clone(), idempotent: false, runs: 1 },
        RetryCase {
            name: "side lost",
            refusal: unknown,
            idempotent: true,
            runs: MAX_ITEM_ATTEMPTS,
        },
    ];
    for case in cases {
        let mut queue = JobQueue::default();
        let job = Job { idempotent: case.idempotent, ..new_job("a", "kavka", 1, 1, 100) };
        queue.add(job, &[]);
        open_chunks(&mut queue);
        let mut runs = 0;
        let mut now = Millis(0);
        loop {
            now = now + 1_000;
            let Some(key) = take(&mut queue, 1, now).pop() else { break };
            runs += 1;
            queue.record_item_end(&key, Err(case.refusal.clone()), now);
        }
        assert_eq!(runs, case.runs, "{}", case.name);
        let commits = queue.tick();
        assert!(matches!(commits[..], [JobAction::CommitChunk { .. }]), "{}", case.name);
    }
}

#[test]
fn refusals_without_a_run_do_not_count_as_attempts() {
    let mut queue = JobQueue::default();
    queue.add(new_job("a", "kavka", 1, 1, 100), &[]);
    open_chunks(&mut queue);
    let mut now = Millis(0);
    let reasons = [RefusalReason::Leaving, RefusalReason::Busy, RefusalReason::StaleOwner];
    for reason in reasons.into_iter().cycle().take(60) {
        now = now + 1_000;
        let key = take(&mut queue, 1, now).pop().unwrap();
        queue.record_item_end(&key, Err(Refusal::not_run(reason, "")), now);
    }
    assert!(queue.tick().is_empty(), "the item ended");
}

#[test]
fn clients_share_by_weight_and_jobs_due_first_go_first() {
    let mut queue = JobQueue::default();
    queue.set_weight(&"kavka".into(), 2);
    queue.set_weight(&"brhlik".into(), 1);
    queue.add(new_job("late", "kavka", 100, 100, 900), &[]);
    queue.add(new_job("early", "kavka", 100, 100, 100), &[]);
    queue.add(new_job("other", "brhlik", 100, 100, 500), &[]);
    open_chunks(&mut queue);
    let keys = take(&mut queue, 90, Millis(0));
    let count = |id: &str| keys.iter().filter(|k| k.job == JobId::new(id)).count();
    assert_eq!((count("early"), count("late"), count("other")), (60, 0, 30));
}

#[test]
fn a_cancel_keeps_ended_items_and_seals_the_rest() {
    let mut queue = JobQueue::default();
    queue.add(new_job("a", "kavka", 4, 2, 100), &[]);
    open_chunks(&mut queue);
    let keys = take(&mut queue, 2, Millis(0));
    queue.record_item_end(&keys[0], answered(), Millis(1));
    queue.cancel(&"a".into());
    assert!(take(&mut queue, 10, Millis(2)).is_empty());
    let commits = queue.tick();
    let mut ends = Vec::new();
    for action in commits {
        let JobAction::CommitChunk { outcomes, sealed_by_cancel, .. } = action else { continue };
        assert!(sealed_by_cancel);
        ends.extend(outcomes.into_iter().map(|o| o.end));
    }
    let runs: Vec<Option<RunState>> = ends
        .iter()
        .map(|e| match e {
            ItemEnd::Answered { .. } => None,
            ItemEnd::Failed { run, .. } => Some(*run),
        })
        .collect();
    let expected = [None, Some(RunState::Unknown), Some(RunState::NotRun), Some(RunState::NotRun)];
    assert_eq!(runs, expected);
}

#[test]
fn a_chunk_claimed_by_a_previous_owner_does_not_run_again() {
    let mut queue = JobQueue::default();
    queue.add(Job { idempotent: false, ..new_job("a", "kavka", 2, 2, 100) }, &[]);
    queue.tick();
    queue.record_chunk_opened(&"a".into(), 0, vec!["x".to_owned(), "y".to_owned()], true);
    assert!(take(&mut queue, 10, Millis(0)).is_empty());
    assert!(matches!(queue.tick()[..], [JobAction::CommitChunk { .. }]));
}
