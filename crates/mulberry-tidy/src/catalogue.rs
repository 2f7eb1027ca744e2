//! Checks that the catalogues of events and metrics in the docs match the code.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use mulberry_policy::retry::RetryCause;
use mulberry_protocol::event::Event;
use mulberry_protocol::refusal::RefusalReason;

use crate::sources::TidyViolation;

/// Checks that `page`, the text of docs/EVENTS.md, has a row for each event and no others.
pub fn check_events(page: &str) -> Vec<TidyViolation> {
    let path = Path::new("docs/EVENTS.md");
    let mut violations = Vec::new();
    for event in Event::ALL {
        let row = format!("| {} | {} |", event.number(), event.text());
        if !page.contains(&row) {
            violations.push(violation(path, format!("add a row `{row}`")));
        }
    }
    let rows = page.lines().filter_map(|l| l.strip_prefix("| ")?.split(' ').next()?.parse().ok());
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|e| e.number()).collect();
    for unknown in rows.filter(|n: &u16| !numbers.contains(n)) {
        violations.push(violation(path, format!("remove event {unknown}, which no code logs")));
    }
    violations
}

/// Checks that `page`, the text of docs/METRICS.md, names each metric, refusal reason and retry
/// cause in the code.
pub fn check_metrics(page: &str, sources: &[(PathBuf, String)]) -> Vec<TidyViolation> {
    let path = Path::new("docs/METRICS.md");
    let mut required: BTreeSet<String> = BTreeSet::new();
    for (_, text) in sources {
        required.extend(metrics_in(text));
    }
    required.extend(RefusalReason::ALL.iter().map(|r| r.as_str().to_owned()));
    required.extend(RetryCause::ALL.iter().map(|c| c.as_str().to_owned()));
    required
        .into_iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .map(|name| violation(path, format!("describe `{name}`")))
        .collect()
}

/// Returns the metric names in `text`: string literals with a known prefix that open the arguments
/// of a call that records a metric.
fn metrics_in(text: &str) -> Vec<String> {
    let calls = ["count(\"", "count_reason(\"", "metrics.add(\"", "gauge(\"", "time_ms(\""];
    let mut names = Vec::new();
    for call in calls {
        for rest in text.split(call).skip(1) {
            let name = rest.split('"').next().unwrap_or("");
            let is_metric =
                ["entry.", "side.", "store.", "direct."].iter().any(|p| name.starts_with(p));
            if is_metric {
                names.push(name.to_owned());
            }
        }
    }
    names
}

fn violation(path: &Path, advice: String) -> TidyViolation {
    TidyViolation { path: path.to_path_buf(), line: 0, advice }
}
