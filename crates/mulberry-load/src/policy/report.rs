//! Prints the comparison of policies and the targets.

use comfy_table::Table;
use serde_json::json;

use super::PolicyPlan;
use super::experiment::Results;
use crate::stats::Interval;
use crate::table::new_table;

/// Prints two tables, or one JSON value.
pub(super) fn print(plan: &PolicyPlan, results: &Results) {
    if plan.json {
        let value = json!({"seed": plan.seed, "seeds": plan.seeds, "results": results});
        println!("{value:#}");
        return;
    }
    println!("{}", row_table(results));
    let mut table = new_table(&["target", "value", "bound", ""]);
    for target in &results.targets {
        let mark = if target.holds { "holds" } else { "MISSED" };
        table.add_row([
            target.what.to_owned(),
            format!("{:.3}", target.value),
            format!("{:.3}", target.bound),
            mark.to_owned(),
        ]);
    }
    println!("{table}");
}

fn row_table(results: &Results) -> Table {
    let mut table = new_table(&[
        "policy",
        "first p50",
        "p95",
        "p99 ms",
        "ratio",
        "gap p95",
        "p99 ms",
        "ratio",
        "refused",
        "items/s",
        "idle used",
        "twice",
        "stops/s",
        "unfilled ms",
    ]);
    let shown = |i: &Interval, digits: usize| format!("{:.digits$} ±{:.digits$}", i.mean, i.half);
    for row in &results.rows {
        table.add_row([
            row.name.to_owned(),
            shown(&row.first_p50_ms, 0),
            shown(&row.first_p95_ms, 0),
            shown(&row.first_p99_ms, 0),
            shown(&row.first_p99_ratio, 2),
            shown(&row.gap_p95_ms, 1),
            shown(&row.gap_p99_ms, 1),
            shown(&row.gap_p95_ratio, 2),
            shown(&row.refused, 0),
            shown(&row.batch_items_per_s, 0),
            shown(&row.idle_used, 3),
            shown(&row.repeated_share, 4),
            shown(&row.stops_per_s, 1),
            format!("{:.0}", row.unfilled_ms_max),
        ]);
    }
    table
}
