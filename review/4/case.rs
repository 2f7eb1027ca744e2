//! LOST: a stream that a stopping entry has passed on to a server is cut off by the entry's end.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::thread;

/// Clients, each with a connection of its own that it has used before.
const CLIENTS: u64 = 19;

/// They send one after the other, from the SIGTERM on: the last one 3.8 s after it.
const SENT_EVERY_MS: u64 = 200;

/// For requests sent later than this after the SIGTERM, the rule has no excuse for a server that is
/// still at work at the end of the grace period.
const EXCUSED_MS: u64 = 3_000;

/// 24 events, one each 170 ms: within the pauses of the sheet (400 ms), its deadline (5 s), and the
/// time until the process would be killed (8 s).
const PACE: Pace = Pace { events: 24, gap_ms: 170 };

fn headers(id: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Host", STREAM_HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Model", "m".to_owned()),
        ("Token-Counts", "450,192".to_owned()),
        ("Prompt-Prefix", format!("5c1e07a2:200,{id}:250")),
        ("Deadline-Ms", "5000".to_owned()),
    ]
}

fn main() {
    let record = Record::create("review/4/record.txt");
    let store = Store::start();
    let servers = Servers::new(&store, &record);
    for (n, zone) in ["a", "b", "c"].iter().enumerate() {
        servers.start(&format!("i-7f3a91c{n}"), "lm", zone, PACE);
    }
    store.put("config", "main", configuration(7, &[stream_route("lohu930", 1)]));
    let deployment = Deployment::new(&store, 2, 1);
    deployment.start();
    deployment.wait_until_ready();
    let front = deployment.fronts[0].clone();
    // The servers' entries have come.
    sleep_ms(1_500);

    // Each client makes a request on its connection and keeps the connection, as the pages have it.
    let mut connections = Vec::new();
    let warm: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let front = front.clone();
            thread::spawn(move || {
                let mut connection = ClientConnection::open(front.front).unwrap_or_else(|e| quit(&e.to_string()));
                let id = format!("aa41d07be2a35f{n:02x}");
                let answer = connection.send("POST /lohu930/2f", &headers(&id), b"0123456789", 6_000);
                (connection, answer)
            })
        })
        .collect();
    for client in warm {
        let (connection, answer) = client.join().unwrap_or_else(|_| quit("a client ended"));
        if !matches!(&answer, Answer::Whole(m) if m.status() == 200) {
            quit(&format!("a request before the disruption was not served: {}", answer.describe()));
        }
        connections.push(connection);
    }
    record.line(&format!("{} streams were served whole; their connections stay open", connections.len()));

    let stopped_at = record.now_ms();
    if has_trouble() {
        record.line(&format!("{}: SIGTERM", front.name));
        front.signal(SIGTERM);
    }
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(n, mut connection)| {
            let record = record.clone();
            let at = SENT_EVERY_MS * (n as u64 + 1);
            thread::spawn(move || {
                sleep_ms((stopped_at + at).saturating_sub(record.now_ms()));
                let id = format!("9c41d07be2a35f{n:02x}");
                let sent = record.now_ms() - stopped_at;
                let answer = connection.send("POST /lohu930/2f", &headers(&id), b"0123456789", 6_000);
                record.line(&format!(
                    "client: {id}, sent {sent} ms after the signal, ended {} ms after it: {}",
                    record.now_ms() - stopped_at,
                    answer.describe()
                ));
                (id, sent, answer)
            })
        })
        .collect();
    // The platform kills the process at the end of the grace period.
    if has_trouble() {
        let has_ended = front.wait_for_end(8_000);
        let after = record.now_ms() - stopped_at;
        record.line(&format!("{}: ended {after} ms after the signal, by itself: {has_ended}", front.name));
    }
    let mut lost = Vec::new();
    let mut served = 0;
    for client in clients {
        let (id, sent, answer) = client.join().unwrap_or_else(|_| quit("a client ended"));
        served += usize::from(matches!(&answer, Answer::Whole(m) if m.status() == 200));
        // Passed on to a server, and the connection ended without a complete answer, though no server
        // broke off and the deadline was not reached.
        let is_cut = !matches!(answer, Answer::Whole(_)) && !servers.runs_of(&id).is_empty();
        if is_cut && sent > EXCUSED_MS {
            lost.push(id);
        }
    }
    record.line(&format!("{served} of {CLIENTS} requests were served whole"));
    sleep_ms(300);
    for id in &lost {
        for run in servers.runs_of(id) {
            record.line(&format!("{id}: began at server {} at {} ms, ended {:?}", run.server, run.began_ms, run.ended));
        }
    }
    drop(deployment);
    finish(&record, (!lost.is_empty()).then(|| {
        format!("LOST: {} requests that were passed on to a sound server ended without a complete answer", lost.len())
    }));
}
