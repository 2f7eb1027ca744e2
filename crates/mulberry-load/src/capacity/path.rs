//! Processor time of an entry and a side for each request, relayed token and batch item.

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

/// Requests of one measurement.
const REQUESTS: u32 = 400;

/// Requests at the same time.
const WORKERS: u32 = 16;

/// Most tokens of the answers measured.
const TOKENS: [u32; 3] = [8, 32, 120];

/// Time for threads to start.
const SETTLE: Duration = Duration::from_millis(300);

/// Items of the job measured.
const ITEMS: u32 = 1_500;

/// Processor times in microseconds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PathCosts {
    /// Of an entry for each request, by the tokens it streams.
    pub entry_us_by_tokens: Line,
    /// Of a side for each request, by the tokens it streams.
    pub side_us_by_tokens: Line,
    /// Of an entry for each batch item.
    pub entry_us_per_item: f64,
    /// Of a side for each batch item.
    pub side_us_per_item: f64,
}

struct Threads {
    entry: ThreadSet,
    side: ThreadSet,
}

/// Measures.
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
    tokio::time::sleep(SETTLE).await;
    let with_side = ThreadSet::all();
    // The engine's share is measured alone and taken off.
    let engine_and_side = ThreadSet::started_since(&before);
    fleet.add_entry(0, "kochi-a")?;
    fleet.update_vm_list();
    // The threads for callers start a moment later.
    tokio::time::sleep(SETTLE).await;
    let threads = Threads { entry: ThreadSet::started_since(&with_side), side: engine_and_side };
    fleet.roll(SAMPLE_BUNDLE).await?;
    fleet.wait_ready().await?;
    let engine_alone = measure_engine_alone(&fleet).await?;
    let (mut entry_points, mut side_points) = (Vec::new(), Vec::new());
    for tokens in TOKENS {
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
    let both = (threads.side.cpu_us() - side_before) / items;
    fleet.stop().await;
    Ok(PathCosts {
        entry_us_by_tokens: Line::fit(&entry_points),
        side_us_by_tokens: Line::fit(&side_points),
        entry_us_per_item,
        side_us_per_item: both - engine_alone.at(item_tokens),
    })
}

/// Sends the same load straight to the engine, and returns its processor time by tokens.
async fn measure_engine_alone(fleet: &Fleet) -> Result<Line, LoadError> {
    let Some(unit) = fleet.sides.values().next() else {
        return Ok(Line { base: 0.0, slope: 0.0 });
    };
    // The entry and the side are all but idle meanwhile.
    let threads = ThreadSet::all().without_first();
    let mut points = Vec::new();
    for tokens in TOKENS {
        let caller = Rc::new(Caller::new(vec![unit.endpoint.address], CLIENT_KEY));
        let before = threads.cpu_us();
        let mean_tokens = send_requests(&caller, tokens).await;
        let used = (threads.cpu_us() - before) / f64::from(REQUESTS);
        points.push((mean_tokens, used));
    }
    Ok(Line::fit(&points))
}

/// Sends requests with answers of up to `max_tokens`, and returns the mean number of tokens.
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

/// Runs a job and returns the mean tokens of its items.
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
