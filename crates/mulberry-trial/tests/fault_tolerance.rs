//! Guarantees to callers, checked on real processes over loopback with one fault in each test.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use mulberry_link::LinkConnection;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::link::FromOwner;
use mulberry_protocol::link::ToOwner;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::name::ServiceName;
use mulberry_standin::engine::EngineFaults;
use mulberry_standin::engine::EngineSettings;
use mulberry_standin::object_api::ObjectApiFaults;
use mulberry_trial::caller::CallOutcome;
use mulberry_trial::caller::Caller;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::OTHER_CLIENT_KEY;
use mulberry_trial::plan::PEER_SECRET;
use mulberry_trial::plan::SAMPLE_BUNDLE;
use mulberry_trial::request::ChatRequest;

/// Timeout for a state that must be reached. Generous, as no test measures how long it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

async fn start_fleet(engines: usize) -> Fleet {
    let settings = EngineSettings { step_base_us: 3_000, ..EngineSettings::default() };
    let fleet = Fleet::start(FleetPlan::sample(engines, settings)).await.unwrap();
    fleet.roll(SAMPLE_BUNDLE).await.unwrap();
    fleet.wait_ready().await.unwrap();
    fleet
}

fn new_caller(fleet: &Fleet) -> Caller {
    Caller::new(fleet.entry_addresses(), CLIENT_KEY)
}

fn chat_request(text: &str, stream: bool) -> ChatRequest {
    ChatRequest {
        model: "caption-7b".to_owned(),
        system: "You write captions.".to_owned(),
        user: text.to_owned(),
        max_tokens: 40,
        stream,
    }
}

fn correct_answer(request: &ChatRequest) -> CallOutcome {
    CallOutcome::Answered { status: 200, text: request.expected_answer() }
}

fn job_input(count: usize) -> (Vec<ChatRequest>, String) {
    let requests: Vec<ChatRequest> =
        (0..count).map(|i| chat_request(&format!("caption {i}"), false)).collect();
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

/// Polls a job through an entry until it has ended, and returns its last status.
async fn wait_for_job(caller: &Caller, entry: std::net::SocketAddr, job: &str) -> Value {
    let started = Instant::now();
    loop {
        let status = caller.get_json(entry, &format!("/v1/batches/{job}")).await;
        if let Ok(status) = status
            && matches!(status["status"].as_str(), Some("completed" | "cancelled"))
        {
            return status;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the job {job} has not ended in {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn read_results(caller: &Caller, entry: std::net::SocketAddr, job: &str) -> Vec<Value> {
    let mut lines = caller.file_lines(entry, &format!("output-{job}")).await.unwrap();
    lines.extend(caller.file_lines(entry, &format!("errors-{job}")).await.unwrap());
    lines
}

fn assert_answers(requests: &[ChatRequest], lines: &[Value]) {
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

/// Guards against items lost with the side that runs them or with the entry that owns the job.
#[actix_rt::test]
async fn a_job_completes_after_a_side_and_an_entry_are_killed() {
    let mut fleet = start_fleet(2).await;
    let caller = new_caller(&fleet);
    let (requests, lines) = job_input(300);
    let job = create_job(&caller, &lines).await;
    fleet.kill_side("copywriter-0").await;
    fleet.kill_entry("entry-0").await;
    let survivor = fleet.entries["entry-1"].address;
    let status = wait_for_job(&caller, survivor, &job).await;
    assert_eq!(status["request_counts"]["completed"], 300);
    assert_answers(&requests, &read_results(&caller, survivor, &job).await);
    fleet.stop().await;
}

/// Pulls items from the job owners as a side does, until one has some. Returns the link that has got them.
async fn pull_items(fleet: &Fleet) -> LinkConnection {
    let secrets = SecretKeyring::parse(PEER_SECRET).unwrap();
    let mut links = Vec::new();
    for entry in fleet.entries.values() {
        let owner = entry.process.as_ref().unwrap().owner_address;
        links.push(LinkConnection::connect(owner, &secrets).await.unwrap());
    }
    let pull = ToOwner::Pull {
        endpoint: "silent".into(),
        service: ServiceName::new("copywriter"),
        models: vec![ModelName::new("caption-7b")],
        room: 4,
    };
    loop {
        for index in 0..links.len() {
            links[index].send(&pull).await.unwrap();
            if matches!(links[index].receive().await, Ok(FromOwner::Items(items)) if !items.is_empty())
            {
                return links.swap_remove(index);
            }
        }
    }
}

/// Guards against what is related to review/8: items waited for good for a side whose link to the job owner had gone
/// silent without being closed.
#[actix_rt::test]
async fn items_of_a_side_that_went_silent_run_elsewhere() {
    let fleet = start_fleet(1).await;
    let caller = new_caller(&fleet);
    let (requests, lines) = job_input(300);
    let job = create_job(&caller, &lines).await;
    let mut silent = pull_items(&fleet).await;
    // From here on the owner expects more of it.
    silent.send_alive().await.unwrap();
    // The link stays open and carries nothing more.
    let entry = caller.next_entry();
    let status = wait_for_job(&caller, entry, &job).await;
    assert_eq!(status["request_counts"]["completed"], 300);
    assert_answers(&requests, &read_results(&caller, entry, &job).await);
    drop(silent);
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_resent_job_keeps_its_id_and_is_hidden_from_other_clients() {
    let fleet = start_fleet(1).await;
    let caller = new_caller(&fleet);
    let entries = fleet.entry_addresses();
    let (_, lines) = job_input(10);
    let file = caller.upload(entries[0], &lines).await.unwrap();
    let path = "/v1/chat/completions";
    let first = caller.create_batch(entries[0], &file, path, Some("key")).await.unwrap();
    let second = caller.create_batch(entries[1], &file, path, Some("key")).await.unwrap();
    assert_eq!(first, second);
    wait_for_job(&caller, entries[1], &first).await;
    let other_client = Caller::new(entries.clone(), OTHER_CLIENT_KEY);
    for path in [
        format!("/v1/batches/{first}"),
        format!("/v1/files/{file}"),
        format!("/v1/files/output-{first}"),
        format!("/v1/files/output-{first}/content"),
    ] {
        assert!(other_client.get_json(entries[0], &path).await.is_err(), "{path}");
    }
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_cancelled_job_has_one_final_result_per_item() {
    let fleet = start_fleet(1).await;
    let caller = new_caller(&fleet);
    let entry = caller.next_entry();
    let (requests, lines) = job_input(2_000);
    let job = create_job(&caller, &lines).await;
    caller.post_json(entry, &format!("/v1/batches/{job}/cancel")).await.unwrap();
    let status = wait_for_job(&caller, entry, &job).await;
    assert_eq!(status["status"], "cancelled");
    let lines = read_results(&caller, entry, &job).await;
    assert_eq!(lines.len(), requests.len());
    let again = read_results(&caller, fleet.entry_addresses()[1], &job).await;
    assert_eq!(lines, again);
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_keyed_call_runs_once_through_two_entries() {
    let fleet = start_fleet(1).await;
    let caller = new_caller(&fleet);
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
        assert!(
            answered >= 2,
            "call {number}: {answered} of 3 calls with the same key were answered"
        );
    }
    let runs: usize = fleet.services().iter().map(|s| s.calls().len()).sum();
    assert_eq!(runs, 20);
    fleet.stop().await;
}

#[actix_rt::test]
async fn online_requests_succeed_during_a_store_outage() {
    let fleet = start_fleet(1).await;
    let caller = new_caller(&fleet);
    let entry = caller.next_entry();
    fleet.object_api.set_faults(ObjectApiFaults { outage: true, ..ObjectApiFaults::default() });
    for number in 0..20 {
        let request = chat_request(&format!("during the outage {number}"), number % 2 == 0);
        assert_eq!(caller.chat(&request).await.outcome, correct_answer(&request));
    }
    let gift = caller.call_service(entry, "POST", "editor-api/gift", Some("k"), "a gift").await;
    let refused = matches!(&gift.outcome, CallOutcome::Refused { reason, run, .. }
        if reason == "store-unavailable" && run == "not-run");
    assert!(refused, "{:?}", gift.outcome);
    assert!(fleet.services().iter().all(|s| s.calls().is_empty()));
    assert!(caller.upload(entry, &job_input(1).1).await.is_err());
    fleet.object_api.set_faults(ObjectApiFaults::default());
    let started = Instant::now();
    while caller.upload(entry, &job_input(1).1).await.is_err() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "uploads still fail after the outage");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_poison_request_causes_at_most_two_crashes_and_others_complete() {
    let fleet = start_fleet(3).await;
    for engine in fleet.engines() {
        let crash_on = "POISON".to_owned();
        engine.set_faults(EngineFaults { crash_on, ..EngineFaults::default() });
    }
    let caller = new_caller(&fleet);
    let poison = chat_request("POISON", false);
    let bystanders: Vec<ChatRequest> =
        (0..12).map(|i| chat_request(&format!("other {i}"), false)).collect();
    let others = bystanders.iter().map(|r| caller.chat(r));
    let (_, reports) =
        futures_util::future::join(caller.chat(&poison), futures_util::future::join_all(others))
            .await;
    for (request, report) in bystanders.iter().zip(reports) {
        assert_eq!(report.outcome, correct_answer(request));
    }
    for entry in fleet.entry_addresses().into_iter().cycle().take(4) {
        let outcome = caller.chat_at(entry, &poison).await.outcome;
        assert!(matches!(&outcome, CallOutcome::Refused { .. }), "{outcome:?}");
    }
    let crashes: u64 = fleet.engines().iter().map(|e| e.crashes()).sum();
    assert!(crashes <= 2, "{crashes} crashes, expected at most 2");
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_planned_stop_interrupts_no_request() {
    let mut fleet = start_fleet(2).await;
    let caller = new_caller(&fleet);
    let requests: Vec<ChatRequest> =
        (0..30).map(|i| chat_request(&format!("while stopping {i}"), i % 2 == 0)).collect();
    let side = fleet.take_side("copywriter-1").unwrap();
    let entry = fleet.take_entry("entry-1").unwrap();
    let survivor = fleet.entries["entry-0"].address;
    let first = requests.iter().take(15).map(|r| caller.chat_at(survivor, r));
    let first = futures_util::future::join_all(first);
    let later = requests.iter().skip(15).map(|r| async {
        // Late enough that the stops have begun.
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller.chat_at(survivor, r).await
    });
    let later = futures_util::future::join_all(later);
    let stops = futures_util::future::join(side.stop(), entry.stop());
    let (first, (later, _)) =
        futures_util::future::join(first, futures_util::future::join(later, stops)).await;
    for (request, report) in requests.iter().zip(first.into_iter().chain(later)) {
        assert_eq!(report.outcome, correct_answer(request));
    }
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_restarted_entry_ignores_a_stale_bundle() {
    let mut fleet = start_fleet(1).await;
    let text = SAMPLE_BUNDLE.replace("2026-12-01", "2026-12-02");
    let number = fleet.roll(&text).await.unwrap();
    fleet.wait_ready().await.unwrap();
    fleet
        .object_api
        .set_faults(ObjectApiFaults { stale_reads: true, ..ObjectApiFaults::default() });
    fleet.kill_entry("entry-0").await;
    fleet.restart_entry("entry-0").unwrap();
    let address = fleet.entries["entry-0"].address;
    let caller = new_caller(&fleet);
    let started = Instant::now();
    let mut polls = 0;
    loop {
        let status = caller.get_json(address, "/status").await.unwrap();
        let shown = status["bundle"].as_u64().unwrap();
        assert!(shown == 0 || shown == number, "bundle {shown} is in force, older than {number}");
        if shown == number {
            break;
        }
        polls += 1;
        if polls == 100 {
            // From here on reads are current, so the newer bundle must come into force.
            fleet.object_api.set_faults(ObjectApiFaults::default());
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "bundle {number} is not in force after {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.stop().await;
}
