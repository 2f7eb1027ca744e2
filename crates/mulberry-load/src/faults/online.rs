//! Sends the online load: chats, service calls that must run at most once, and requests that crash
//! engines.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_protocol::digest::stable_hash;
use mulberry_trial::caller::CallOutcome;
use mulberry_trial::request::ChatRequest;

use super::CRASH_MARK;
use super::journal::ChatLog;
use super::journal::Journal;
use super::journal::ServiceCallLog;
use super::journal::unix_ms;

/// Mean interval between requests of one worker, in milliseconds.
const MEAN_INTERVAL_MS: f64 = 80.0;

/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 4;

/// Delay before a caller sends a request again.
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// Mean interval between requests that crash engines, in milliseconds.
const MEAN_POISON_INTERVAL_MS: f64 = 3_500.0;

fn new_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

async fn sleep_random(mean_ms: f64, rng: &mut ChaCha8Rng) {
    let delay_ms = -mean_ms * (1.0 - rng.random::<f64>()).ln();
    tokio::time::sleep(Duration::from_micros((delay_ms * 1_000.0) as u64)).await;
}

/// Sends chats, half of them streamed, until the load ends.
pub(super) async fn send_chats(worker: u64, seed: u64, journal: Rc<Journal>) {
    let mut rng = new_rng(seed, worker);
    let mut number = 0;
    while !journal.stop_load.is_triggered() {
        sleep_random(MEAN_INTERVAL_MS, &mut rng).await;
        number += 1;
        let request = ChatRequest {
            model: "blurb-3b".to_owned(),
            system: format!("You write blurbs for agency {}.", number % 4),
            user: format!("Blurb {worker}-{number} of run {seed}."),
            max_tokens: rng.random_range(4..40),
            stream: rng.random_bool(0.5),
        };
        send_chat(&request, &journal, &mut rng).await;
    }
}

async fn send_chat(request: &ChatRequest, journal: &Journal, rng: &mut ChaCha8Rng) {
    let prompt = format!("{}\n{}", request.system, request.user);
    let prompt_hash = stable_hash(prompt.as_bytes(), 0);
    let mut entry = journal.pick_entry(None, rng);
    for send in 0..MAX_ATTEMPTS {
        let from_ms = unix_ms();
        let report = journal.caller.chat_at(entry, request).await;
        let outcome = report.outcome;
        let wrong = matches!(&outcome, CallOutcome::Answered { text, .. } if *text != request.expected_answer());
        let resend = matches!(outcome, CallOutcome::NoAnswer | CallOutcome::Cut { .. });
        journal.chats.borrow_mut().push(ChatLog {
            from_ms,
            to_ms: unix_ms(),
            prompt_hash,
            resent: send > 0,
            stream: request.stream,
            wrong,
            outcome,
        });
        if !resend {
            return;
        }
        tokio::time::sleep(RESEND_DELAY).await;
        entry = journal.pick_entry(Some(entry), rng);
    }
}

/// Sends service calls that must run at most once, until the load ends. Calls with an idempotency key
/// are sent again after a failure; calls without one are sent once.
pub(super) async fn send_service_calls(worker: u64, seed: u64, journal: Rc<Journal>) {
    let mut rng = new_rng(seed, 100 + worker);
    let mut number = 0;
    while !journal.stop_load.is_triggered() {
        sleep_random(MEAN_INTERVAL_MS * 2.0, &mut rng).await;
        number += 1;
        let keyed = rng.random_bool(0.6);
        let body = format!("gift-{seed}-{worker}-{number}");
        let mut log = ServiceCallLog { body, keyed, outcomes: Vec::new() };
        send_service_call(&mut log, &journal, &mut rng).await;
        journal.service_calls.borrow_mut().push(log);
    }
}

async fn send_service_call(log: &mut ServiceCallLog, journal: &Journal, rng: &mut ChaCha8Rng) {
    let path = "editor-api/gift";
    let key = log.keyed.then_some(log.body.as_str());
    let mut entry = journal.pick_entry(None, rng);
    let caller = &journal.caller;
    if log.keyed && rng.random_bool(0.25) {
        // The client sends the call again while the first attempt still runs.
        let other = journal.pick_entry(Some(entry), rng);
        let first = caller.call_service(entry, "POST", path, key, &log.body);
        let second = caller.call_service(other, "POST", path, key, &log.body);
        let (first, second) = tokio::join!(first, second);
        log.outcomes.extend([first.outcome, second.outcome]);
        return;
    }
    for _ in 0..MAX_ATTEMPTS {
        let report = caller.call_service(entry, "POST", path, key, &log.body).await;
        let answered = matches!(report.outcome, CallOutcome::Answered { .. });
        log.outcomes.push(report.outcome);
        if answered || !log.keyed {
            return;
        }
        tokio::time::sleep(RESEND_DELAY).await;
        entry = journal.pick_entry(Some(entry), rng);
    }
}

/// Sends requests that crash every engine that runs them, each one several times, until the load ends.
pub(super) async fn send_poison(seed: u64, journal: Rc<Journal>) {
    let mut rng = new_rng(seed, 200);
    let mut number = 0;
    while !journal.stop_load.is_triggered() {
        sleep_random(MEAN_POISON_INTERVAL_MS, &mut rng).await;
        if journal.stop_load.is_triggered() {
            return;
        }
        number += 1;
        let request = ChatRequest {
            model: "blurb-3b".to_owned(),
            system: "You write blurbs.".to_owned(),
            user: format!("{CRASH_MARK} {number} of run {seed}."),
            max_tokens: 8,
            stream: rng.random_bool(0.5),
        };
        let prompt = format!("{}\n{}", request.system, request.user);
        let prompt_hash = stable_hash(prompt.as_bytes(), 0);
        for send in 0..MAX_ATTEMPTS {
            let entry = journal.pick_entry(None, &mut rng);
            let from_ms = unix_ms();
            let outcome = journal.caller.chat_at(entry, &request).await.outcome;
            journal.poison.borrow_mut().push(ChatLog {
                from_ms,
                to_ms: unix_ms(),
                prompt_hash,
                resent: send > 0,
                stream: request.stream,
                wrong: false,
                outcome,
            });
            tokio::time::sleep(RESEND_DELAY).await;
        }
    }
}
