//! Formats the tables that the demonstration prints at its end.

use std::collections::BTreeMap;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use hdrhistogram::Histogram;

use mulberry_trial::caller::CallOutcome;

use crate::online::OnlineRequest;
use crate::online::RequestKind;

/// Upper bound of the latency histogram, in microseconds; longer times count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// A promise to callers and the number of times that it was broken.
pub(crate) struct Check {
    pub promise: &'static str,
    pub violations: usize,
}

/// Returns the table of online requests, one row per kind.
pub(crate) fn online_table(requests: &[OnlineRequest]) -> Table {
    let mut table = new_table(&[
        "online",
        "sent",
        "answered",
        "refused, by reason",
        "first p50 ms",
        "first p99 ms",
        "whole p99 ms",
    ]);
    for kind in RequestKind::ALL {
        let of_kind: Vec<&OnlineRequest> = requests.iter().filter(|r| r.kind == kind).collect();
        let answered: Vec<&&OnlineRequest> = of_kind
            .iter()
            .filter(|r| matches!(r.report.outcome, CallOutcome::Answered { .. }))
            .collect();
        let first = percentiles(answered.iter().map(|r| r.report.first_byte_ms));
        let total = percentiles(answered.iter().map(|r| r.report.total_ms));
        table.add_row([
            kind.as_str().to_owned(),
            of_kind.len().to_string(),
            answered.len().to_string(),
            count_failures(&of_kind),
            format!("{:.1}", first.0),
            format!("{:.1}", first.1),
            format!("{:.1}", total.1),
        ]);
    }
    table
}

/// Returns the table of promises and how often each was broken.
pub(crate) fn check_table(checks: &[Check]) -> Table {
    let mut table = new_table(&["promise", "broken"]);
    for check in checks {
        table.add_row([check.promise.to_owned(), check.violations.to_string()]);
    }
    table
}

/// Returns an empty table with the given column headings.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header(header.to_vec());
    table
}

/// Counts the requests without a complete response by reason.
fn count_failures(requests: &[&OnlineRequest]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for r in requests {
        let reason = match &r.report.outcome {
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

/// Returns the 50th and 99th percentiles of `times_ms`, in milliseconds.
fn percentiles(times_ms: impl Iterator<Item = f64>) -> (f64, f64) {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3) else {
        return (0.0, 0.0);
    };
    for time in times_ms {
        histogram.saturating_record((time * 1_000.0) as u64);
    }
    let at = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    (at(0.5), at(0.99))
}
