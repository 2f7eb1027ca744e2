//! What must always hold, on real processes over loopback under one fault each.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use mulberry_standin::engine::EngineFaults;
use mulberry_standin::engine::EngineSettings;
use mulberry_standin::object_api::ObjectApiFaults;
use mulberry_trial::caller::CallOutcome;
use mulberry_trial::caller::Caller;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::OTHER_CLIENT_KEY;
use mulberry_trial::plan::SAMPLE_BUNDLE;
use mulberry_trial::request::ChatRequest;

/// Longest wait for something that must come; nothing is measured with it.
const PATIENCE: Duration = Duration::from_secs(60);

async fn start(engines: usize) -> Fleet {
    let settings = EngineSettings { step_base_us: 3_000, ..EngineSettings::default() };
    let fleet = Fleet::start(FleetPlan::sample(engines, settings)).await.unwrap();
    fleet.roll(SAMPLE_BUNDLE).await.unwrap();
    fleet.wait_ready().await.unwrap();
    fleet
}

fn caller(fleet: &Fleet) -> Caller {
    Caller::new(fleet.entry_addresses(), CLIENT_KEY)
}

fn chat(text: &str, stream: bool) -> ChatRequest {
    ChatRequest {
        model: "caption-7b".to_owned(),
        system: "You write captions.".to_owned(),
        user: text.to_owned(),
        max_tokens: 40,
        stream,
    }
}

fn answer(request: &ChatRequest) -> CallOutcome {
    CallOutcome::Answered { status: 200, text: request.expected_answer() }
}

fn job_lines(count: usize) -> (Vec<ChatRequest>, String) {
    let requests: Vec<ChatRequest> =
        (0..count).map(|i| chat(&format!("caption {i}"), false)).collect();
    let lines =
        requests.iter().enumerate().map(|(i, r)| format!("{}\n", r.job_line(&format!("{i}"))));
    let text = lines.collect();
    (requests, text)
}

async fn create_job(caller: &Caller, lines: &str) -> String {
    let entry = caller.next_entry();
    let file = caller.upload(entry, lines).await.unwrap();
    caller.create_batch(entry, &file, "/v1/chat/completions", None).await.unwrap()
}

/// Waits for a job's end at an entry and returns its state.
async fn wait_for_job(caller: &Caller, entry: std::net::SocketAddr, job: &str) -> Value {
    let started = Instant::now();
    loop {
        let status = caller.get_json(entry, &format!("/v1/batches/{job}")).await;
        if let Ok(status) = status
            && matches!(status["status"].as_str(), Some("completed" | "cancelled"))
        {
            return status;
        }
        assert!(started.elapsed() < PATIENCE, "the job does not end");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn read_lines(caller: &Caller, entry: std::net::SocketAddr, job: &str) -> Vec<Value> {
    let mut lines = caller.file_lines(entry, &format!("output-{job}")).await.unwrap();
    lines.extend(caller.file_lines(entry, &format!("errors-{job}")).await.unwrap());
    lines
}

fn check_answers(requests: &[ChatRequest], lines: &[Value]) {
    let by_id: HashMap<&str, &Value> =
        lines.iter().map(|l| (l["custom_id"].as_str().unwrap(), l)).collect();
    assert_eq!((lines.len(), by_id.len()), (requests.len(), requests.len()));
    for (i, request) in requests.iter().enumerate() {
        let line = by_id[i.to_string().as_str()];
        let text = line.pointer("/response/body/choices/0/message/content");
        assert_eq!(
            text.and_then(Value::as_str),
            Some(request.expected_answer().as_str()),
            "{line}"
        );
    }
}

#[actix_rt::test]
async fn a_job_outlives_a_side_and_its_owner() {
    let mut fleet = start(2).await;
    let caller = caller(&fleet);
    let (requests, lines) = job_lines(300);
    let job = create_job(&caller, &lines).await;
    fleet.kill_side("copywriter-0").await;
    fleet.kill_entry("entry-0").await;
    let survivor = fleet.entries["entry-1"].address;
    let status = wait_for_job(&caller, survivor, &job).await;
    assert_eq!(status["request_counts"]["completed"], 300);
    check_answers(&requests, &read_lines(&caller, survivor, &job).await);
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_job_sent_again_is_the_same_and_nobody_elses() {
    let fleet = start(1).await;
    let caller = caller(&fleet);
    let entries = fleet.entry_addresses();
    let (_, lines) = job_lines(10);
    let file = caller.upload(entries[0], &lines).await.unwrap();
    let path = "/v1/chat/completions";
    let first = caller.create_batch(entries[0], &file, path, Some("key")).await.unwrap();
    let second = caller.create_batch(entries[1], &file, path, Some("key")).await.unwrap();
    assert_eq!(first, second);
    wait_for_job(&caller, entries[1], &first).await;
    let stranger = Caller::new(entries.clone(), OTHER_CLIENT_KEY);
    for path in [
        format!("/v1/batches/{first}"),
        format!("/v1/files/{file}"),
        format!("/v1/files/output-{first}"),
        format!("/v1/files/output-{first}/content"),
    ] {
        assert!(stranger.get_json(entries[0], &path).await.is_err(), "{path}");
    }
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_cancelled_job_stops_whole() {
    let fleet = start(1).await;
    let caller = caller(&fleet);
    let entry = caller.next_entry();
    let (requests, lines) = job_lines(2_000);
    let job = create_job(&caller, &lines).await;
    caller.post_json(entry, &format!("/v1/batches/{job}/cancel")).await.unwrap();
    let status = wait_for_job(&caller, entry, &job).await;
    assert_eq!(status["status"], "cancelled");
    let lines = read_lines(&caller, entry, &job).await;
    assert_eq!(lines.len(), requests.len());
    let again = read_lines(&caller, fleet.entry_addresses()[1], &job).await;
    assert_eq!(lines, again);
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_keyed_call_runs_once_through_two_entries() {
    let fleet = start(1).await;
    let caller = caller(&fleet);
    let entries = fleet.entry_addresses();
    for number in 0..20 {
        let body = format!("gift {number}");
        let call = |i: usize| {
            caller.call_service(entries[i], "POST", "editor-api/gift", Some(&body), &body)
        };
        let (first, second) = futures_util::future::join(call(0), call(1)).await;
        let later =
            caller.call_service(entries[1], "POST", "editor-api/gift", Some(&body), &body).await;
        let answered = [first.outcome, second.outcome, later.outcome]
            .iter()
            .filter(|e| matches!(e, CallOutcome::Answered { .. }))
            .count();
        assert!(answered >= 2, "the first answer was not given again");
    }
    let runs: usize = fleet.services().iter().map(|s| s.calls().len()).sum();
    assert_eq!(runs, 20);
    fleet.stop().await;
}

#[actix_rt::test]
async fn online_goes_on_through_an_outage_of_the_store() {
    let fleet = start(1).await;
    let caller = caller(&fleet);
    let entry = caller.next_entry();
    fleet.object_api.set_faults(ObjectApiFaults { outage: true, ..ObjectApiFaults::default() });
    for number in 0..20 {
        let request = chat(&format!("during the outage {number}"), number % 2 == 0);
        assert_eq!(caller.chat(&request).await.outcome, answer(&request));
    }
    let gift = caller.call_service(entry, "POST", "editor-api/gift", Some("k"), "a gift").await;
    let refused = matches!(&gift.outcome, CallOutcome::Refused { reason, run, .. }
        if reason == "store-unavailable" && run == "not-run");
    assert!(refused, "{:?}", gift.outcome);
    assert!(fleet.services().iter().all(|s| s.calls().is_empty()));
    assert!(caller.upload(entry, &job_lines(1).1).await.is_err());
    fleet.object_api.set_faults(ObjectApiFaults::default());
    let started = Instant::now();
    while caller.upload(entry, &job_lines(1).1).await.is_err() {
        assert!(started.elapsed() < PATIENCE, "the store is not used again");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_poison_costs_two_crashes_and_others_complete() {
    let fleet = start(3).await;
    for engine in fleet.engines() {
        let crash_on = "POISON".to_owned();
        engine.set_faults(EngineFaults { crash_on, ..EngineFaults::default() });
    }
    let caller = caller(&fleet);
    let poison = chat("POISON", false);
    let bystanders: Vec<ChatRequest> =
        (0..12).map(|i| chat(&format!("other {i}"), false)).collect();
    let others = bystanders.iter().map(|r| caller.chat(r));
    let (_, ends) =
        futures_util::future::join(caller.chat(&poison), futures_util::future::join_all(others))
            .await;
    for (request, report) in bystanders.iter().zip(ends) {
        assert_eq!(report.outcome, answer(request));
    }
    for entry in fleet.entry_addresses().into_iter().cycle().take(4) {
        let end = caller.chat_at(entry, &poison).await.outcome;
        assert!(matches!(&end, CallOutcome::Refused { .. }), "{end:?}");
    }
    let crashes: u64 = fleet.engines().iter().map(|e| e.crashes()).sum();
    assert!(crashes <= 2, "{crashes} crashes");
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_planned_stop_cuts_off_nothing() {
    let mut fleet = start(2).await;
    let caller = caller(&fleet);
    let requests: Vec<ChatRequest> =
        (0..30).map(|i| chat(&format!("while stopping {i}"), i % 2 == 0)).collect();
    let side = fleet.take_side("copywriter-1").unwrap();
    let entry = fleet.take_entry("entry-1").unwrap();
    let survivor = fleet.entries["entry-0"].address;
    let first = requests.iter().take(15).map(|r| caller.chat_at(survivor, r));
    let first = futures_util::future::join_all(first);
    let later = requests.iter().skip(15).map(|r| async {
        // Sent while the stop is under way.
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller.chat_at(survivor, r).await
    });
    let later = futures_util::future::join_all(later);
    let stops = futures_util::future::join(side.stop(), entry.stop());
    let (first, (later, _)) =
        futures_util::future::join(first, futures_util::future::join(later, stops)).await;
    for (request, report) in requests.iter().zip(first.into_iter().chain(later)) {
        assert_eq!(report.outcome, answer(request));
    }
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_restarted_entry_does_not_take_an_old_bundle() {
    let mut fleet = start(1).await;
    let text = SAMPLE_BUNDLE.replace("2026-12-01", "2026-12-02");
    let number = fleet.roll(&text).await.unwrap();
    fleet.wait_ready().await.unwrap();
    fleet
        .object_api
        .set_faults(ObjectApiFaults { stale_reads: true, ..ObjectApiFaults::default() });
    fleet.kill_entry("entry-0").await;
    fleet.restart_entry("entry-0").unwrap();
    let address = fleet.entries["entry-0"].address;
    let caller = caller(&fleet);
    let started = Instant::now();
    let mut looks = 0;
    loop {
        let status = caller.get_json(address, "/status").await.unwrap();
        let shown = status["bundle"].as_u64().unwrap();
        assert!(shown == 0 || shown == number, "bundle {shown} came back");
        if shown == number {
            break;
        }
        looks += 1;
        if looks == 100 {
            // The store shows the truth again, which must come into force.
            fleet.object_api.set_faults(ObjectApiFaults::default());
        }
        assert!(started.elapsed() < PATIENCE, "the bundle does not come into force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.stop().await;
}
