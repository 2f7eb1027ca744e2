//! A version of the configuration removes one route. The names of the routes are their places in the list, so that the
//! others move up by one.

#[path = "../common-3/harness.rs"]
mod harness;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use harness::*;

const CASE: &str = "12";
const ITEMS: usize = 40;
/// Time for which the run goes on after the new version.
const WATCH: Duration = Duration::from_secs(40);

fn main() {
    let record = Record::new(CASE);
    let code = run(&record);
    record.note(format!("exit {code}"));
    record.write();
    std::process::exit(code);
}

/// Returns a configuration whose routes, each a host and a service, are named by their places.
fn configuration(version: u64, routes: &[(&str, &str)]) -> Json {
    let mut configuration = batch_configuration(60);
    let Json::Obj(fields) = &mut configuration else { return configuration };
    for (name, value) in fields {
        match name.as_str() {
            "version" => *value = Json::num(version),
            "routes" => {
                let template = value.items()[0].clone();
                let made = routes.iter().enumerate().map(|(place, (host, service))| {
                    let Json::Obj(fields) = &template else { return Json::Null };
                    let set = |(name, value): &(String, Json)| match name.as_str() {
                        "name" => (name.clone(), Json::str(&format!("r-{place}"))),
                        "host" => (name.clone(), Json::str(host)),
                        "service" => (name.clone(), Json::str(service)),
                        _ => (name.clone(), value.clone()),
                    };
                    Json::Obj(fields.iter().map(set).collect())
                });
                *value = Json::List(made.collect());
            }
            "services" => {
                let template = value.items()[0].clone();
                let made = ["lm", "lm-other"].map(|service| {
                    let Json::Obj(fields) = &template else { return Json::Null };
                    let set = |(name, value): &(String, Json)| match name.as_str() {
                        "name" => (name.clone(), Json::str(service)),
                        _ => (name.clone(), value.clone()),
                    };
                    Json::Obj(fields.iter().map(set).collect())
                });
                *value = Json::List(made.to_vec());
            }
            _ => {}
        }
    }
    configuration
}

fn run(record: &Record) -> i32 {
    let net = Net::claim();
    let folder = Folder::new(CASE);
    let limits = Limits { memory_mb: 290, writes_per_s: 400, reads_per_s: 2_000 };
    let store = Store::start(net.ip(0, 2), 400);
    // Jobs of shed.example go to the service lm in both versions, those of other.example to lm-other.
    let before = [("old.example", "lm"), ("shed.example", "lm"), ("other.example", "lm-other")];
    let after = [("shed.example", "lm"), ("other.example", "lm-other")];
    store.put("config", "main", configuration(7, &before));
    let start = |group: u8, count: u8, service: &str, seen: &Arc<Mutex<Seen>>| {
        for n in 0..count {
            let id = format!("i-{service}-{n}");
            let engine = Engine {
                id: id.clone(),
                slots: 4,
                event_time: Duration::from_millis(200),
                idle: Duration::from_secs(5),
                memory_tokens: 72_000,
            };
            let server = EngineServer::start(net.ip(group, n + 10), engine, seen.clone());
            let mut entry = registration(server.address, 4, "ready", 1);
            if let Json::Obj(fields) = &mut entry {
                fields.iter_mut().filter(|(n, _)| n == "service").for_each(|(_, v)| *v = Json::str(service));
            }
            store.put("servers", &id, entry);
        }
    };
    let (own, other): (Arc<Mutex<Seen>>, Arc<Mutex<Seen>>) = Default::default();
    start(3, 2, "lm", &own);
    start(4, 2, "lm-other", &other);
    let Some((entries, _owners)) = start_system(&net, &folder, &store, limits, (2, 3)) else {
        record.note("the system did not start");
        return 2;
    };
    let job = "7c41e09b52d6a3f8";
    let items: Vec<Item> = (0..ITEMS)
        .map(|i| Item {
            id: format!("e5b2907c14da6f{i:02}"),
            tokens: (350, 96),
            body: format!("body {i}").into_bytes(),
        })
        .collect();
    let status = hand_in(entries[0].callers(), job, &items);
    record.note(format!("job {job} of {ITEMS} items for shed.example handed in: {status}"));
    if status != 202 {
        return 2;
    }
    std::thread::sleep(Duration::from_millis(3_000));
    if is_trouble() {
        store.put("config", "main", configuration(8, &after));
        record.note("the store has acknowledged version 8: the route of old.example is removed");
    }
    let began = Instant::now();
    let mut listed = 0;
    while began.elapsed() < WATCH && listed < ITEMS {
        std::thread::sleep(Duration::from_millis(500));
        let answer = read_job(entries[0].callers(), job).filter(|a| a.status == 200);
        listed = answer.map_or(0, |a| results_of(&a).len());
    }
    record.note(format!("{listed} of {ITEMS} items are listed"));
    record.note(format!("{} runs at servers of lm", lock(&own).runs.len()));
    let strange = lock(&other).runs.clone();
    for (item, server, _) in &strange {
        record.note(format!("item {item} of shed.example ran at {server}, a server of lm-other"));
    }
    record.note(format!("{} runs at servers of lm-other, which no version allows", strange.len()));
    i32::from(!strange.is_empty())
}
