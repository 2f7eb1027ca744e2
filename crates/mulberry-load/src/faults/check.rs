//! Checks what callers saw against what the stand-ins recorded.

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
use super::journal::AFTEREFFECT_MS;
use super::journal::ChatLog;
use super::journal::JobLog;
use super::journal::Journal;
use super::journal::PeriodKind;
use super::journal::ServiceCallLog;

/// Longest fault-free time allowed until every process uses a rolled bundle, in milliseconds.
const MAX_ROLL_DELAY_MS: u64 = 3_000;

/// Longest fault-free time allowed from a cancellation to the last start of an item, in milliseconds.
const MAX_CANCEL_DELAY_MS: u64 = 2_000;

/// Most engine crashes that one request may cause.
const MAX_POISON_CRASHES: u64 = 2;

/// Number of entries in the deployment.
const ENTRY_COUNT: f64 = 3.0;

/// Most calls that a process may make in one second, in seconds of its rate: the refill of that second
/// and a full burst.
const RATE_AND_BURST_S: f64 = 2.0;

/// Allowance for the calls of operators who roll, per second.
const OPERATOR_CALLS: f64 = 20.0;

/// One measured value with its bound.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Check {
    pub name: &'static str,
    pub value: u64,
    /// The highest value allowed, or `None` if the value is only reported.
    pub bound: Option<u64>,
    /// Description of the first violation, or of the worst case.
    pub first: Option<String>,
}

impl Check {
    /// Returns whether the value is within its bound.
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|b| self.value <= b)
    }
}

/// Computes all checks.
pub(super) fn check(journal: &Journal, fleet: &Fleet) -> Vec<Check> {
    let records: Vec<RunRecord> = fleet.engines().iter().flat_map(|e| e.records()).collect();
    let mut service_runs: HashMap<String, u64> = HashMap::new();
    for call in fleet.services().iter().flat_map(|s| s.calls()) {
        if call.method == "POST" {
            *service_runs.entry(call.body).or_default() += 1;
        }
    }
    let jobs = journal.jobs.borrow();
    let chats = journal.chats.borrow();
    let service_calls = journal.service_calls.borrow();
    let counts = fleet.object_api.counts();
    let accepted: usize = jobs.iter().map(|j| j.lines.len()).sum();
    let completed = jobs.iter().map(|j| j.results.first().map_or(0, Vec::len)).sum::<usize>();
    let unbounded = |name, value| Check { name, value, bound: None, first: None };
    let none_allowed = |name, violations: Vec<String>| Check {
        name,
        value: violations.len() as u64,
        bound: Some(0),
        first: violations.into_iter().next(),
    };
    vec![
        unbounded("online_sent", (chats.len() + service_calls.len()) as u64),
        unbounded(
            "online_answered",
            chats.iter().filter(|c| is_answered(&c.outcome)).count() as u64,
        ),
        unbounded("jobs", jobs.len() as u64),
        unbounded("jobs_not_accepted", journal.jobs_not_accepted.get() as u64),
        unbounded("accepted", accepted as u64),
        unbounded("completed", completed as u64),
        none_allowed("lost", find_lost_items(&jobs)),
        none_allowed("doubled", find_duplicate_results(&jobs)),
        none_allowed("repeated_non_idempotent", find_repeated_calls(&service_runs)),
        none_allowed(
            "ran_after_not_run",
            find_ran_after_not_run(&chats, &service_calls, &jobs, &records, &service_runs),
        ),
        none_allowed("crossed_or_short_answers", find_wrong_answers(&chats, &service_calls, &jobs)),
        none_allowed("bundle_reverted", find_reverted_bundles_and_orders(journal, fleet)),
        slowest_roll(journal),
        slowest_cancellation(journal, &jobs, &records, fleet),
        none_allowed("cut_off_by_planned_stop", find_cut_off_chats(journal, &chats, fleet)),
        max_crashes_per_prompt(journal, fleet),
        none_allowed("bystanders_refused", find_refused_bystanders(journal, &chats)),
        none_allowed("failed_by_store_outage", find_store_failures(&chats)),
        unbounded("rolls", journal.rolls.borrow().len() as u64),
        Check {
            name: "store_writes_per_s_max",
            value: counts.writes_per_s_max,
            bound: Some(max_calls_per_s(ENTRY_RATES.0)),
            first: None,
        },
        Check {
            name: "store_reads_per_s_max",
            value: counts.reads_per_s_max,
            bound: Some(max_calls_per_s(ENTRY_RATES.1)),
            first: None,
        },
    ]
}

/// Returns how many calls all processes together may make in one second.
fn max_calls_per_s(entry_rate: f64) -> u64 {
    (ENTRY_COUNT * entry_rate * RATE_AND_BURST_S + OPERATOR_CALLS) as u64
}

fn is_answered(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Answered { .. })
}

fn is_refused_not_run(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Refused { run, .. } if run == "not-run")
}

fn custom_id(line: &Value) -> &str {
    line["custom_id"].as_str().unwrap_or("")
}

/// Finds items without a result, captions that failed for no allowed reason, and jobs that did not end.
fn find_lost_items(jobs: &[JobLog]) -> Vec<String> {
    let mut found = Vec::new();
    for job in jobs {
        if !matches!(job.status.as_str(), "completed" | "cancelled") {
            found.push(format!("job {} ended as `{}`", job.id, job.status));
        }
        let read: HashSet<&str> =
            job.results.first().into_iter().flatten().map(custom_id).collect();
        for line in job.lines.iter().filter(|l| !read.contains(custom_id(l))) {
            found.push(format!("{} of {} has no result", custom_id(line), job.id));
        }
        // A caption must succeed unless its job was cancelled or it crashes engines.
        let results = job.results.first().into_iter().flatten();
        for line in results.filter(|l| !job.non_idempotent && l["response"].is_null()) {
            let code = line["error"]["code"].as_str().unwrap_or("");
            let allowed = match code {
                "cancelled" => job.status == "cancelled",
                "poison" | "engine-failed" => is_poison(job, custom_id(line)),
                _ => false,
            };
            if !allowed {
                found.push(format!("{} of {} failed: {code}", custom_id(line), job.id));
            }
        }
    }
    found
}

fn is_poison(job: &JobLog, id: &str) -> bool {
    let line = job.lines.iter().find(|l| custom_id(l) == id);
    line.is_some_and(|l| prompt_text(&l["body"]).contains(super::CRASH_MARK))
}

/// Finds items with two results, and results that changed over time or differ between entries.
fn find_duplicate_results(jobs: &[JobLog]) -> Vec<String> {
    let mut found = Vec::new();
    for job in jobs {
        let Some(first) = job.results.first() else { continue };
        let mut by_id: HashMap<&str, &Value> = HashMap::new();
        for line in first {
            if by_id.insert(custom_id(line), line).is_some() {
                found.push(format!("{} of {} has two results", custom_id(line), job.id));
            }
        }
        for line in job.partial_results.iter().chain(job.results.iter().flatten()) {
            if by_id.get(custom_id(line)) != Some(&line) {
                found.push(format!("{} of {} changed its result", custom_id(line), job.id));
            }
        }
    }
    found
}

/// Finds service calls that ran more than once.
fn find_repeated_calls(service_runs: &HashMap<String, u64>) -> Vec<String> {
    let repeated = service_runs.iter().filter(|(_, count)| **count > 1);
    repeated.map(|(body, count)| format!("{body} ran {count} times")).collect()
}

/// Finds requests and items that were reported as not run but did run.
fn find_ran_after_not_run(
    chats: &[ChatLog],
    service_calls: &[ServiceCallLog],
    jobs: &[JobLog],
    records: &[RunRecord],
    service_runs: &HashMap<String, u64>,
) -> Vec<String> {
    let mut found = Vec::new();
    let ran: HashSet<u64> = records.iter().map(|r| r.prompt_hash).collect();
    for chat in chats.iter().filter(|c| !c.resent && is_refused_not_run(&c.outcome)) {
        if ran.contains(&chat.prompt_hash) {
            found.push(format!("a chat was refused as not run but ran: {:?}", chat.outcome));
        }
    }
    for service_call in service_calls {
        if service_call.outcomes.iter().all(is_refused_not_run)
            && service_runs.contains_key(&service_call.body)
        {
            found.push(format!(
                "{} was refused as not run but ran: {:?}",
                service_call.body, service_call.outcomes
            ));
        }
    }
    for job in jobs.iter().filter(|j| j.non_idempotent) {
        for line in job.results.first().into_iter().flatten() {
            let input = job.lines.iter().find(|l| custom_id(l) == custom_id(line));
            let body = input.map(|l| l["body"].to_string()).unwrap_or_default();
            if line["error"]["run_state"] == "not-run" && service_runs.contains_key(&body) {
                found.push(format!("item {body} ended as not run but ran: {}", line["error"]));
            }
        }
    }
    found
}

/// Finds answers that belong to another request or are incomplete.
fn find_wrong_answers(
    chats: &[ChatLog],
    service_calls: &[ServiceCallLog],
    jobs: &[JobLog],
) -> Vec<String> {
    let mut found = Vec::new();
    for chat in chats.iter().filter(|c| c.wrong) {
        found.push(format!("a chat got the wrong answer: {:?}", chat.outcome));
    }
    for service_call in service_calls {
        for outcome in &service_call.outcomes {
            if let CallOutcome::Answered { text, .. } = outcome
                && !text.contains(&service_call.body)
            {
                found.push(format!("{} got {text}", service_call.body));
            }
        }
        let answers: HashSet<&String> = service_call
            .outcomes
            .iter()
            .filter_map(|e| match e {
                CallOutcome::Answered { text, .. } => Some(text),
                _ => None,
            })
            .collect();
        if answers.len() > 1 {
            found.push(format!("{} got different answers {answers:?}", service_call.body));
        }
    }
    for job in jobs.iter().filter(|j| !j.non_idempotent) {
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

/// Finds entries that went back to an older bundle, engines that carried out an old order, and resent
/// jobs that got a second id.
fn find_reverted_bundles_and_orders(journal: &Journal, fleet: &Fleet) -> Vec<String> {
    let mut found = journal.violations.borrow().clone();
    for (index, engine) in fleet.engines().iter().enumerate() {
        let orders = engine.order_fences();
        for pair in orders.windows(2).filter(|p| p[1] < p[0]) {
            found.push(format!("engine {index} carried out order {} after {}", pair[1], pair[0]));
        }
    }
    found
}

/// Returns the longest fault-free time from a roll until a process used that bundle or a newer one.
fn slowest_roll(journal: &Journal) -> Check {
    let seen = journal.bundle_observations.borrow();
    let processes: HashSet<&String> = seen.iter().map(|s| &s.process).collect();
    let mut slowest = (0, None);
    for roll in journal.rolls.borrow().iter() {
        for process in &processes {
            let first = seen.iter().find(|s| s.process == **process && s.number >= roll.number);
            let at_ms = first.map_or_else(super::journal::unix_ms, |s| s.at_ms);
            let fault_free =
                journal.fault_free_ms(roll.at_ms, at_ms.max(roll.at_ms), Some(process));
            if fault_free > slowest.0 {
                slowest = (fault_free, Some(format!("{process} and bundle {}", roll.number)));
            }
        }
    }
    let (value, first) = slowest;
    Check { name: "bundle_in_force_ms_max", value, bound: Some(MAX_ROLL_DELAY_MS), first }
}

/// Returns the longest fault-free time from a cancellation to the last start of an item of the job.
fn slowest_cancellation(
    journal: &Journal,
    jobs: &[JobLog],
    records: &[RunRecord],
    _fleet: &Fleet,
) -> Check {
    let mut slowest = (0, None);
    for job in jobs.iter().filter(|j| !j.non_idempotent) {
        let Some(cancelled_at_ms) = job.cancelled_at_ms else { continue };
        let prompts: HashSet<u64> =
            job.lines.iter().map(|l| stable_hash(prompt_text(&l["body"]).as_bytes(), 0)).collect();
        let starts = records.iter().filter(|r| prompts.contains(&r.prompt_hash));
        let last = starts.map(|r| r.started_at_ms).max().unwrap_or(0);
        let fault_free = journal.fault_free_ms(cancelled_at_ms, last.max(cancelled_at_ms), None);
        if fault_free > slowest.0 {
            slowest = (fault_free, Some(format!("job {}", job.id)));
        }
    }
    let (value, first) = slowest;
    Check { name: "cancel_stop_ms_max", value, bound: Some(MAX_CANCEL_DELAY_MS), first }
}

/// Finds chats that were cut off, or refused for a reason that a planned stop could cause, while no
/// fault was active and no engine crashed.
fn find_cut_off_chats(journal: &Journal, chats: &[ChatLog], fleet: &Fleet) -> Vec<String> {
    let crashes: Vec<u64> = fleet.engines().iter().flat_map(|e| e.crash_times_ms()).collect();
    let near_crash =
        |c: &ChatLog| crashes.iter().any(|at| *at <= c.to_ms && at + AFTEREFFECT_MS >= c.from_ms);
    let failed = |c: &&ChatLog| match &c.outcome {
        CallOutcome::Cut { .. } | CallOutcome::NoAnswer => true,
        CallOutcome::Refused { reason, .. } => {
            matches!(reason.as_str(), "leaving" | "not-ready" | "no-endpoint" | "link-failed")
        }
        CallOutcome::Answered { .. } => false,
    };
    chats
        .iter()
        .filter(failed)
        .filter(|c| !journal.overlaps(PeriodKind::Fault, c.from_ms, c.to_ms) && !near_crash(c))
        .map(|c| {
            let at = c.from_ms.saturating_sub(journal.started_ms);
            let took = c.to_ms - c.from_ms;
            format!("at {at} ms, after {took} ms, stream {}: {:?}", c.stream, c.outcome)
        })
        .collect()
}

/// Returns the most engine crashes that one prompt caused.
fn max_crashes_per_prompt(journal: &Journal, fleet: &Fleet) -> Check {
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
            format!(
                "sent {from} to {}: {:?}",
                p.to_ms.saturating_sub(journal.started_ms),
                p.outcome
            )
        })
        .collect()
    };
    Check {
        name: "poison_crashes_max",
        value: worst.map_or(0, |(_, list)| list.len() as u64),
        bound: Some(MAX_POISON_CRASHES),
        first: worst.map(|(prompt, list)| format!("{list:?} {:?}", sends(*prompt))),
    }
}

/// Finds ordinary chats that were refused as poison. A chat that ran alone while the injector crashed
/// its engine cannot be told from one that caused the crash, so chats during injected crashes are
/// left out.
fn find_refused_bystanders(journal: &Journal, chats: &[ChatLog]) -> Vec<String> {
    let periods = journal.periods.borrow();
    let near_injected = |c: &ChatLog| {
        periods.iter().any(|p| {
            let crash = p.label.starts_with("crash engine");
            crash && p.from_ms <= c.to_ms && p.from_ms >= c.from_ms
        })
    };
    chats
        .iter()
        .filter(|c| matches!(&c.outcome, CallOutcome::Refused { reason, .. } if reason == "poison"))
        .filter(|c| !near_injected(c))
        .map(|c| {
            let at = c.from_ms.saturating_sub(journal.started_ms);
            format!("a chat at {at} ms was refused as poison")
        })
        .collect()
}

/// Finds chats that were refused because the store was unavailable.
fn find_store_failures(chats: &[ChatLog]) -> Vec<String> {
    chats
        .iter()
        .filter(
            |c| matches!(&c.outcome, CallOutcome::Refused { reason, .. } if reason == "store-unavailable"),
        )
        .map(|c| format!("{:?}", c.outcome))
        .collect()
}
