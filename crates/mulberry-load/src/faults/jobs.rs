//! Jobs: uploaded and created with resends, some cancelled, some with items that crash engines or
//! must run at most once; their results read at the end through every entry.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use mulberry_trial::request::ChatRequest;

use super::CRASH_MARK;
use super::journal::JobLog;
use super::journal::Journal;
use super::journal::unix_ms;

/// Mean time between jobs, in milliseconds.
const MEAN_PAUSE_MS: u64 = 1_500;

/// Items of a large job.
const LARGE_ITEMS: u32 = 4_000;

/// Most tries of a call that is safe to repeat.
const CALL_TRIES: u32 = 60;

/// Wait between tries.
const TRY_AGAIN: Duration = Duration::from_millis(250);

/// Kinds of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobKind {
    Captions,
    WithPoison,
    OnceOnly,
    /// So large that it would go on for long after its cancel.
    LargeCancelled,
}

/// Sends jobs for a number of seconds.
pub(super) async fn send_jobs(seed: u64, seconds: u64, journal: Rc<Journal>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(300);
    let started = Instant::now();
    let mut number = 0;
    let mut running = Vec::new();
    while started.elapsed() < Duration::from_secs(seconds) {
        number += 1;
        let kind = match rng.random_range(0..8) {
            0 => JobKind::WithPoison,
            1 => JobKind::OnceOnly,
            2 => JobKind::LargeCancelled,
            _ => JobKind::Captions,
        };
        let (seed, journal, own) = (rng.random(), journal.clone(), number);
        running.push(actix_rt::spawn(send_job(own, kind, seed, journal)));
        let pause_ms = rng.random_range(MEAN_PAUSE_MS / 2..MEAN_PAUSE_MS * 3 / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    for job in running {
        // A job whose sender panicked is missing from the journal.
        let _ended = job.await;
    }
}

fn input_lines(number: u32, kind: JobKind, rng: &mut ChaCha8Rng) -> Vec<Value> {
    let large = kind == JobKind::LargeCancelled;
    let count = if large { LARGE_ITEMS } else { rng.random_range(20..200) };
    let mut lines: Vec<Value> = (0..count)
        .map(|i| match kind {
            JobKind::OnceOnly => json!({
                "custom_id": format!("gift-{i}"),
                "method": "POST",
                "url": "/services/editor-api/gift",
                "body": {"gift": format!("job-{number}-{i}")},
            }),
            _ => caption(number, i).job_line(&format!("shot-{i}")),
        })
        .collect();
    if kind == JobKind::WithPoison {
        for line in lines.iter_mut().take(2) {
            line["body"]["messages"][1]["content"] =
                json!(format!("{CRASH_MARK} {} of job {number}", line["custom_id"]));
        }
    }
    lines
}

fn caption(number: u32, item: u32) -> ChatRequest {
    ChatRequest {
        model: "caption-7b".to_owned(),
        system: "You write short captions.".to_owned(),
        user: format!("Caption {item} of job {number}."),
        max_tokens: 12,
        stream: false,
    }
}

async fn send_job(number: u32, kind: JobKind, seed: u64, journal: Rc<Journal>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let lines = input_lines(number, kind, &mut rng);
    let text: String = lines.iter().map(|l| format!("{l}\n")).collect();
    let path =
        if kind == JobKind::OnceOnly { "/services/editor-api" } else { "/v1/chat/completions" };
    let mut file = None;
    for _ in 0..CALL_TRIES {
        let entry = journal.pick_entry(None, &mut rng);
        if let Ok(id) = journal.caller.upload(entry, &text).await {
            file = Some(id);
            break;
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
    let Some(file) = file else {
        journal.jobs_not_accepted.set(journal.jobs_not_accepted.get() + 1);
        return;
    };
    let key = format!("job-{number}-{seed}");
    let mut accepted: Option<String> = None;
    // The client sends the job again even after it was accepted.
    let resend = rng.random_bool(0.3);
    for _ in 0..CALL_TRIES {
        let entry = journal.pick_entry(None, &mut rng);
        let created = journal.caller.create_batch(entry, &file, path, Some(&key)).await;
        match (created, &accepted) {
            (Ok(id), None) => {
                accepted = Some(id);
                if !resend {
                    break;
                }
            }
            (Ok(id), Some(first)) => {
                if id != *first {
                    journal.reverted.borrow_mut().push(format!("job {first} resent became {id}"));
                }
                break;
            }
            (Err(_), _) => tokio::time::sleep(TRY_AGAIN).await,
        }
    }
    let Some(id) = accepted else {
        journal.jobs_not_accepted.set(journal.jobs_not_accepted.get() + 1);
        return;
    };
    let once_only = kind == JobKind::OnceOnly;
    let index = {
        let mut jobs = journal.jobs.borrow_mut();
        jobs.push(JobLog { id: id.clone(), lines, once_only, ..JobLog::default() });
        jobs.len() - 1
    };
    tokio::time::sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
    read_early(&id, index, &journal, &mut rng).await;
    if kind == JobKind::LargeCancelled || rng.random_bool(0.2) {
        cancel(&id, index, &journal, &mut rng).await;
    }
}

/// Reads what is committed before the job's end, to compare with what is read at its end.
async fn read_early(id: &str, index: usize, journal: &Journal, rng: &mut ChaCha8Rng) {
    let entry = journal.pick_entry(None, rng);
    if let Ok(lines) = journal.caller.file_lines(entry, &format!("output-{id}")).await
        && let Some(job) = journal.jobs.borrow_mut().get_mut(index)
    {
        job.early = lines;
    }
}

async fn cancel(id: &str, index: usize, journal: &Journal, rng: &mut ChaCha8Rng) {
    for _ in 0..CALL_TRIES {
        let entry = journal.pick_entry(None, rng);
        let path = format!("/v1/batches/{id}/cancel");
        if let Ok(status) = journal.caller.post_json(entry, &path).await {
            let accepted = status["status"] == "cancelling";
            if let Some(job) = journal.jobs.borrow_mut().get_mut(index) {
                job.cancelled_at_ms = accepted.then(unix_ms);
            }
            return;
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
}

/// Waits until every job has its final state.
pub(super) async fn wait_for_ends(journal: &Journal, limit: Duration) {
    let started = Instant::now();
    let count = journal.jobs.borrow().len();
    for index in 0..count {
        let id = journal.jobs.borrow()[index].id.clone();
        loop {
            let entry = journal.entries[index % journal.entries.len()];
            let status = journal.caller.get_json(entry, &format!("/v1/batches/{id}")).await;
            let status = status.ok().and_then(|s| s["status"].as_str().map(str::to_owned));
            let ended = matches!(status.as_deref(), Some("completed" | "cancelled"));
            if ended || started.elapsed() > limit {
                journal.jobs.borrow_mut()[index].status = status.unwrap_or_default();
                break;
            }
            tokio::time::sleep(TRY_AGAIN / 2).await;
        }
    }
}

/// Reads every job's results through every entry.
pub(super) async fn read_results(journal: &Journal) {
    let count = journal.jobs.borrow().len();
    for index in 0..count {
        let id = journal.jobs.borrow()[index].id.clone();
        for entry in &journal.entries {
            let output = journal.caller.file_lines(*entry, &format!("output-{id}")).await;
            let errors = journal.caller.file_lines(*entry, &format!("errors-{id}")).await;
            if let (Ok(mut lines), Ok(errors)) = (output, errors) {
                lines.extend(errors);
                journal.jobs.borrow_mut()[index].results.push(lines);
            }
        }
    }
}
