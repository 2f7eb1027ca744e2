//! The `overload` experiment: a load of three times the capacity, and the loss of part of the engines
//! under high load. Throughput must hold during overload, and latency must recover soon after the
//! disturbance.

use comfy_table::Table;
use serde::Serialize;
use serde_json::json;

use crate::error::LoadError;
use crate::policy::LoadShape;
use crate::policy::Outcome;
use crate::policy::SimulationPlan;
use crate::policy::Variant;
use crate::policy::default_variant;
use crate::policy::draw_arrivals;
use crate::policy::run_simulation;
use crate::stats::quantile;
use crate::table::new_table;

/// Duration of the load before the disturbance, in seconds.
const BEFORE_DISTURBANCE_S: f64 = 40.0;

/// Duration of the disturbance, in seconds.
const DISTURBANCE_S: f64 = 60.0;

/// Duration of the load after the disturbance, in seconds.
const AFTER_DISTURBANCE_S: f64 = 60.0;

/// Longest time allowed until latency is normal again, in seconds.
const MAX_RECOVERY_S: f64 = 10.0;

/// Least throughput allowed under overload, as a share of the best throughput.
const MIN_THROUGHPUT_SHARE: f64 = 0.81;

/// Highest 95th percentile of the time to first token that counts as normal, in milliseconds. It is
/// the latency that the system promises.
const NORMAL_P95_MS: f64 = 710.0;

/// Results of one case.
#[derive(Debug, Serialize)]
struct CaseRow {
    case: &'static str,
    /// Mean answers per second during the disturbance.
    answered_per_s: f64,
    /// Most answers in any second.
    best_per_s: f64,
    refused: u64,
    /// 95th percentile of the time to first token before, during and after the disturbance, in
    /// milliseconds.
    before_ms: f64,
    during_ms: f64,
    after_ms: f64,
    /// Seconds from the end of the disturbance until latency stays normal.
    recovery_s: f64,
    /// Answers whose first token arrived after its deadline.
    late: u64,
    holds: bool,
}

/// Runs both cases and prints their results. Fails if a case is outside its bounds.
pub(crate) fn run(seed: u64, json: bool) -> Result<(), LoadError> {
    let variant = default_variant();
    let rows = vec![overload_case(&variant, seed), engine_loss_case(&variant, seed)];
    if json {
        println!("{:#}", json!({"seed": seed, "cases": rows}));
    } else {
        println!("{}", results_table(&rows));
    }
    let failed = rows.iter().filter(|r| !r.holds).count();
    if failed == 0 { Ok(()) } else { Err(LoadError::Bound { count: failed }) }
}

fn simulation_plan() -> SimulationPlan {
    SimulationPlan {
        seconds: BEFORE_DISTURBANCE_S + DISTURBANCE_S + AFTER_DISTURBANCE_S,
        ..SimulationPlan::default()
    }
}

fn load_shape() -> LoadShape {
    LoadShape {
        seconds: BEFORE_DISTURBANCE_S + DISTURBANCE_S + AFTER_DISTURBANCE_S,
        burst_factor: 1.0,
        ..LoadShape::default()
    }
}

/// Multiplies the base rate by 15, which is three times the capacity of the pool, for one minute.
fn overload_case(variant: &Variant, seed: u64) -> CaseRow {
    let plan = simulation_plan();
    let normal = load_shape();
    let surge = LoadShape {
        surge: Some((BEFORE_DISTURBANCE_S, BEFORE_DISTURBANCE_S + DISTURBANCE_S, 15.0)),
        ..normal
    };
    let outcome = run_simulation(&plan, variant, &draw_arrivals(&surge, seed), seed);
    new_row("3 times the capacity for 60 s", &outcome, &plan, true)
}

/// Takes away two of five engines for one minute, under a load that needs most of them.
fn engine_loss_case(variant: &Variant, seed: u64) -> CaseRow {
    let plan = SimulationPlan {
        outage: Some((0..2, BEFORE_DISTURBANCE_S, BEFORE_DISTURBANCE_S + DISTURBANCE_S)),
        ..simulation_plan()
    };
    let busy = LoadShape { base_per_s: 75.0, ..load_shape() };
    let outcome = run_simulation(&plan, variant, &draw_arrivals(&busy, seed), seed);
    new_row("2 of 5 engines lost for 60 s", &outcome, &plan, false)
}

fn new_row(
    case: &'static str,
    outcome: &Outcome,
    plan: &SimulationPlan,
    overload: bool,
) -> CaseRow {
    let during = BEFORE_DISTURBANCE_S..BEFORE_DISTURBANCE_S + DISTURBANCE_S;
    let p95 = |from: f64, to: f64| {
        let within = outcome.first_ms.iter().filter(|(at, _)| (from..to).contains(at));
        quantile(&mut within.map(|(_, ms)| *ms).collect::<Vec<f64>>(), 0.95)
    };
    let answered = |from: usize, to: usize| -> f64 {
        let seconds = &outcome.online_by_s[from..to.min(outcome.online_by_s.len())];
        seconds.iter().sum::<u64>() as f64 / seconds.len().max(1) as f64
    };
    let before_ms = p95(5.0, BEFORE_DISTURBANCE_S);
    let end = during.end as usize;
    let mut recovery_s = 0.0;
    for second in end..plan.seconds as usize {
        if p95(second as f64, second as f64 + 1.0) > NORMAL_P95_MS {
            recovery_s = (second + 1 - end) as f64;
        }
    }
    let answered_per_s = answered(BEFORE_DISTURBANCE_S as usize + 5, end);
    let best_per_s = outcome.online_by_s.iter().copied().max().unwrap_or(0) as f64;
    let late = outcome.first_ms.iter().filter(|(_, ms)| *ms > f64::from(plan.deadline_ms));
    let late = late.count() as u64;
    // The best second of five engines is no reference for the three that remain.
    let throughput_kept = !overload || answered_per_s >= best_per_s * MIN_THROUGHPUT_SHARE;
    CaseRow {
        case,
        answered_per_s,
        best_per_s,
        refused: outcome.refused,
        before_ms,
        during_ms: p95(during.start, during.end),
        after_ms: p95(during.end + MAX_RECOVERY_S, plan.seconds),
        recovery_s,
        late,
        holds: throughput_kept && recovery_s <= MAX_RECOVERY_S && late == 0,
    }
}

fn results_table(rows: &[CaseRow]) -> Table {
    let mut table = new_table(&[
        "case",
        "answered/s",
        "best second",
        "refused",
        "first p95 before",
        "during",
        "after ms",
        "recovery s",
        "late",
        "",
    ]);
    for r in rows {
        table.add_row([
            r.case.to_owned(),
            format!("{:.0}", r.answered_per_s),
            format!("{:.0}", r.best_per_s),
            r.refused.to_string(),
            format!("{:.0}", r.before_ms),
            format!("{:.0}", r.during_ms),
            format!("{:.0}", r.after_ms),
            format!("{:.0}", r.recovery_s),
            r.late.to_string(),
            if r.holds { "holds" } else { "MISSED" }.to_owned(),
        ]);
    }
    table
}
