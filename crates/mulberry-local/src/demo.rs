//! `demo`: rolls a bundle, runs a job under online load, kills a side and an entry during the job,
//! and checks the results against the records of the stand-ins.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use serde_json::Value;

use mulberry_process::stop::StopSignal;
use mulberry_standin::engine::EngineSettings;
use mulberry_standin::engine::RunOutcome;
use mulberry_standin::engine::expected_answer;
use mulberry_standin::engine::prompt_text;
use mulberry_trial::caller::CallOutcome;
use mulberry_trial::caller::Caller;
use mulberry_trial::error::TrialError;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::OTHER_CLIENT_KEY;
use mulberry_trial::plan::SAMPLE_BUNDLE;

use crate::error::LocalError;
use crate::online::OnlineLog;
use crate::online::OnlineRequest;
use crate::online::run_worker;
use crate::report::Check;
use crate::report::check_table;
use crate::report::new_table;
use crate::report::online_table;

/// Input of the job unless another file is given.
const CATALOGUE: &str = include_str!("../../../samples/catalogue.jsonl");

/// Number of engines.
const ENGINES: usize = 3;

/// Number of workers that send online requests.
const ONLINE_WORKERS: u64 = 12;

/// Timeout for the job to end.
const JOB_TIMEOUT: Duration = Duration::from_secs(45);

/// Interval between polls of the job's status.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demonstration with the input file at `input` or else the sample catalogue. Fails if a
/// promise was broken.
pub(crate) async fn run(input: Option<&str>) -> Result<(), LocalError> {
    let lines = match input {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|source| LocalError::Input { path: path.to_owned(), source })?,
        None => CATALOGUE.to_owned(),
    };
    let engine = EngineSettings { step_base_us: 5_000, ..EngineSettings::default() };
    let mut fleet = Fleet::start(FleetPlan::sample(ENGINES, engine)).await?;
    let number = fleet.roll(SAMPLE_BUNDLE).await?;
    fleet.wait_ready().await?;
    println!("bundle number {number} is in force on {ENGINES} engines and 2 plain services");

    let stop = StopSignal::default();
    let log = OnlineLog::default();
    let caller = Rc::new(Caller::new(fleet.entry_addresses(), OTHER_CLIENT_KEY));
    let workers = (0..ONLINE_WORKERS)
        .map(|w| actix_rt::spawn(run_worker(w, caller.clone(), log.clone(), stop.clone())));
    let workers: Vec<_> = workers.collect();
    let outcome = run_job(&mut fleet, &lines).await;
    stop.trigger();
    for worker in workers {
        // The log lacks the requests that a worker would have sent after a panic.
        let _panicked = worker.await;
    }
    let job = outcome?;
    let requests = log.take();
    println!("{}", online_table(&requests));
    print_job(&job);
    let mut checks = check_job(&lines, &job, &fleet);
    checks.extend(check_online(&requests, &fleet));
    println!("{}", check_table(&checks));
    fleet.stop().await;
    let count = checks.iter().filter(|c| c.violations > 0).count();
    if count == 0 { Ok(()) } else { Err(LocalError::Broken { count }) }
}

/// Status and result lines of the job after its end.
struct JobResult {
    items: usize,
    duration: Duration,
    output: Vec<Value>,
    errors: Vec<Value>,
    status: Value,
}

/// Runs the job. Kills a side once a fifth of its items are complete, and an entry at two fifths.
async fn run_job(fleet: &mut Fleet, lines: &str) -> Result<JobResult, LocalError> {
    let caller = Caller::new(fleet.entry_addresses(), CLIENT_KEY);
    let entries = fleet.entry_addresses();
    let items = lines.lines().filter(|l| !l.trim().is_empty()).count();
    let started = Instant::now();
    let file = caller.upload(entries[0], lines).await?;
    let path = first_path(lines);
    let job = caller.create_batch(entries[0], &file, &path, Some("demo-job")).await?;
    let resent = caller.create_batch(entries[1], &file, &path, Some("demo-job")).await?;
    println!(
        "job {job} accepted with {items} items; a resend through another entry found {resent}"
    );
    let bar = ProgressBar::new(items as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} items, {elapsed}") {
        bar.set_style(style);
    }
    let (mut side_killed, mut entry_killed) = (false, false);
    let status = loop {
        tokio::time::sleep(JOB_POLL_INTERVAL).await;
        // Through the second entry, as the first one gets killed.
        let status = caller.get_json(entries[1], &format!("/v1/batches/{job}")).await?;
        let completed = status.pointer("/request_counts/completed").and_then(Value::as_u64);
        let completed = completed.unwrap_or(0);
        bar.set_position(completed);
        if matches!(status["status"].as_str(), Some("completed" | "cancelled")) {
            break status;
        }
        if !side_killed && completed * 5 >= items as u64 {
            side_killed = true;
            bar.println("killing the side of copywriter-0");
            fleet.kill_side("copywriter-0").await;
        }
        if !entry_killed && completed * 5 >= 2 * items as u64 {
            entry_killed = true;
            bar.println("killing entry-0");
            fleet.kill_entry("entry-0").await;
        }
        if started.elapsed() > JOB_TIMEOUT {
            return Err(LocalError::JobLate { waited_s: started.elapsed().as_secs() });
        }
    };
    bar.finish();
    let duration = started.elapsed();
    let output = caller.file_lines(entries[1], &format!("output-{job}")).await?;
    let errors = caller.file_lines(entries[1], &format!("errors-{job}")).await?;
    let other = Caller::new(entries.clone(), OTHER_CLIENT_KEY);
    let foreign_read = other.file_lines(entries[1], &format!("output-{job}")).await;
    if foreign_read.is_ok() {
        let detail = "another client read the results".to_owned();
        return Err(TrialError::Call { call: "content", detail }.into());
    }
    Ok(JobResult { items, duration, output, errors, status })
}

/// Returns the API path of the first input line, which the whole job uses.
fn first_path(lines: &str) -> String {
    let first = lines.lines().next().and_then(|l| serde_json::from_str::<Value>(l).ok());
    let url = first.and_then(|v| v["url"].as_str().map(str::to_owned));
    url.unwrap_or_else(|| "/v1/chat/completions".to_owned())
}

fn print_job(job: &JobResult) {
    let mut table = new_table(&["job", "items", "output", "errors", "items/s", "status"]);
    table.add_row([
        "catalogue".to_owned(),
        job.items.to_string(),
        job.output.len().to_string(),
        job.errors.len().to_string(),
        format!("{:.0}", job.items as f64 / job.duration.as_secs_f64()),
        job.status["status"].as_str().unwrap_or("").to_owned(),
    ]);
    println!("{table}");
}

/// Checks a job's results against its input and the records of the engines.
fn check_job(lines: &str, job: &JobResult, fleet: &Fleet) -> Vec<Check> {
    let mut finished_runs: HashMap<u64, u32> = HashMap::new();
    for record in fleet.engines().iter().flat_map(|e| e.records()) {
        if record.end == RunOutcome::Finished {
            *finished_runs.entry(record.prompt_hash).or_default() += 1;
        }
    }
    let mut results_by_id: HashMap<&str, Vec<&Value>> = HashMap::new();
    for line in job.output.iter().chain(&job.errors) {
        let id = line["custom_id"].as_str().unwrap_or("");
        results_by_id.entry(id).or_default().push(line);
    }
    let (mut missing, mut duplicated, mut wrong, mut never_ran) = (0, 0, 0, 0);
    for line in lines.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok()) {
        let found = results_by_id.get(line["custom_id"].as_str().unwrap_or(""));
        match found.map_or(0, Vec::len) {
            0 => missing += 1,
            1 => {}
            _ => duplicated += 1,
        }
        let Some(text) = found
            .and_then(|f| f[0].pointer("/response/body/choices/0/message/content"))
            .and_then(Value::as_str)
        else {
            continue;
        };
        let prompt = prompt_text(&line["body"]);
        let limit = line["body"]["max_tokens"].as_u64().unwrap_or(64) as u32;
        wrong += usize::from(text != expected_answer(&prompt, limit));
        let hash = mulberry_protocol::digest::stable_hash(prompt.as_bytes(), 0);
        never_ran += usize::from(!finished_runs.contains_key(&hash));
    }
    vec![
        Check { promise: "every accepted item has an answer", violations: missing },
        Check { promise: "no item has two answers", violations: duplicated },
        Check { promise: "every answer is that of its own item, whole", violations: wrong },
        Check { promise: "every answer was run by an engine", violations: never_ran },
        Check { promise: "no item of the catalogue failed", violations: job.errors.len() },
    ]
}

/// Checks the outcomes of online requests against the records of the plain services.
fn check_online(requests: &[OnlineRequest], fleet: &Fleet) -> Vec<Check> {
    let wrong = requests.iter().filter(|r| r.wrong).count();
    let mut gift_calls: HashMap<String, usize> = HashMap::new();
    for call in fleet.services().iter().flat_map(|s| s.calls()) {
        if call.method == "POST" {
            *gift_calls.entry(call.body).or_default() += 1;
        }
    }
    let repeated = gift_calls.values().filter(|n| **n > 1).count();
    let ran_after_refusal = requests
        .iter()
        .filter(
            |r| matches!(&r.report.outcome, CallOutcome::Refused { run, .. } if run == "not-run"),
        )
        .filter(|r| r.gift.as_ref().is_some_and(|g| gift_calls.contains_key(g)))
        .count();
    vec![
        Check { promise: "every online answer is whole and the caller's own", violations: wrong },
        Check { promise: "no gift ran twice", violations: repeated },
        Check { promise: "what was refused as not run did not run", violations: ran_after_refusal },
    ]
}
