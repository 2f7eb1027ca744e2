//! Connections between the system's machines go silent for good, and later a client ends a batch job.

#[path = "../common-2/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use harness::*;

const SERVICE: &str = "copywriter";
const PATH: &str = "/catalogue/";

/// Jobs of the agencies that are done before the disruption, and the items of each.
const EARLY_JOBS: usize = 24;
const EARLY_ITEMS: usize = 2;

/// Items of the job that its client ends.
const ITEMS: usize = 200;

/// A model server's slots, and its pace: an item takes 1.5 s.
const SPEED: Speed = Speed { slots: 8, events: 167, event_ms: 9 };

const DEADLINE_MS: u64 = 4_000;
const READ_MARGIN_MS: u64 = 1_500;
const READ_WAIT_MS: u64 = 1_000;

/// `stability_window_ms`, `ack_timeout_ms` and `cancel_ms` of the settings.
const STABILITY_S: f64 = 3.0;
const ACK_TIMEOUT_S: f64 = 4.0;
const CANCEL_S: f64 = 3.0;

/// Time from the silence to the end of the job, longer than the stability window.
const SILENCE_TO_END_MS: u64 = 4_500;

/// Time after the first call to end the job at which the case ends.
const END_S: f64 = 20.0;

fn main() {
    let record = Record::open();
    let trouble = is_trouble();
    let network = Network::claim();
    let store = Store::start(&network.ip(3, 1));
    store.put("config", "main", &configuration());
    let runs: Runs = Arc::default();
    for number in 1..=2 {
        let id = format!("i-{number:08x}");
        let server = Server::start(&network.ip(4, number), &id, SERVICE, SPEED, &runs, &record);
        store.put("servers", &id, &server.registration(SPEED.slots));
    }
    let mut owners: Vec<Process> =
        (1..=3).map(|n| Process::new(&network, Role::Owner, n)).collect();
    let mut entries: Vec<Process> =
        (1..=2).map(|n| Process::new(&network, Role::Entry, n)).collect();
    let mut proxies = Vec::new();
    for (number, owner) in owners.iter_mut().enumerate() {
        let proxy = Proxy::start(&network.ip(5, number as u8 + 1), owner.peer());
        owner.peer_address = Some(proxy.address);
        proxies.push(proxy);
    }
    owners.iter_mut().for_each(|p| p.start(store.address, true));
    entries.iter_mut().for_each(|p| p.start(store.address, true));
    wait_until_serving(&entries);
    let fronts: Vec<_> = entries.iter().map(Process::front).collect();
    record.say("the system serves");

    // The agencies hand in their catalogues and read the results until they have all.
    let agencies: Vec<_> = (0..EARLY_JOBS)
        .map(|number| {
            let (record, front) = (record.clone(), fronts[number % fronts.len()]);
            thread::spawn(move || run_agency(&record, front, number))
        })
        .collect();
    let done = agencies.into_iter().map(|a| a.join().unwrap()).filter(|done| *done).count();
    record.say(&format!("{done} of {EARLY_JOBS} early jobs are done"));
    if done < EARLY_JOBS {
        quit("not all early jobs were done");
    }

    let id = "9d00e09b52d6a3f8";
    let headers = format!(
        "Request-Id: {id}\r\nContent-Type: application/json\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
    );
    let status = call(
        fronts[0],
        &format!("POST {PATH}{id}"),
        &headers,
        &job_body(id, PATH, ITEMS),
        DEADLINE_MS,
    )
    .status;
    record.say(&format!("client hands in job {id} with {ITEMS} items: {status}"));
    if status != 202 {
        quit("the job was not accepted");
    }
    sleep_ms(1_000);
    if trouble {
        let open: usize = proxies.iter().map(Proxy::open).sum();
        proxies.iter().for_each(Proxy::silence_open);
        record.say(&format!("the {open} open connections to the owners went silent, new ones work: the only disruption"));
    }
    let silent_s = record.now_s();
    // The client reads as clients do until it wants the job to end.
    let mut after = 0;
    let mut turn = 0;
    while record.now_s() < silent_s + SILENCE_TO_END_MS as f64 / 1_000.0 {
        after += read(&record, fronts[turn % fronts.len()], id, after).1;
        turn += 1;
        sleep_ms(300);
    }

    let asked_s = record.now_s();
    let mut acknowledged_s = None;
    let mut attempt = 0;
    while record.now_s() < asked_s + ACK_TIMEOUT_S && acknowledged_s.is_none() {
        let front = fronts[attempt % fronts.len()];
        let status = call(front, &format!("DELETE /api/lots/{id}"), "", "", DEADLINE_MS).status;
        record.say(&format!("client ends job {id} at {front}: {status}"));
        acknowledged_s = (status == 200).then(|| record.now_s());
        attempt += 1;
        sleep_ms(100);
    }
    // Without an acknowledgement the end counts as acknowledged after `ack_timeout_ms`.
    let counted_s = acknowledged_s.unwrap_or(asked_s + ACK_TIMEOUT_S);
    while record.now_s() < asked_s + END_S {
        sleep_ms(200);
    }

    let runs = runs.lock().unwrap();
    let of_job = || runs.iter().filter(|r| r.id.starts_with(id));
    let late: Vec<_> = of_job().filter(|r| r.began_s > counted_s + CANCEL_S).collect();
    record.say(&format!(
        "the end was asked for at {asked_s:.1} s, {:.1} s after the disruption, and counts as acknowledged at {counted_s:.1} s{}; \
         of {} runs of its items {} began more than {CANCEL_S} s after that",
        asked_s - silent_s,
        if acknowledged_s.is_none() { " (no answer of 200)" } else { "" },
        of_job().count(),
        late.len()
    ));
    let is_steady = asked_s - silent_s > STABILITY_S;
    let status = if is_steady && !late.is_empty() { BROKEN } else { HELD };
    record.say(match status {
        BROKEN => "UNASKED is broken: items reached servers and ran later than cancel_ms after the end of their job",
        _ => "the rule held",
    });
    drop((owners, entries));
    drop(network);
    std::process::exit(status);
}

/// Hands in a job and reads its results until all are listed. Returns whether they are.
fn run_agency(record: &Record, front: SocketAddr, number: usize) -> bool {
    let id = format!("7c41e09b{number:08x}");
    let headers = format!(
        "Request-Id: {id}\r\nContent-Type: application/json\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
    );
    let body = job_body(&id, PATH, EARLY_ITEMS);
    let status = call(front, &format!("POST {PATH}{id}"), &headers, &body, DEADLINE_MS).status;
    record.line(&format!("client hands in job {id}: {status}"));
    if status != 202 {
        return false;
    }
    let mut listed = 0;
    for _ in 0..60 {
        listed += read(record, front, &id, listed).1;
        if listed >= EARLY_ITEMS {
            return true;
        }
        sleep_ms(200);
    }
    false
}

/// Reads the results of a job, and lets the call wait for one. Returns the status and the number of results.
fn read(record: &Record, front: SocketAddr, id: &str, after: usize) -> (u16, usize) {
    let line = format!("GET /api/lots/{id}?after={after}");
    let headers = format!("Wait-Ms: {READ_WAIT_MS}\r\n");
    let page = call(front, &line, &headers, "", READ_WAIT_MS + READ_MARGIN_MS);
    let count = results(&page.body).len();
    record.line(&format!(
        "client reads job {id} after {after} at {front}: {} with {count} results",
        page.status
    ));
    (page.status, count)
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"path_prefix\":\"{PATH}\",\
         \"kind\":\"batch\",\"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"attempts\":3,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400,\"completion_target_ms\":18000,\
         \"retention_s\":60,\"max_count\":1200000}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"connection_limit\":180,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
