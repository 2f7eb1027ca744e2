//! Measures the CPU time of an entry and a side per request, relayed token and batch item.

use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use mulberry_standin::engine::EngineSettings;
use mulberry_trial::caller::Caller;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::SAMPLE_BUNDLE;
use mulberry_trial::request::ChatRequest;

use crate::error::LoadError;
use crate::stats::Line;
use crate::threads::ThreadSet;

/// Number of requests in one measurement.
const REQUESTS: u32 = 400;

/// Number of concurrent requests.
const WORKERS: u32 = 16;

/// Token limits of the answers to measure.
const MAX_TOKENS: [u32; 3] = [8, 32, 120];

/// Time for the threads of a process to start.
const THREAD_START_DELAY: Duration = Duration::from_millis(300);

/// Number of items in the measured job.
const ITEMS: u32 = 1_500;

/// CPU time of the request path, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PathCosts {
    /// Per request in an entry, by the tokens it streams.
    pub entry_us_by_tokens: Line,
    /// Per request in a side, by the tokens it streams.
    pub side_us_by_tokens: Line,
    /// Per batch item in an entry.
    pub entry_us_per_item: f64,
    /// Per batch item in a side.
    pub side_us_per_item: f64,
}

struct Threads {
    entry: ThreadSet,
    side: ThreadSet,
}

/// Sends online requests and a job through one entry and one side, and measures their CPU time.
pub(super) async fn measure() -> Result<PathCosts, LoadError> {
    let engine = EngineSettings {
        step_base_us: 3_000,
        step_per_sequence_us: 20,
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::sample(1, engine);
    plan.endpoints.truncate(1);
    plan.entry_zones.clear();
    let before = ThreadSet::all();
    let mut fleet = Fleet::start(plan.clone()).await?;
    tokio::time::sleep(THREAD_START_DELAY).await;
    let with_side = ThreadSet::all();
    // The engine's CPU time is measured separately and subtracted.
    let engine_and_side = ThreadSet::started_since(&before);
    fleet.add_entry(0, "kochi-a")?;
    fleet.update_vm_list();
    // The threads that serve callers start after `add_entry` has returned.
    tokio::time::sleep(THREAD_START_DELAY).await;
    let threads = Threads { entry: ThreadSet::started_since(&with_side), side: engine_and_side };
    fleet.roll(SAMPLE_BUNDLE).await?;
    fleet.wait_ready().await?;
    let engine_alone = measure_engine_alone(&fleet).await?;
    let (mut entry_points, mut side_points) = (Vec::new(), Vec::new());
    for tokens in MAX_TOKENS {
        let caller = Rc::new(Caller::new(fleet.entry_addresses(), CLIENT_KEY));
        let (entry_before, side_before) = (threads.entry.cpu_us(), threads.side.cpu_us());
        let mean_tokens = send_requests(&caller, tokens).await;
        let requests = f64::from(REQUESTS);
        let entry = (threads.entry.cpu_us() - entry_before) / requests;
        let side = (threads.side.cpu_us() - side_before) / requests;
        entry_points.push((mean_tokens, entry));
        side_points.push((mean_tokens, side - engine_alone.at(mean_tokens)));
    }
    let (entry_before, side_before) = (threads.entry.cpu_us(), threads.side.cpu_us());
    let item_tokens = run_job(&fleet).await?;
    let items = f64::from(ITEMS);
    let entry_us_per_item = (threads.entry.cpu_us() - entry_before) / items;
    let engine_and_side_us = (threads.side.cpu_us() - side_before) / items;
    fleet.stop().await;
    Ok(PathCosts {
        entry_us_by_tokens: Line::fit(&entry_points),
        side_us_by_tokens: Line::fit(&side_points),
        entry_us_per_item,
        side_us_per_item: engine_and_side_us - engine_alone.at(item_tokens),
    })
}

/// Sends the same load directly to the engine and returns its CPU time by tokens.
async fn measure_engine_alone(fleet: &Fleet) -> Result<Line, LoadError> {
    let Some(side) = fleet.sides.values().next() else {
        return Ok(Line { base: 0.0, slope: 0.0 });
    };
    // The entry and the side are nearly idle meanwhile, so they can be counted too.
    let threads = ThreadSet::all().without_main();
    let mut points = Vec::new();
    for tokens in MAX_TOKENS {
        let caller = Rc::new(Caller::new(vec![side.endpoint.address], CLIENT_KEY));
        let before = threads.cpu_us();
        let mean_tokens = send_requests(&caller, tokens).await;
        let cpu_us_per_request = (threads.cpu_us() - before) / f64::from(REQUESTS);
        points.push((mean_tokens, cpu_us_per_request));
    }
    Ok(Line::fit(&points))
}

/// Sends requests for answers of up to `max_tokens` and returns the mean number of tokens received.
async fn send_requests(caller: &Rc<Caller>, max_tokens: u32) -> f64 {
    let mut workers = Vec::new();
    for worker in 0..WORKERS {
        let caller = caller.clone();
        workers.push(actix_rt::spawn(async move {
            let mut tokens = 0;
            for number in 0..REQUESTS / WORKERS {
                let request = ChatRequest {
                    model: "caption-7b".to_owned(),
                    system: "You write short captions.".to_owned(),
                    user: format!("Caption {worker} {number} of {max_tokens}."),
                    max_tokens,
                    stream: true,
                };
                tokens += 1 + caller.chat(&request).await.gaps_ms.len();
            }
            tokens
        }));
    }
    let mut total = 0;
    for worker in workers {
        total += worker.await.unwrap_or(0);
    }
    total as f64 / f64::from(REQUESTS)
}

/// Runs a job and returns the mean number of tokens in its answers.
async fn run_job(fleet: &Fleet) -> Result<f64, LoadError> {
    let caller = Caller::new(fleet.entry_addresses(), CLIENT_KEY);
    let entry = caller.next_entry();
    let requests: Vec<ChatRequest> = (0..ITEMS)
        .map(|i| ChatRequest {
            model: "caption-7b".to_owned(),
            system: "You write short captions.".to_owned(),
            user: format!("Caption item {i}."),
            max_tokens: 16,
            stream: false,
        })
        .collect();
    let lines =
        requests.iter().enumerate().map(|(i, r)| format!("{}\n", r.job_line(&format!("{i}"))));
    let lines: String = lines.collect();
    let file = caller.upload(entry, &lines).await?;
    let job = caller.create_batch(entry, &file, "/v1/chat/completions", None).await?;
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let status: Value = caller.get_json(entry, &format!("/v1/batches/{job}")).await?;
        if status["status"] == "completed" {
            break;
        }
    }
    let tokens: usize = requests.iter().map(|r| r.expected_answer().split(' ').count() - 1).sum();
    Ok(tokens as f64 / f64::from(ITEMS))
}
