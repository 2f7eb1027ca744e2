//! The demonstration: a bundle rolled, online load, a job, a side and an entry killed on the way.

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
use crate::online::Done;
use crate::online::DoneList;
use crate::online::run_worker;
use crate::report::Check;
use crate::report::check_table;
use crate::report::new_table;
use crate::report::online_table;

/// The sample catalogue.
const CATALOGUE: &str = include_str!("../../../samples/catalogue.jsonl");

/// Engines of the demonstration.
const ENGINES: usize = 3;

/// Workers that send online requests.
const WORKERS: u64 = 12;

/// Longest time for the job.
const JOB_TIME: Duration = Duration::from_secs(45);

/// Time between looks at the job.
const LOOK: Duration = Duration::from_millis(100);

/// Runs the demonstration over the sample catalogue or another input.
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
    let done = DoneList::default();
    let online = Rc::new(Caller::new(fleet.entry_addresses(), OTHER_CLIENT_KEY));
    let workers = (0..WORKERS)
        .map(|w| actix_rt::spawn(run_worker(w, online.clone(), done.clone(), stop.clone())));
    let workers: Vec<_> = workers.collect();
    let outcome = run_job(&mut fleet, &lines).await;
    stop.trigger();
    for worker in workers {
        // A worker that panicked has left its requests out of the list.
        let _ended = worker.await;
    }
    let job = outcome?;
    let done = done.take();
    println!("{}", online_table(&done));
    print_job(&job);
    let mut checks = check_job(&lines, &job, &fleet);
    checks.extend(check_online(&done, &fleet));
    println!("{}", check_table(&checks));
    fleet.stop().await;
    let count = checks.iter().filter(|c| c.broken > 0).count();
    if count == 0 { Ok(()) } else { Err(LocalError::Broken { count }) }
}

/// A job's results.
struct JobResult {
    items: usize,
    span: Duration,
    output: Vec<Value>,
    errors: Vec<Value>,
    status: Value,
}

/// Runs the job, and ends a side and an entry on the way.
async fn run_job(fleet: &mut Fleet, lines: &str) -> Result<JobResult, LocalError> {
    let caller = Caller::new(fleet.entry_addresses(), CLIENT_KEY);
    let entries = fleet.entry_addresses();
    let items = lines.lines().filter(|l| !l.trim().is_empty()).count();
    let started = Instant::now();
    let file = caller.upload(entries[0], lines).await?;
    let path = first_path(lines);
    let job = caller.create_batch(entries[0], &file, &path, Some("demo-job")).await?;
    let again = caller.create_batch(entries[1], &file, &path, Some("demo-job")).await?;
    println!("job {job} accepted with {items} items; a resend through another entry found {again}");
    let bar = ProgressBar::new(items as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} items, {elapsed}") {
        bar.set_style(style);
    }
    let (mut side_killed, mut entry_killed) = (false, false);
    let status = loop {
        tokio::time::sleep(LOOK).await;
        // The second entry is never killed.
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
        if started.elapsed() > JOB_TIME {
            return Err(LocalError::JobLate { waited_s: started.elapsed().as_secs() });
        }
    };
    bar.finish();
    let span = started.elapsed();
    let output = caller.file_lines(entries[1], &format!("output-{job}")).await?;
    let errors = caller.file_lines(entries[1], &format!("errors-{job}")).await?;
    let other = Caller::new(entries.clone(), OTHER_CLIENT_KEY);
    let stranger = other.file_lines(entries[1], &format!("output-{job}")).await;
    if stranger.is_ok() {
        let detail = "another client read the results".to_owned();
        return Err(TrialError::Call { call: "content", detail }.into());
    }
    Ok(JobResult { items, span, output, errors, status })
}

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
        format!("{:.0}", job.items as f64 / job.span.as_secs_f64()),
        job.status["status"].as_str().unwrap_or("").to_owned(),
    ]);
    println!("{table}");
}

/// Compares a job's results with its input and with the engines' own records.
fn check_job(lines: &str, job: &JobResult, fleet: &Fleet) -> Vec<Check> {
    let mut finished: HashMap<u64, u32> = HashMap::new();
    for record in fleet.engines().iter().flat_map(|e| e.records()) {
        if record.end == RunOutcome::Finished {
            *finished.entry(record.prompt_hash).or_default() += 1;
        }
    }
    let mut answers: HashMap<&str, Vec<&Value>> = HashMap::new();
    for line in job.output.iter().chain(&job.errors) {
        let id = line["custom_id"].as_str().unwrap_or("");
        answers.entry(id).or_default().push(line);
    }
    let (mut missing, mut doubled, mut wrong, mut never_ran) = (0, 0, 0, 0);
    for line in lines.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok()) {
        let found = answers.get(line["custom_id"].as_str().unwrap_or(""));
        match found.map_or(0, Vec::len) {
            0 => missing += 1,
            1 => {}
            _ => doubled += 1,
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
        never_ran += usize::from(!finished.contains_key(&hash));
    }
    vec![
        Check { promise: "every accepted item has an answer", broken: missing },
        Check { promise: "no item has two answers", broken: doubled },
        Check { promise: "every answer is that of its own item, whole", broken: wrong },
        Check { promise: "every answer was run by an engine", broken: never_ran },
        Check { promise: "no item of the catalogue failed", broken: job.errors.len() },
    ]
}

/// Compares online answers with what the services recorded.
fn check_online(done: &[Done], fleet: &Fleet) -> Vec<Check> {
    let wrong = done.iter().filter(|d| d.wrong).count();
    let mut gifts: HashMap<String, usize> = HashMap::new();
    for call in fleet.services().iter().flat_map(|s| s.calls()) {
        if call.method == "POST" {
            *gifts.entry(call.body).or_default() += 1;
        }
    }
    let repeated = gifts.values().filter(|n| **n > 1).count();
    let ran_anyway = done
        .iter()
        .filter(
            |d| matches!(&d.report.outcome, CallOutcome::Refused { run, .. } if run == "not-run"),
        )
        .filter(|d| d.gift.as_ref().is_some_and(|g| gifts.contains_key(g)))
        .count();
    vec![
        Check { promise: "every online answer is whole and the caller's own", broken: wrong },
        Check { promise: "no gift ran twice", broken: repeated },
        Check { promise: "what was refused as not run did not run", broken: ran_anyway },
    ]
}
