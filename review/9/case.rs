//! A route of batch jobs is split between two services, and the servers of the first are lost.

#[path = "../common-2/harness.rs"]
mod harness;

use std::sync::Arc;

use harness::*;

/// Services of the route, in the order in which the configuration names them.
const FIRST: &str = "copywriter-a";
const SECOND: &str = "copywriter-b";
const PATH: &str = "/catalogue/";

/// Jobs and their items, about as many as the sheet says.
const JOBS: usize = 8;
const ITEMS: usize = 10;

/// A model server's slots, and its pace: an item takes 1.5 s.
const SPEED: Speed = Speed { slots: 8, events: 167, event_ms: 9 };

const DEADLINE_MS: u64 = 4_000;
const READ_MARGIN_MS: u64 = 1_500;

/// Three heartbeat intervals of 1,200 ms after which the store removes the entry of a silent server.
const SILENCE_MS: u64 = 3_600;

/// `finish_s` of the settings and `retention_s` of the route.
const FINISH_S: f64 = 18.0;
const RETENTION_S: f64 = 60.0;

/// Time for which servers must have had nothing (the rule's last 5 s).
const CALM_S: f64 = 5.0;

/// Time after the loss at which the case ends.
const END_S: f64 = RETENTION_S + FINISH_S;

fn main() {
    let record = Record::open();
    let trouble = is_trouble();
    let network = Network::claim();
    let store = Store::start(&network.ip(3, 1));
    store.put("config", "main", &configuration());
    let runs: Runs = Arc::default();
    let first = Server::start(&network.ip(4, 1), "i-7f3a91c2", FIRST, SPEED, &runs, &record);
    let second = Server::start(&network.ip(4, 2), "i-02d9e6b4", SECOND, SPEED, &runs, &record);
    for server in [&first, &second] {
        store.put("servers", &server.id, &server.registration(SPEED.slots));
    }
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
    let lost_s = record.now_s();
    if trouble {
        first.crash();
        record
            .say(&format!("server {} of {FIRST} crashed for good: the only disruption", first.id));
        sleep_ms(SILENCE_MS);
        store.remove("servers", &first.id);
        record.say("the store removed its entry after three heartbeat intervals");
    }

    let mut listed = vec![0; JOBS];
    let mut states: Vec<Vec<String>> = vec![Vec::new(); JOBS];
    let mut statuses = vec![0; JOBS];
    let mut wrong = 0;
    while record.now_s() < lost_s + END_S && listed.iter().any(|n| *n < ITEMS) {
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
    let runs = runs.lock().unwrap();
    let last_run_s = runs.iter().map(|r| r.ended_s.unwrap_or(lost_s)).fold(0.0, f64::max);
    let at_second = runs.iter().filter(|r| r.server == second.id).count();
    record.say(&format!(
        "of {} items {completed} are listed as completed, {unlisted} not at all; {wrong} texts are wrong; \
         last answers to reads: {statuses:?}",
        JOBS * ITEMS
    ));
    record.say(&format!(
        "the loss came at {lost_s:.1} s, the last run at a server ended at {last_run_s:.1} s, the case at {ended_s:.1} s; \
         {at_second} runs at {SECOND}, which has run all the while and has {} free slots",
        SPEED.slots - second.running()
    ));
    let is_owed = unlisted > 0 && ended_s > lost_s + FINISH_S;
    let is_idle = ended_s - last_run_s > CALM_S;
    let status = if wrong > 0 || is_owed && is_idle { BROKEN } else { HELD };
    record.say(match status {
        BROKEN => "LOST is broken: items of open jobs are not listed, though a server that may run them is idle",
        _ => "the rule held",
    });
    drop((owners, entries));
    drop(network);
    std::process::exit(status);
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"path_prefix\":\"{PATH}\",\
         \"kind\":\"batch\",\"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":2,\
         \"traffic_split\":[{{\"service\":\"{FIRST}\",\"weight\":50}},{{\"service\":\"{SECOND}\",\"weight\":50}}],\
         \"attempts\":3,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400,\"completion_target_ms\":18000,\
         \"retention_s\":{RETENTION_S},\"max_count\":1200000}}],\
         \"services\":[{{\"name\":\"{FIRST}\",\"health_path\":\"/health\",\"connection_limit\":180,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"{SECOND}\",\"health_path\":\"/health\",\
         \"connection_limit\":180,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
