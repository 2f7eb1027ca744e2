//! The `path` experiment: measures how much the entry and the side add to the time to first token,
//! compared with the same load sent directly to the engine.

use std::rc::Rc;
use std::time::Duration;

use comfy_table::Table;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;

use mulberry_standin::engine::EngineSettings;
use mulberry_trial::caller::CallOutcome;
use mulberry_trial::caller::Caller;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::SAMPLE_BUNDLE;
use mulberry_trial::request::ChatRequest;

use crate::error::LoadError;
use crate::stats::quantile;
use crate::table::new_table;

/// Requests per second, about half the capacity of one engine.
const RATE_PER_S: f64 = 60.0;

/// Duration of a round.
const ROUND_DURATION: Duration = Duration::from_secs(6);

/// Rounds of each path; the paths alternate.
const ROUNDS: usize = 3;

/// Upper bound of the time added to the median, in milliseconds.
const MAX_ADDED_P50_MS: f64 = 1.0;

/// Upper bound of the time added to the 99th percentile, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 3.0;

/// Results of one path.
#[derive(Debug, Default, Serialize)]
struct PathStats {
    first_p50_ms: f64,
    first_p99_ms: f64,
    sent: usize,
    failed: usize,
}

/// Measures both paths alternately and prints the difference. Fails if it exceeds a bound.
pub(crate) async fn run(json: bool) -> Result<(), LoadError> {
    let engine = EngineSettings { step_base_us: 4_000, ..EngineSettings::default() };
    let mut plan = FleetPlan::sample(1, engine);
    plan.entry_zones.truncate(1);
    let fleet = Fleet::start(plan).await?;
    fleet.roll(SAMPLE_BUNDLE).await?;
    fleet.wait_ready().await?;
    let engine = fleet.sides.values().next().map(|s| s.endpoint.address);
    let direct = Rc::new(Caller::new(engine.into_iter().collect(), CLIENT_KEY));
    let proxied = Rc::new(Caller::new(fleet.entry_addresses(), CLIENT_KEY));
    let (mut direct_ms, mut proxied_ms) = (Vec::new(), Vec::new());
    let mut failed = [0, 0];
    for round in 0..ROUNDS as u64 {
        failed[0] += send_round(&direct, round, &mut direct_ms).await;
        failed[1] += send_round(&proxied, round, &mut proxied_ms).await;
    }
    fleet.stop().await;
    let paths = [summarize(&mut direct_ms, failed[0]), summarize(&mut proxied_ms, failed[1])];
    let added_p50 = paths[1].first_p50_ms - paths[0].first_p50_ms;
    let added_p99 = paths[1].first_p99_ms - paths[0].first_p99_ms;
    let holds = added_p50 <= MAX_ADDED_P50_MS && added_p99 <= MAX_ADDED_P99_MS && failed[1] == 0;
    if json {
        let value = json!({
            "direct": paths[0],
            "through": paths[1],
            "added_p50_ms": added_p50,
            "added_p99_ms": added_p99,
            "holds": holds,
        });
        println!("{value:#}");
    } else {
        println!("{}", results_table(&paths, added_p50, added_p99));
    }
    if holds { Ok(()) } else { Err(LoadError::Bound { count: 1 }) }
}

/// Sends requests as a Poisson process, adds the first-token times of the answered ones to
/// `first_ms`, and returns the number of failed ones.
async fn send_round(caller: &Rc<Caller>, round: u64, first_ms: &mut Vec<f64>) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(round);
    let end = tokio::time::Instant::now() + ROUND_DURATION;
    let mut at = tokio::time::Instant::now();
    let mut calls = Vec::new();
    let mut number = 0;
    while at < end {
        let gap = -(1.0 - rng.random::<f64>()).ln() / RATE_PER_S;
        at += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(at).await;
        number += 1;
        let request = ChatRequest {
            model: "caption-7b".to_owned(),
            system: "You write short captions.".to_owned(),
            user: format!("Caption {number} of round {round}."),
            max_tokens: 32,
            stream: true,
        };
        let caller = caller.clone();
        calls.push(actix_rt::spawn(async move { caller.chat(&request).await }));
    }
    let mut failed = 0;
    for call in calls {
        match call.await {
            Ok(report) if matches!(report.outcome, CallOutcome::Answered { .. }) => {
                first_ms.push(report.first_byte_ms);
            }
            _ => failed += 1,
        }
    }
    failed
}

fn summarize(first_ms: &mut [f64], failed: usize) -> PathStats {
    PathStats {
        first_p50_ms: quantile(first_ms, 0.5),
        first_p99_ms: quantile(first_ms, 0.99),
        sent: first_ms.len() + failed,
        failed,
    }
}

fn results_table(paths: &[PathStats; 2], added_p50: f64, added_p99: f64) -> Table {
    let mut table = new_table(&["way", "sent", "failed", "p50 ms", "p99 ms"]);
    for (name, path) in ["straight to the engine", "through entry and side"].iter().zip(paths) {
        table.add_row([
            (*name).to_owned(),
            path.sent.to_string(),
            path.failed.to_string(),
            format!("{:.2}", path.first_p50_ms),
            format!("{:.2}", path.first_p99_ms),
        ]);
    }
    table.add_row([
        "added".to_owned(),
        String::new(),
        String::new(),
        format!("{added_p50:.2} of {MAX_ADDED_P50_MS}"),
        format!("{added_p99:.2} of {MAX_ADDED_P99_MS}"),
    ]);
    table
}
