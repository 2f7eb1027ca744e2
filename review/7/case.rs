//! The operator removes the route of batch jobs that are open.

#[path = "../common-2/harness.rs"]
mod harness;

use std::sync::Arc;

use harness::*;

const SERVICE: &str = "copywriter";
const PATH: &str = "/catalogue/";

/// Jobs and their items, about as many as the sheet says.
const JOBS: usize = 8;
const ITEMS: usize = 10;

/// A model server's slots, and its pace: an item takes 1.5 s.
const SPEED: Speed = Speed { slots: 8, events: 167, event_ms: 9 };

const DEADLINE_MS: u64 = 4_000;
const READ_MARGIN_MS: u64 = 1_500;

/// `config_apply_ms`, `finish_s` and `retention_s` of the settings and the route.
const CONFIG_APPLY_S: f64 = 2.0;
const FINISH_S: f64 = 18.0;
const RETENTION_S: f64 = 60.0;

/// Time for which servers must have had nothing (the rule's last 5 s).
const CALM_S: f64 = 5.0;

/// Time after the change at which the case ends.
const END_S: f64 = RETENTION_S + FINISH_S;

fn main() {
    let record = Record::open();
    let trouble = is_trouble();
    let network = Network::claim();
    let store = Store::start(&network.ip(3, 1));
    store.put("config", "main", &configuration(7, true));
    let runs: Runs = Arc::default();
    let server = Server::start(&network.ip(4, 1), "i-7f3a91c2", SERVICE, SPEED, &runs, &record);
    store.put("servers", &server.id, &server.registration(SPEED.slots));
    let mut owners: Vec<Process> =
        (1..=3).map(|n| Process::new(&network, Role::Owner, n)).collect();
    let mut entries: Vec<Process> =
        (1..=2).map(|n| Process::new(&network, Role::Entry, n)).collect();
    owners.iter_mut().for_each(|p| p.start(store.address, true));
    entries.iter_mut().for_each(|p| p.start(store.address, true));
    wait_until_serving(&entries);
    let fronts: Vec<_> = entries.iter().map(Process::front).collect();
    record.say("the system serves");

    let ids: Vec<String> = (0..JOBS).map(|n| format!("7c41e09b{n:08x}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let headers = format!(
            "Request-Id: {id}\r\nContent-Type: application/json\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        );
        let body = job_body(id, PATH, ITEMS);
        let front = fronts[number % fronts.len()];
        let status = call(front, &format!("POST {PATH}{id}"), &headers, &body, DEADLINE_MS).status;
        record.say(&format!("client hands in job {id} with {ITEMS} items: {status}"));
        if status != 202 {
            quit("a job was not accepted");
        }
    }
    // A part of the items is done by then.
    sleep_ms(4_000);
    let changed_s = record.now_s();
    if trouble {
        store.put("config", "main", &configuration(8, false));
        record.say("the operator wrote version 8 of the configuration, without the route: the only disruption");
    }

    let mut listed = vec![0; JOBS];
    let mut states: Vec<Vec<String>> = vec![Vec::new(); JOBS];
    let mut statuses = vec![0; JOBS];
    let mut wrong = 0;
    while record.now_s() < changed_s + END_S && listed.iter().any(|n| *n < ITEMS) {
        for (number, id) in
            ids.iter().enumerate().filter(|(n, _)| listed[*n] < ITEMS).collect::<Vec<_>>()
        {
            let line = format!("GET /api/lots/{id}?after={}", listed[number]);
            let page = call(fronts[number % fronts.len()], &line, "", "", READ_MARGIN_MS);
            let read = results(&page.body);
            record.line(&format!(
                "client reads job {id} after {}: {} with {} results",
                listed[number],
                page.status,
                read.len()
            ));
            statuses[number] = page.status;
            for (item, state, text) in &read {
                let is_wrong = state == "completed" && !is_whole_text(item, text, SPEED.events);
                wrong += usize::from(is_wrong);
                states[number].push(state.clone());
            }
            listed[number] += read.len();
        }
        sleep_ms(400);
    }
    let ended_s = record.now_s();

    let unlisted: usize = listed.iter().map(|n| ITEMS - n).sum();
    let completed = states.iter().flatten().filter(|s| *s == "completed").count();
    let given_up = states.iter().flatten().filter(|s| *s == "dead_letter").count();
    let runs = runs.lock().unwrap();
    let last_run_s = runs.iter().map(|r| r.ended_s.unwrap_or(ended_s)).fold(0.0, f64::max);
    record.say(&format!(
        "of {} items {completed} are listed as completed, {given_up} as dead_letter, {unlisted} not at all; \
         {wrong} texts are wrong; last answers to reads: {statuses:?}",
        JOBS * ITEMS
    ));
    record.say(&format!(
        "the change came at {changed_s:.1} s, the last run at a server ended at {last_run_s:.1} s, the case at {ended_s:.1} s"
    ));
    let is_owed = unlisted > 0 && ended_s > changed_s + CONFIG_APPLY_S + FINISH_S;
    let is_idle = ended_s - last_run_s > CALM_S;
    let status = if wrong > 0 || is_owed && is_idle { BROKEN } else { HELD };
    record.say(match status {
        BROKEN => {
            "LOST is broken: items of open jobs are listed neither as completed nor as dead_letter"
        }
        _ => "the rule held",
    });
    drop((owners, entries));
    drop(network);
    std::process::exit(status);
}

/// The configuration, with the route of batch jobs or without it. Another route stays.
fn configuration(version: u64, has_batch: bool) -> String {
    let batch = format!(
        "{{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"path_prefix\":\"{PATH}\",\"kind\":\"batch\",\
         \"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":3,\
         \"sticky\":true,\"resumable\":true,\"gap_target_ms\":400,\"completion_target_ms\":18000,\
         \"retention_s\":{RETENTION_S},\"max_count\":1200000}},"
    );
    let batch = if has_batch { batch } else { String::new() };
    format!(
        "{{\"version\":{version},\"routes\":[{batch}{{\"name\":\"r-stream\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/caption/\",\"kind\":\"stream\",\"timeout_ms\":5000,\"target_latency_ms\":300,\
         \"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":2,\"sticky\":true,\"resumable\":true,\
         \"gap_target_ms\":400}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"connection_limit\":180,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
