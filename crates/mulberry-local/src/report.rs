//! The table at the end of the demonstration.

use std::collections::BTreeMap;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use hdrhistogram::Histogram;

use mulberry_trial::caller::CallOutcome;

use crate::online::Done;
use crate::online::Kind;

/// Longest time that is told apart, in microseconds.
const MAX_US: u64 = 600_000_000;

/// A promise, and how often it was broken.
pub(crate) struct Check {
    pub promise: &'static str,
    pub broken: usize,
}

/// Makes the table of online requests.
pub(crate) fn online_table(done: &[Done]) -> Table {
    let mut table = new_table(&[
        "online",
        "sent",
        "answered",
        "refused, by reason",
        "first p50 ms",
        "first p99 ms",
        "whole p99 ms",
    ]);
    for kind in Kind::ALL {
        let of_kind: Vec<&Done> = done.iter().filter(|d| d.kind == kind).collect();
        let answered: Vec<&&Done> = of_kind
            .iter()
            .filter(|d| matches!(d.report.outcome, CallOutcome::Answered { .. }))
            .collect();
        let first = percentiles(answered.iter().map(|d| d.report.first_byte_ms));
        let total = percentiles(answered.iter().map(|d| d.report.total_ms));
        table.add_row([
            kind.as_str().to_owned(),
            of_kind.len().to_string(),
            answered.len().to_string(),
            reasons(&of_kind),
            format!("{:.1}", first.0),
            format!("{:.1}", first.1),
            format!("{:.1}", total.1),
        ]);
    }
    table
}

/// Makes the table of promises.
pub(crate) fn check_table(checks: &[Check]) -> Table {
    let mut table = new_table(&["promise", "broken"]);
    for check in checks {
        table.add_row([check.promise.to_owned(), check.broken.to_string()]);
    }
    table
}

/// Makes a table with a header.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header(header.to_vec());
    table
}

fn reasons(done: &[&Done]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for d in done {
        let reason = match &d.report.outcome {
            CallOutcome::Answered { .. } => continue,
            CallOutcome::Refused { reason, run, .. } => format!("{reason} ({run})"),
            CallOutcome::Cut { reason } => format!("cut: {}", reason.as_deref().unwrap_or("none")),
            CallOutcome::NoAnswer => "no answer".to_owned(),
        };
        *counts.entry(reason).or_default() += 1;
    }
    let parts: Vec<String> = counts.into_iter().map(|(r, n)| format!("{n} {r}")).collect();
    if parts.is_empty() { "-".to_owned() } else { parts.join(", ") }
}

/// Returns the 50th and 99th percentile of times in milliseconds.
fn percentiles(times_ms: impl Iterator<Item = f64>) -> (f64, f64) {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_US, 3) else {
        return (0.0, 0.0);
    };
    for time in times_ms {
        histogram.saturating_record((time * 1_000.0) as u64);
    }
    let at = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    (at(0.5), at(0.99))
}
