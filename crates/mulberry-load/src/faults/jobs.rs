//! Sends batch jobs and reads their results.
//!
//! Uploads and creations are retried, and some accepted jobs are sent again. Some jobs are cancelled,
//! some have items that crash engines, and some have items that must run at most once. At the end the
//! results are read through every entry.

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

/// Mean interval between jobs, in milliseconds.
const MEAN_INTERVAL_MS: u64 = 1_500;

/// Number of items in a large job.
const LARGE_ITEMS: u32 = 4_000;

/// Most attempts of a call that is safe to repeat.
const MAX_CALL_ATTEMPTS: u32 = 60;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// What a job contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobKind {
    /// Captions, which are safe to run again.
    Captions,
    /// Captions, of which the first two crash the engine that runs them.
    WithPoison,
    /// Service calls, which must run at most once.
    NonIdempotent,
    /// A job so large that it would run for long after its cancellation.
    LargeCancelled,
}

/// Sends jobs at random intervals for this many seconds, and waits for their senders.
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
            1 => JobKind::NonIdempotent,
            2 => JobKind::LargeCancelled,
            _ => JobKind::Captions,
        };
        let (seed, journal, job_number) = (rng.random(), journal.clone(), number);
        running.push(actix_rt::spawn(send_job(job_number, kind, seed, journal)));
        let pause_ms = rng.random_range(MEAN_INTERVAL_MS / 2..MEAN_INTERVAL_MS * 3 / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    for job in running {
        // A job whose sender panicked may be missing from the journal.
        let _ended = job.await;
    }
}

fn input_lines(number: u32, kind: JobKind, rng: &mut ChaCha8Rng) -> Vec<Value> {
    let large = kind == JobKind::LargeCancelled;
    let count = if large { LARGE_ITEMS } else { rng.random_range(20..200) };
    let mut lines: Vec<Value> = (0..count)
        .map(|i| match kind {
            JobKind::NonIdempotent => json!({
                "custom_id": format!("gift-{i}"),
                "method": "POST",
                "url": "/services/editor-api/gift",
                "body": {"gift": format!("job-{number}-{i}")},
            }),
            _ => caption_request(number, i).job_line(&format!("shot-{i}")),
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

fn caption_request(number: u32, item: u32) -> ChatRequest {
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
    let path = if kind == JobKind::NonIdempotent {
        "/services/editor-api"
    } else {
        "/v1/chat/completions"
    };
    let mut file = None;
    for _ in 0..MAX_CALL_ATTEMPTS {
        let entry = journal.pick_entry(None, &mut rng);
        if let Ok(id) = journal.caller.upload(entry, &text).await {
            file = Some(id);
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let Some(file) = file else {
        journal.jobs_not_accepted.set(journal.jobs_not_accepted.get() + 1);
        return;
    };
    let key = format!("job-{number}-{seed}");
    let mut accepted: Option<String> = None;
    // Whether to send the job again even after it was accepted.
    let resend = rng.random_bool(0.3);
    for _ in 0..MAX_CALL_ATTEMPTS {
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
                    journal.violations.borrow_mut().push(format!("job {first} resent became {id}"));
                }
                break;
            }
            (Err(_), _) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
    let Some(id) = accepted else {
        journal.jobs_not_accepted.set(journal.jobs_not_accepted.get() + 1);
        return;
    };
    let non_idempotent = kind == JobKind::NonIdempotent;
    let index = {
        let mut jobs = journal.jobs.borrow_mut();
        jobs.push(JobLog { id: id.clone(), lines, non_idempotent, ..JobLog::default() });
        jobs.len() - 1
    };
    tokio::time::sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
    read_partial_results(&id, index, &journal, &mut rng).await;
    if kind == JobKind::LargeCancelled || rng.random_bool(0.2) {
        cancel_job(&id, index, &journal, &mut rng).await;
    }
}

/// Reads the results committed so far, to compare them with those read at the end.
async fn read_partial_results(id: &str, index: usize, journal: &Journal, rng: &mut ChaCha8Rng) {
    let entry = journal.pick_entry(None, rng);
    if let Ok(lines) = journal.caller.file_lines(entry, &format!("output-{id}")).await
        && let Some(job) = journal.jobs.borrow_mut().get_mut(index)
    {
        job.partial_results = lines;
    }
}

async fn cancel_job(id: &str, index: usize, journal: &Journal, rng: &mut ChaCha8Rng) {
    for _ in 0..MAX_CALL_ATTEMPTS {
        let entry = journal.pick_entry(None, rng);
        let path = format!("/v1/batches/{id}/cancel");
        if let Ok(status) = journal.caller.post_json(entry, &path).await {
            let accepted = status["status"] == "cancelling";
            if let Some(job) = journal.jobs.borrow_mut().get_mut(index) {
                job.cancelled_at_ms = accepted.then(unix_ms);
            }
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Waits until every job has ended or the timeout has passed, and records the last status seen.
pub(super) async fn wait_for_job_ends(journal: &Journal, timeout: Duration) {
    let started = Instant::now();
    let count = journal.jobs.borrow().len();
    for index in 0..count {
        let id = journal.jobs.borrow()[index].id.clone();
        loop {
            let entry = journal.entries[index % journal.entries.len()];
            let status = journal.caller.get_json(entry, &format!("/v1/batches/{id}")).await;
            let status = status.ok().and_then(|s| s["status"].as_str().map(str::to_owned));
            let ended = matches!(status.as_deref(), Some("completed" | "cancelled"));
            if ended || started.elapsed() > timeout {
                journal.jobs.borrow_mut()[index].status = status.unwrap_or_default();
                break;
            }
            tokio::time::sleep(RETRY_DELAY / 2).await;
        }
    }
}

/// Reads the results of every job through every entry.
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
