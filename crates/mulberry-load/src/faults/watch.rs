//! Asks every entry now and then what the balancer and an operator would ask.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;

use mulberry_platform::http::new_client;

use super::journal::BundleSeen;
use super::journal::Journal;
use super::journal::unix_ms;

/// Time between looks.
const LOOK: Duration = Duration::from_millis(100);

/// Time for an entry's answer, in milliseconds.
const ANSWER_MS: u64 = 500;

/// Looks until the journal's watch ends.
pub(super) async fn poll_entries(journal: Rc<Journal>) {
    let client = new_client(ANSWER_MS);
    while !journal.watching.is_triggered() {
        for (index, entry) in journal.entries.iter().enumerate() {
            let ready = client.get(format!("http://{entry}/readyz")).send().await;
            let ready = ready.is_ok_and(|r| r.status().is_success());
            if let Some(slot) = journal.ready.borrow_mut().get_mut(index) {
                *slot = ready;
            }
            let sent = client.get(format!("http://{entry}/status")).send().await;
            let Ok(mut response) = sent else { continue };
            if let Ok(status) = response.json::<Value>().limit(4 * 1024 * 1024).await {
                record_status(&journal, &status);
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn record_status(journal: &Journal, status: &Value) {
    let entry = status["entry"].as_str().unwrap_or("").to_owned();
    if let Some(counters) = status["counters"].as_object() {
        let mut known = journal.counters.borrow_mut();
        for (name, value) in counters {
            // A restart starts the counters anew; the highest of each process is kept.
            let key = format!("{entry} {name}");
            let value = value.as_u64().unwrap_or(0);
            let kept = known.entry(key).or_default();
            *kept = (*kept).max(value);
        }
    }
    record_bundle(journal, entry, status["bundle"].as_u64().unwrap_or(0));
    for side in status["sides"].as_array().into_iter().flatten() {
        let name = side["endpoint"].as_str().unwrap_or("").to_owned();
        let live = side["live"].as_bool().unwrap_or(false);
        if live {
            record_bundle(journal, name, side["bundle-done"].as_u64().unwrap_or(0));
        }
    }
}

fn record_bundle(journal: &Journal, process: String, number: u64) {
    // Zero says that the process has just started, or that its endpoint is being brought in line.
    if number == 0 {
        return;
    }
    let mut last = journal.last_bundle.borrow_mut();
    let before = last.get(&process).copied().unwrap_or(0);
    let is_entry = process.starts_with("entry");
    // Entries see sides through heartbeats of different age, so that only entries are held to it.
    if number < before && is_entry {
        let text = format!("{process} went from bundle {before} to {number}");
        journal.reverted.borrow_mut().push(text);
    }
    if number > before || (number < before && is_entry) {
        last.insert(process.clone(), number);
        let seen = BundleSeen { process, number, at_ms: unix_ms() };
        journal.bundles.borrow_mut().push(seen);
    }
}
