//! Compares the default policy with baselines, and with variants in which single parts of it are
//! changed or switched off.

use serde::Serialize;

use mulberry_policy::admission::AdmissionMode;
use mulberry_policy::admission::AdmissionSettings;
use mulberry_policy::concurrency_limit::LimitSettings;
use mulberry_policy::routing::RoutingMode;
use mulberry_protocol::bundle::BatchFill;

use super::PolicyPlan;
use super::load::Arrival;
use super::load::LoadShape;
use super::load::draw_arrivals;
use super::plan::Outcome;
use super::plan::SimulationPlan;
use super::plan::Variant;
use super::simulation::run_simulation;
use crate::stats::Interval;
use crate::stats::quantile;

/// Numbers of batch slots to try for the fixed split.
const SPLIT_SLOTS: [u32; 4] = [4, 8, 16, 32];

/// Highest allowed ratio of a latency to the same latency without batch items.
const MAX_LATENCY_RATIO: f64 = 1.05;

/// Results of one policy, with confidence intervals over the seeds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub name: &'static str,
    pub first_p50_ms: Interval,
    pub first_p95_ms: Interval,
    pub first_p99_ms: Interval,
    pub gap_p95_ms: Interval,
    pub gap_p99_ms: Interval,
    /// Ratios to the policy without batch items, computed per seed.
    pub first_p99_ratio: Interval,
    pub gap_p95_ratio: Interval,
    pub refused: Interval,
    pub batch_items_per_s: Interval,
    /// Batch tokens as a share of the capacity that the policy without batch items leaves idle.
    pub idle_used: Interval,
    /// Share of all computed tokens that had been computed before.
    pub repeated_share: Interval,
    /// Batch items preempted for online requests per second.
    pub stops_per_s: Interval,
    pub stop_ms_max: f64,
    pub unfilled_ms_max: f64,
}

/// A target for the default policy, and the value reached.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Target {
    pub what: &'static str,
    pub value: f64,
    pub bound: f64,
    pub holds: bool,
}

/// Results of the comparison.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Results {
    pub rows: Vec<Row>,
    pub targets: Vec<Target>,
    /// Outcomes of the default policy and of the one without batch items, of the first seed, for plots.
    #[serde(skip)]
    pub traces: Vec<(&'static str, Outcome)>,
}

/// Returns the concurrency limit settings of every side.
pub(crate) fn pool_limit() -> LimitSettings {
    LimitSettings { min: 2, max: 64, initial: 24, gap_target_ms: 20.0 }
}

/// Returns the default policy of the system, with the concurrency limit of this pool.
pub(crate) fn default_variant() -> Variant {
    let admission = AdmissionSettings { limit: pool_limit(), ..AdmissionSettings::default() };
    Variant { name: "(e) ours, gentle", admission, routing: RoutingMode::Affinity, resume: true }
}

/// Returns a baseline. It routes by prefix too, because that is the best routing without batch items.
fn baseline_variant(name: &'static str, mode: AdmissionMode) -> Variant {
    let base = default_variant();
    let admission = AdmissionSettings { mode, fill: BatchFill::Full, ..base.admission };
    Variant { name, admission, routing: RoutingMode::Affinity, ..base }
}

fn variants() -> Vec<Variant> {
    let base = default_variant();
    let change = |name, change: fn(&mut Variant)| {
        let mut variant = Variant { name, ..base.clone() };
        change(&mut variant);
        variant
    };
    let mut all = vec![
        baseline_variant("(a) no batch", AdmissionMode::OnlineOnly),
        baseline_variant("(b) no priority", AdmissionMode::Shared),
        baseline_variant("(d) priority, no preemption", AdmissionMode::Priority),
        base.clone(),
        change("ours, full", |v| v.admission.fill = BatchFill::Full),
        change("ours, full, prompts not paced", |v| {
            v.admission.fill = BatchFill::Full;
            v.admission.batch_prefills = 64;
        }),
        change("ours, full, no headroom", |v| {
            v.admission.fill = BatchFill::Full;
            v.admission.headroom = 0;
        }),
        change("ours, full, headroom 8", |v| {
            v.admission.fill = BatchFill::Full;
            v.admission.headroom = 8;
        }),
        change("ours, full, no resume", |v| {
            v.admission.fill = BatchFill::Full;
            v.resume = false;
        }),
        change("ours, two choices", |v| v.routing = RoutingMode::TwoChoices),
        change("ours, random routing", |v| v.routing = RoutingMode::Random),
        change("ours, fixed limit 64", |v| {
            v.admission.limit = LimitSettings { min: 64, initial: 64, ..v.admission.limit };
        }),
    ];
    for batch in SPLIT_SLOTS {
        all.push(baseline_variant("(c) fixed split", AdmissionMode::Split { batch }));
    }
    all
}

/// The load of one seed, and the capacity of the pool with it.
struct SeedRun {
    arrivals: Vec<Arrival>,
    /// Tokens that the pool generates with batch items only.
    capacity_tokens: u64,
}

/// Runs every policy with every seed.
pub(super) fn compare(plan: &PolicyPlan) -> Results {
    let simulation = SimulationPlan { seconds: plan.seconds as f64, ..SimulationPlan::default() };
    let shape = LoadShape { seconds: plan.seconds as f64, ..LoadShape::default() };
    let seeds: Vec<u64> = (plan.seed..plan.seed + plan.seeds).collect();
    let alone = baseline_variant("batch alone", AdmissionMode::Shared);
    let engine_us = plan.seconds as f64 * 1e6 * simulation.slowness.len() as f64;
    let prefill_us = simulation.engine.prefill_us_per_token as f64;
    let runs: Vec<SeedRun> = seeds
        .iter()
        .map(|seed| SeedRun {
            arrivals: draw_arrivals(&shape, *seed),
            capacity_tokens: run_simulation(&simulation, &alone, &[], *seed).batch_tokens,
        })
        .collect();
    let run_all = |variant: &Variant| -> Vec<Outcome> {
        let pairs = seeds.iter().zip(&runs);
        pairs
            .map(|(seed, run)| run_simulation(&simulation, variant, &run.arrivals, *seed))
            .collect()
    };
    let variants = variants();
    let baseline = run_all(&variants[0]);
    let mut rows = Vec::new();
    let mut splits = Vec::new();
    let mut traces = Vec::new();
    for variant in &variants {
        let outcomes = run_all(variant);
        let mut row = new_row(variant.name, &outcomes, &baseline, plan.seconds as f64);
        let shares: Vec<f64> = (0..runs.len())
            .map(|i| {
                let capacity = runs[i].capacity_tokens as f64;
                // Online requests take their answer tokens, and the time of their prompts, which is
                // converted to tokens.
                let token_us = engine_us / capacity;
                let prompts = baseline[i].online_prompt_tokens as f64 * prefill_us / token_us;
                let idle = capacity - baseline[i].online_tokens as f64 - prompts;
                outcomes[i].batch_tokens as f64 / idle.max(1.0)
            })
            .collect();
        row.idle_used = Interval::from_values(&shares);
        if variant.name.starts_with("(c)") {
            splits.push(row);
            continue;
        }
        if variant.name.starts_with("(a)") || variant.name.starts_with("(e)") {
            traces.extend(outcomes.into_iter().next().map(|o| (variant.name, o)));
        }
        rows.push(row);
    }
    rows.insert(2, best_split(splits));
    let targets = check_targets(&rows);
    Results { rows, targets, traces }
}

/// Returns the split with the most batch items among those that meet the latency targets. If none
/// does, returns the one that raises the time to first token least.
fn best_split(splits: Vec<Row>) -> Row {
    let meets = |r: &Row| {
        r.first_p99_ratio.mean <= MAX_LATENCY_RATIO && r.gap_p95_ratio.mean <= MAX_LATENCY_RATIO
    };
    let best = splits
        .iter()
        .filter(|r| meets(r))
        .max_by(|a, b| a.batch_items_per_s.mean.total_cmp(&b.batch_items_per_s.mean));
    let least_harmful =
        || splits.iter().min_by(|a, b| a.first_p99_ratio.mean.total_cmp(&b.first_p99_ratio.mean));
    match best.or_else(least_harmful) {
        Some(row) => row.clone(),
        None => new_row("(c) fixed split", &[], &[], 1.0),
    }
}

fn new_row(name: &'static str, outcomes: &[Outcome], baseline: &[Outcome], seconds: f64) -> Row {
    let over_seeds = |value: &dyn Fn(usize, &Outcome) -> f64| {
        let values: Vec<f64> = outcomes.iter().enumerate().map(|(i, o)| value(i, o)).collect();
        Interval::from_values(&values)
    };
    let first = |o: &Outcome, q| {
        let mut times: Vec<f64> = o.first_ms.iter().map(|(_, ms)| *ms).collect();
        quantile(&mut times, q)
    };
    let gap = |o: &Outcome, q| quantile(&mut o.gaps_ms.clone(), q);
    Row {
        name,
        first_p50_ms: over_seeds(&|_, o| first(o, 0.5)),
        first_p95_ms: over_seeds(&|_, o| first(o, 0.95)),
        first_p99_ms: over_seeds(&|_, o| first(o, 0.99)),
        gap_p95_ms: over_seeds(&|_, o| gap(o, 0.95)),
        gap_p99_ms: over_seeds(&|_, o| gap(o, 0.99)),
        first_p99_ratio: over_seeds(&|i, o| first(o, 0.99) / first(&baseline[i], 0.99)),
        gap_p95_ratio: over_seeds(&|i, o| gap(o, 0.95) / gap(&baseline[i], 0.95)),
        refused: over_seeds(&|_, o| o.refused as f64),
        batch_items_per_s: over_seeds(&|_, o| o.batch_items as f64 / seconds),
        idle_used: Interval::default(),
        stops_per_s: over_seeds(&|_, o| o.stops as f64 / seconds),
        repeated_share: over_seeds(&|_, o| {
            o.repeated_tokens as f64 / o.computed_tokens.max(1) as f64
        }),
        stop_ms_max: outcomes.iter().map(|o| o.stop_ms_max).fold(0.0, f64::max),
        unfilled_ms_max: outcomes.iter().map(|o| o.unfilled_ms_max).fold(0.0, f64::max),
    }
}

fn check_targets(rows: &[Row]) -> Vec<Target> {
    let find = |name: &str| rows.iter().find(|r| r.name.starts_with(name));
    let (Some(default_row), Some(no_batch)) = (find("(e)"), find("(a)")) else { return Vec::new() };
    let at_most =
        |what, value: f64, bound: f64| Target { what, value, bound, holds: value <= bound };
    let at_least =
        |what, value: f64, bound: f64| Target { what, value, bound, holds: value >= bound };
    let meets = |r: &&&Row| {
        r.first_p99_ratio.mean <= MAX_LATENCY_RATIO && r.gap_p95_ratio.mean <= MAX_LATENCY_RATIO
    };
    let others = ["(b)", "(c)", "(d)"].map(find);
    let best_other = others
        .iter()
        .flatten()
        .filter(|r| meets(r))
        .map(|r| r.batch_items_per_s.mean)
        .fold(0.0, f64::max);
    vec![
        at_most(
            "first token p99, ratio to no batch",
            default_row.first_p99_ratio.mean,
            MAX_LATENCY_RATIO,
        ),
        at_most(
            "between tokens p95, ratio to no batch",
            default_row.gap_p95_ratio.mean,
            MAX_LATENCY_RATIO,
        ),
        at_most("refusals", default_row.refused.mean, no_batch.refused.mean),
        at_least("share of the idle capacity used by batch", default_row.idle_used.mean, 0.95),
        at_least(
            "batch items/s against gentle baselines",
            default_row.batch_items_per_s.mean,
            best_other,
        ),
        at_most("tokens computed twice", default_row.repeated_share.mean, 0.02),
        at_most("batch stops for a burst, ms", default_row.stop_ms_max, 16.0 * 1.6 + 50.0),
        at_most("idle capacity is used again, ms", default_row.unfilled_ms_max, 1_000.0),
    ]
}
