//! Checks that the catalogues of events and counters in the docs agree with the code.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use mulberry_policy::retry::RetryCause;
use mulberry_protocol::event::Event;
use mulberry_protocol::refusal::RefusalReason;

use crate::sources::TidyProblem;

/// Checks that docs/EVENTS.md has a row for each event and no others.
pub fn check_events(page: &str) -> Vec<TidyProblem> {
    let path = Path::new("docs/EVENTS.md");
    let mut problems = Vec::new();
    for event in Event::ALL {
        let row = format!("| {} | {} |", event.number(), event.text());
        if !page.contains(&row) {
            problems.push(problem(path, format!("add a row `{row}`")));
        }
    }
    let rows = page.lines().filter_map(|l| l.strip_prefix("| ")?.split(' ').next()?.parse().ok());
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|e| e.number()).collect();
    for extra in rows.filter(|n: &u16| !numbers.contains(n)) {
        problems.push(problem(path, format!("remove event {extra}, which no code logs")));
    }
    problems
}

/// Checks that docs/METRICS.md names each counter, refusal reason and retry cause in the code.
pub fn check_metrics(page: &str, sources: &[(PathBuf, String)]) -> Vec<TidyProblem> {
    let path = Path::new("docs/METRICS.md");
    let mut wanted: BTreeSet<String> = BTreeSet::new();
    for (_, text) in sources {
        wanted.extend(counters_in(text));
    }
    wanted.extend(RefusalReason::ALL.iter().map(|r| r.as_str().to_owned()));
    wanted.extend(RetryCause::ALL.iter().map(|c| c.as_str().to_owned()));
    wanted
        .into_iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .map(|name| problem(path, format!("describe `{name}`")))
        .collect()
}

/// Finds the names of counters in calls of the metrics.
fn counters_in(text: &str) -> Vec<String> {
    let starts = ["count(\"", "count_reason(\"", "metrics.add(\"", "gauge(\"", "time_ms(\""];
    let mut names = Vec::new();
    for start in starts {
        for rest in text.split(start).skip(1) {
            let name = rest.split('"').next().unwrap_or("");
            let is_counter =
                ["entry.", "side.", "store.", "direct."].iter().any(|p| name.starts_with(p));
            if is_counter {
                names.push(name.to_owned());
            }
        }
    }
    names
}

fn problem(path: &Path, advice: String) -> TidyProblem {
    TidyProblem { path: path.to_path_buf(), line: 0, advice }
}
