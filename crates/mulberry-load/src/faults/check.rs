//! Compares what callers saw with what the stand-ins recorded.

use std::collections::HashMap;
use std::collections::HashSet;

use serde::Serialize;
use serde_json::Value;

use mulberry_protocol::digest::stable_hash;
use mulberry_standin::engine::RunRecord;
use mulberry_standin::engine::expected_answer;
use mulberry_standin::engine::prompt_text;
use mulberry_trial::caller::CallOutcome;
use mulberry_trial::fleet::Fleet;

use super::ENTRY_RATES;
use super::journal::AFTER_MS;
use super::journal::ChatLog;
use super::journal::GiftLog;
use super::journal::JobLog;
use super::journal::Journal;
use super::journal::PeriodKind;

/// Bound of the time until a bundle is in force everywhere, in milliseconds.
const BUNDLE_MS: u64 = 3_000;

/// Bound of the time until a cancel stops new items, in milliseconds.
const CANCEL_MS: u64 = 2_000;

/// Bound of the crashes that one request costs.
const CRASHES: u64 = 2;

/// Entries of the deployment.
const ENTRIES: f64 = 3.0;

/// Seconds of its rate that a budget may spend in one second: the rate and what was saved up.
const RATE_AND_BURST_S: f64 = 2.0;

/// Calls in one second by the operators who roll.
const OPERATOR_CALLS: f64 = 20.0;

/// One figure with its bound.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Check {
    pub name: &'static str,
    pub value: u64,
    pub bound: Option<u64>,
    /// The first break, if any.
    pub first: Option<String>,
}

impl Check {
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|b| self.value <= b)
    }
}

/// Works out every figure.
pub(super) fn check(journal: &Journal, fleet: &Fleet) -> Vec<Check> {
    let records: Vec<RunRecord> = fleet.engines().iter().flat_map(|e| e.records()).collect();
    let mut calls: HashMap<String, u64> = HashMap::new();
    for call in fleet.services().iter().flat_map(|s| s.calls()) {
        if call.method == "POST" {
            *calls.entry(call.body).or_default() += 1;
        }
    }
    let jobs = journal.jobs.borrow();
    let chats = journal.chats.borrow();
    let gifts = journal.gifts.borrow();
    let counts = fleet.object_api.counts();
    let accepted: usize = jobs.iter().map(|j| j.lines.len()).sum();
    let completed = jobs.iter().map(|j| j.results.first().map_or(0, Vec::len)).sum::<usize>();
    let plain = |name, value| Check { name, value, bound: None, first: None };
    let bounded = |name, breaks: Vec<String>| Check {
        name,
        value: breaks.len() as u64,
        bound: Some(0),
        first: breaks.into_iter().next(),
    };
    vec![
        plain("online_sent", (chats.len() + gifts.len()) as u64),
        plain("online_answered", chats.iter().filter(|c| is_answered(&c.end)).count() as u64),
        plain("jobs", jobs.len() as u64),
        plain("jobs_not_accepted", journal.jobs_not_accepted.get() as u64),
        plain("accepted", accepted as u64),
        plain("completed", completed as u64),
        bounded("lost", find_lost(&jobs)),
        bounded("doubled", find_doubled(&jobs)),
        bounded("repeated_non_idempotent", find_repeated(&calls)),
        bounded(
            "ran_after_not_run",
            find_ran_after_not_run(&chats, &gifts, &jobs, &records, &calls),
        ),
        bounded("crossed_or_short_answers", find_crossed(&chats, &gifts, &jobs)),
        bounded("bundle_reverted", find_reverted(journal, fleet)),
        slowest_bundle(journal),
        slowest_cancel(journal, &jobs, &records, fleet),
        bounded("cut_off_by_planned_stop", find_cut_off(journal, &chats, fleet)),
        worst_poison(journal, fleet),
        bounded("bystanders_refused", find_bystanders(journal, &chats)),
        bounded("failed_by_store_outage", find_store_failures(&chats)),
        plain("rolls", journal.rolls.borrow().len() as u64),
        Check {
            name: "store_writes_per_s_max",
            value: counts.writes_per_s_max,
            bound: Some(calls_bound(ENTRY_RATES.0)),
            first: None,
        },
        Check {
            name: "store_reads_per_s_max",
            value: counts.reads_per_s_max,
            bound: Some(calls_bound(ENTRY_RATES.1)),
            first: None,
        },
    ]
}

/// Returns the calls that all processes may make in one second.
fn calls_bound(entry_rate: f64) -> u64 {
    (ENTRIES * entry_rate * RATE_AND_BURST_S + OPERATOR_CALLS) as u64
}

fn is_answered(end: &CallOutcome) -> bool {
    matches!(end, CallOutcome::Answered { .. })
}

fn refused_not_run(end: &CallOutcome) -> bool {
    matches!(end, CallOutcome::Refused { run, .. } if run == "not-run")
}

fn custom_id(line: &Value) -> &str {
    line["custom_id"].as_str().unwrap_or("")
}

/// Items without a result, and jobs that did not end.
fn find_lost(jobs: &[JobLog]) -> Vec<String> {
    let mut lost = Vec::new();
    for job in jobs {
        if !matches!(job.status.as_str(), "completed" | "cancelled") {
            lost.push(format!("job {} ended as `{}`", job.id, job.status));
        }
        let read: HashSet<&str> =
            job.results.first().into_iter().flatten().map(custom_id).collect();
        for line in job.lines.iter().filter(|l| !read.contains(custom_id(l))) {
            lost.push(format!("{} of {} has no result", custom_id(line), job.id));
        }
        // A caption that can be done must be done, unless the job was cancelled.
        let answers = job.results.first().into_iter().flatten();
        for line in answers.filter(|l| !job.once_only && l["response"].is_null()) {
            let code = line["error"]["code"].as_str().unwrap_or("");
            let allowed = match code {
                "cancelled" => job.status == "cancelled",
                "poison" | "engine-failed" => is_poison(job, custom_id(line)),
                _ => false,
            };
            if !allowed {
                lost.push(format!("{} of {} failed: {code}", custom_id(line), job.id));
            }
        }
    }
    lost
}

fn is_poison(job: &JobLog, id: &str) -> bool {
    let line = job.lines.iter().find(|l| custom_id(l) == id);
    line.is_some_and(|l| prompt_text(&l["body"]).contains(super::CRASH_MARK))
}

/// Items with two results, and results that changed or differ between entries.
fn find_doubled(jobs: &[JobLog]) -> Vec<String> {
    let mut doubled = Vec::new();
    for job in jobs {
        let Some(first) = job.results.first() else { continue };
        let mut by_id: HashMap<&str, &Value> = HashMap::new();
        for line in first {
            if by_id.insert(custom_id(line), line).is_some() {
                doubled.push(format!("{} of {} has two results", custom_id(line), job.id));
            }
        }
        for line in job.early.iter().chain(job.results.iter().flatten()) {
            if by_id.get(custom_id(line)) != Some(&line) {
                doubled.push(format!("{} of {} changed its result", custom_id(line), job.id));
            }
        }
    }
    doubled
}

fn find_repeated(calls: &HashMap<String, u64>) -> Vec<String> {
    let repeated = calls.iter().filter(|(_, count)| **count > 1);
    repeated.map(|(body, count)| format!("{body} ran {count} times")).collect()
}

fn find_ran_after_not_run(
    chats: &[ChatLog],
    gifts: &[GiftLog],
    jobs: &[JobLog],
    records: &[RunRecord],
    calls: &HashMap<String, u64>,
) -> Vec<String> {
    let mut found = Vec::new();
    let ran: HashSet<u64> = records.iter().map(|r| r.prompt_hash).collect();
    for chat in chats.iter().filter(|c| !c.resent && refused_not_run(&c.end)) {
        if ran.contains(&chat.prompt_hash) {
            found.push(format!("a chat was refused as not run but ran: {:?}", chat.end));
        }
    }
    for gift in gifts {
        if gift.ends.iter().all(refused_not_run) && calls.contains_key(&gift.body) {
            found.push(format!("{} was refused as not run but ran: {:?}", gift.body, gift.ends));
        }
    }
    for job in jobs.iter().filter(|j| j.once_only) {
        for line in job.results.first().into_iter().flatten() {
            let input = job.lines.iter().find(|l| custom_id(l) == custom_id(line));
            let body = input.map(|l| l["body"].to_string()).unwrap_or_default();
            if line["error"]["run_state"] == "not-run" && calls.contains_key(&body) {
                found.push(format!("item {body} ended as not run but ran: {}", line["error"]));
            }
        }
    }
    found
}

fn find_crossed(chats: &[ChatLog], gifts: &[GiftLog], jobs: &[JobLog]) -> Vec<String> {
    let mut found = Vec::new();
    for chat in chats.iter().filter(|c| c.wrong) {
        found.push(format!("a chat got the wrong answer: {:?}", chat.end));
    }
    for gift in gifts {
        for end in &gift.ends {
            if let CallOutcome::Answered { text, .. } = end
                && !text.contains(&gift.body)
            {
                found.push(format!("{} got {text}", gift.body));
            }
        }
        let answers: HashSet<&String> = gift
            .ends
            .iter()
            .filter_map(|e| match e {
                CallOutcome::Answered { text, .. } => Some(text),
                _ => None,
            })
            .collect();
        if answers.len() > 1 {
            found.push(format!("{} got different answers {answers:?}", gift.body));
        }
    }
    for job in jobs.iter().filter(|j| !j.once_only) {
        for line in job.results.first().into_iter().flatten() {
            let answer = line.pointer("/response/body/choices/0/message/content");
            let Some(answer) = answer.and_then(Value::as_str) else { continue };
            let input = job.lines.iter().find(|l| custom_id(l) == custom_id(line));
            let Some(body) = input.map(|l| &l["body"]) else { continue };
            let limit = body["max_tokens"].as_u64().unwrap_or(64) as u32;
            if answer != expected_answer(&prompt_text(body), limit) {
                found.push(format!("{} of {} got {answer:?}", custom_id(line), job.id));
            }
        }
    }
    found
}

/// Processes that went back to an older bundle, and engines that carried out an old order.
fn find_reverted(journal: &Journal, fleet: &Fleet) -> Vec<String> {
    let mut found = journal.reverted.borrow().clone();
    for (index, engine) in fleet.engines().iter().enumerate() {
        let orders = engine.order_fences();
        for pair in orders.windows(2).filter(|p| p[1] < p[0]) {
            found.push(format!("engine {index} carried out order {} after {}", pair[1], pair[0]));
        }
    }
    found
}

/// The longest calm time until every entry worked by a bundle or a newer one.
fn slowest_bundle(journal: &Journal) -> Check {
    let seen = journal.bundles.borrow();
    let processes: HashSet<&String> = seen.iter().map(|s| &s.process).collect();
    let mut slowest = (0, None);
    for roll in journal.rolls.borrow().iter() {
        for process in &processes {
            let first = seen.iter().find(|s| s.process == **process && s.number >= roll.number);
            let at_ms = first.map_or_else(super::journal::unix_ms, |s| s.at_ms);
            let calm = journal.calm_ms(roll.at_ms, at_ms.max(roll.at_ms), Some(process));
            if calm > slowest.0 {
                slowest = (calm, Some(format!("{process} and bundle {}", roll.number)));
            }
        }
    }
    let (value, first) = slowest;
    Check { name: "bundle_in_force_ms_max", value, bound: Some(BUNDLE_MS), first }
}

/// The longest calm time from a cancel to the last start of an item of its job.
fn slowest_cancel(
    journal: &Journal,
    jobs: &[JobLog],
    records: &[RunRecord],
    _fleet: &Fleet,
) -> Check {
    let mut slowest = (0, None);
    for job in jobs.iter().filter(|j| !j.once_only) {
        let Some(cancelled_at_ms) = job.cancelled_at_ms else { continue };
        let prompts: HashSet<u64> =
            job.lines.iter().map(|l| stable_hash(prompt_text(&l["body"]).as_bytes(), 0)).collect();
        let starts = records.iter().filter(|r| prompts.contains(&r.prompt_hash));
        let last = starts.map(|r| r.started_at_ms).max().unwrap_or(0);
        let calm = journal.calm_ms(cancelled_at_ms, last.max(cancelled_at_ms), None);
        if calm > slowest.0 {
            slowest = (calm, Some(format!("job {}", job.id)));
        }
    }
    let (value, first) = slowest;
    Check { name: "cancel_stop_ms_max", value, bound: Some(CANCEL_MS), first }
}

/// Chats that were cut off or refused while only planned stops were under way.
fn find_cut_off(journal: &Journal, chats: &[ChatLog], fleet: &Fleet) -> Vec<String> {
    let crashes: Vec<u64> = fleet.engines().iter().flat_map(|e| e.crash_times_ms()).collect();
    let near_crash =
        |c: &ChatLog| crashes.iter().any(|at| *at <= c.to_ms && at + AFTER_MS >= c.from_ms);
    let bad = |c: &&ChatLog| match &c.end {
        CallOutcome::Cut { .. } | CallOutcome::NoAnswer => true,
        CallOutcome::Refused { reason, .. } => {
            matches!(reason.as_str(), "leaving" | "not-ready" | "no-endpoint" | "link-failed")
        }
        CallOutcome::Answered { .. } => false,
    };
    chats
        .iter()
        .filter(bad)
        .filter(|c| !journal.overlaps(PeriodKind::Fault, c.from_ms, c.to_ms) && !near_crash(c))
        .map(|c| {
            let at = c.from_ms.saturating_sub(journal.started_ms);
            let took = c.to_ms - c.from_ms;
            format!("at {at} ms, after {took} ms, stream {}: {:?}", c.stream, c.end)
        })
        .collect()
}

fn worst_poison(journal: &Journal, fleet: &Fleet) -> Check {
    let mut crashes: HashMap<u64, Vec<String>> = HashMap::new();
    for (index, engine) in fleet.engines().iter().enumerate() {
        for (prompt, at_ms) in engine.crash_prompts() {
            let at = at_ms.saturating_sub(journal.started_ms);
            crashes.entry(prompt).or_default().push(format!("engine {index} at {at} ms"));
        }
    }
    let worst = crashes.iter().max_by_key(|(_, list)| list.len());
    let sends = |prompt: u64| -> Vec<String> {
        let poison = journal.poison.borrow();
        let sent = poison.iter().filter(|p| p.prompt_hash == prompt);
        sent.map(|p| {
            let from = p.from_ms.saturating_sub(journal.started_ms);
            format!("sent {from} to {}: {:?}", p.to_ms.saturating_sub(journal.started_ms), p.end)
        })
        .collect()
    };
    Check {
        name: "poison_crashes_max",
        value: worst.map_or(0, |(_, list)| list.len() as u64),
        bound: Some(CRASHES),
        first: worst.map(|(prompt, list)| format!("{list:?} {:?}", sends(*prompt))),
    }
}

/// Chats that were refused as if they were poison. One that ran alone when an engine was crashed by
/// the injector can't be told from one that crashed it, so that it is left out.
fn find_bystanders(journal: &Journal, chats: &[ChatLog]) -> Vec<String> {
    let periods = journal.periods.borrow();
    let near_injected = |c: &ChatLog| {
        periods.iter().any(|p| {
            let crash = p.what.starts_with("crash engine");
            crash && p.from_ms <= c.to_ms && p.from_ms >= c.from_ms
        })
    };
    chats
        .iter()
        .filter(|c| matches!(&c.end, CallOutcome::Refused { reason, .. } if reason == "poison"))
        .filter(|c| !near_injected(c))
        .map(|c| {
            let at = c.from_ms.saturating_sub(journal.started_ms);
            format!("a chat at {at} ms was refused as poison")
        })
        .collect()
}

/// Chats that failed because the store did.
fn find_store_failures(chats: &[ChatLog]) -> Vec<String> {
    chats
        .iter()
        .filter(
            |c| matches!(&c.end, CallOutcome::Refused { reason, .. } if reason == "store-unavailable"),
        )
        .map(|c| format!("{:?}", c.end))
        .collect()
}
