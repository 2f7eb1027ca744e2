//! Polls the readiness and status of every entry, as a load balancer and an operator would.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;

use mulberry_platform::http::new_client;

use super::journal::BundleObservation;
use super::journal::Journal;
use super::journal::unix_ms;

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one request, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 500;

/// Polls all entries and records their responses until polling is ended.
pub(super) async fn poll_entries(journal: Rc<Journal>) {
    let client = new_client(REQUEST_TIMEOUT_MS);
    while !journal.stop_polling.is_triggered() {
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn record_status(journal: &Journal, status: &Value) {
    let entry = status["entry"].as_str().unwrap_or("").to_owned();
    if let Some(counters) = status["counters"].as_object() {
        let mut known = journal.counters.borrow_mut();
        for (name, value) in counters {
            // A restart resets the counters, so the highest value is kept.
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
    // Zero means that the process has just started, or that its endpoint is still being updated.
    if number == 0 {
        return;
    }
    let mut last = journal.last_bundle.borrow_mut();
    let before = last.get(&process).copied().unwrap_or(0);
    let is_entry = process.starts_with("entry");
    // Entries learn of sides through heartbeats of different age, so an older number is only an error
    // for an entry itself.
    if number < before && is_entry {
        let text = format!("{process} went from bundle {before} to {number}");
        journal.violations.borrow_mut().push(text);
    }
    if number > before || (number < before && is_entry) {
        last.insert(process.clone(), number);
        let seen = BundleObservation { process, number, at_ms: unix_ms() };
        journal.bundle_observations.borrow_mut().push(seen);
    }
}
