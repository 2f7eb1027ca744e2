//! Prints all checks with their bounds, and the list of faults if a check failed or if it was
//! asked for.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use mulberry_trial::caller::CallOutcome;

use super::FaultPlan;
use super::check::Check;
use super::journal::Journal;
use crate::table::new_table;

/// Prints a table, or one JSON value.
pub(super) fn print(plan: &FaultPlan, journal: &Journal, checks: &[Check]) {
    if plan.json {
        println!("{:#}", to_json(plan, journal, checks));
        return;
    }
    let mut table = new_table(&["figure", "value", "bound", "first break"]);
    for check in checks {
        let mark = if check.holds() { "" } else { " PASSED" };
        let bound = check.bound.map_or_else(|| "-".to_owned(), |b| b.to_string());
        let first = check.first.clone().filter(|_| !check.holds()).unwrap_or_default();
        let shown: String = first.chars().take(90).collect();
        table.add_row([
            check.name.to_owned(),
            check.value.to_string(),
            format!("{bound}{mark}"),
            shown,
        ]);
    }
    println!("seed {}, {} s\n{table}", plan.seed, plan.seconds);
    let broken = checks.iter().any(|c| !c.holds());
    if broken || plan.trace {
        print_trace(journal, checks);
    }
}

fn print_trace(journal: &Journal, checks: &[Check]) {
    for check in checks.iter().filter(|c| !c.holds()) {
        println!("{}: {}", check.name, check.first.clone().unwrap_or_default());
    }
    for refused in journal.refused_rolls.borrow().iter() {
        println!("roll refused: {refused}");
    }
    println!("chats: {:?}", count_outcomes(journal));
    for period in journal.periods.borrow().iter() {
        let from = period.from_ms.saturating_sub(journal.started_ms);
        let to = period.to_ms.map_or(0, |t| t.saturating_sub(journal.started_ms));
        println!("{from:>7} to {to:>7} ms: {}", period.label);
    }
}

/// Counts the chats by outcome.
fn count_outcomes(journal: &Journal) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for chat in journal.chats.borrow().iter() {
        let outcome = match &chat.outcome {
            CallOutcome::Answered { .. } => "answered".to_owned(),
            CallOutcome::Refused { reason, run, .. } => format!("{reason} {run}"),
            CallOutcome::Cut { reason } => format!("cut {}", reason.as_deref().unwrap_or("none")),
            CallOutcome::NoAnswer => "no answer".to_owned(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

fn to_json(plan: &FaultPlan, journal: &Journal, checks: &[Check]) -> Value {
    let figures: serde_json::Map<String, Value> = checks
        .iter()
        .map(|c| {
            let holds = c.holds();
            let first = c.first.as_ref().filter(|_| !holds);
            let row = json!({"value": c.value, "bound": c.bound, "holds": holds, "first": first});
            (c.name.to_owned(), row)
        })
        .collect();
    let faults: Vec<String> = journal.periods.borrow().iter().map(|p| p.label.clone()).collect();
    let broken = plan.injected.map(|f| f.as_str());
    json!({
        "seed": plan.seed,
        "seconds": plan.seconds,
        "broken": broken,
        "figures": figures,
        "faults": faults,
    })
}
