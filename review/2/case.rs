//! REFUSED: a batch job that was answered 503 at every client attempt runs.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const JOB: &str = "7c41e09b52d6a3f8";

/// How much later the write without an answer is carried out. The pages: 1 to 6 s.
const LATE_MS: u64 = 1_000;

/// For how long the store turns one of three machines away. The site file: 9 s for a third of them.
const TURNED_AWAY_MS: u64 = 5_000;

/// Time that the client has, as on the sheet.
const DEADLINE_MS: u64 = 4_000;

/// What the store does to the machine that holds the job.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Calm,
    /// The next write of the job's object loses its answer.
    Armed,
    /// The answer is lost; the machine has not asked for the object yet.
    Lost,
    /// The machine is turned away, until this time of the record.
    TurnedAway(u64),
}

fn main() {
    let record = Record::create("review/2/record.txt");
    let store = Store::start();
    let servers = Servers::new(&store, &record);
    for (n, zone) in ["a", "b", "c"].iter().enumerate() {
        servers.start(&format!("i-7f3a91c{n}"), "lm", zone, Pace { events: 20, gap_ms: 20 });
    }
    store.put("config", "main", configuration(7, &[batch_route()]));
    let deployment = Deployment::new(&store, 2, 3);
    deployment.start();
    deployment.wait_until_ready();
    warm_up(&deployment, &record);

    let stage = Arc::new(Mutex::new((Stage::Calm, String::new())));
    let last_renewal = Arc::new(AtomicU64::new(0));
    let (judged, renewed, judge_record) = (stage.clone(), last_renewal.clone(), record.clone());
    store.set_judge(move |call| {
        let now = judge_record.now_ms();
        let is_store = call.machine.starts_with("store");
        let mut judged = judged.lock().unwrap();
        match judged.0 {
            Stage::Armed if is_store && call.method == "POST" && call.name == JOB => {
                *judged = (Stage::Lost, call.machine.to_owned());
                judge_record.line(&format!("store: the answer to {}'s POST of {JOB} is lost; it is carried out {LATE_MS} ms later", call.machine));
                return Fate::LoseLate(LATE_MS);
            }
            Stage::Lost if call.machine == judged.1 && call.method == "GET" && call.name == JOB => {
                judged.0 = Stage::TurnedAway(now + TURNED_AWAY_MS);
                judge_record.line(&format!("store: {}'s GET of {JOB} is answered; from now on it is turned away with 429", call.machine));
                return Fate::Serve;
            }
            Stage::TurnedAway(until) if call.machine == judged.1 && now < until => {
                if call.method != "GET" {
                    judge_record.line(&format!("store: {} {} {}: 429 to {}", call.method, call.kind, call.name, call.machine));
                }
                return Fate::Reject(429);
            }
            _ => {}
        }
        if is_store && call.method == "PUT" {
            renewed.store(now, Ordering::SeqCst);
        }
        Fate::Serve
    });

    // Shortly after a conditional write of the owner, so that the play is the same each time.
    let began = record.now_ms();
    while last_renewal.load(Ordering::SeqCst) == 0 {
        if record.now_ms() > began + 5_000 {
            quit("no machine writes to the store under a condition");
        }
        sleep_ms(5);
    }
    if has_trouble() {
        stage.lock().unwrap().0 = Stage::Armed;
    }

    // A client as the pages have it: one retry, at another node, after the time in Retry-After, or a
    // third of the time that it has left.
    let items: Vec<String> = (0..4).map(|i| format!("e5b2907c14da6f{i:02x}")).collect();
    let first_sent = record.now_ms();
    let mut answers = Vec::new();
    for attempt in 0..2 {
        let left = DEADLINE_MS.saturating_sub(record.now_ms() - first_sent);
        let front = &deployment.fronts[attempt];
        record.line(&format!("client: POST of {JOB} to {}, Deadline-Ms {left}", front.name));
        let answer = submit(front, JOB, &items, left);
        record.line(&format!("client: answered {}", answer.describe()));
        let wait_s = match &answer {
            Answer::Whole(m) => m.header("retry-after").and_then(|v| v.parse::<f64>().ok()),
            _ => None,
        };
        answers.push(answer.status());
        if answer.status() == 202 {
            break;
        }
        let left = DEADLINE_MS.saturating_sub(record.now_ms() - first_sent);
        sleep_ms(((wait_s.unwrap_or(0.1) * 1_000.0) as u64).min(left / 3));
    }
    if answers.iter().any(|s| *s == 202) {
        let until = record.now_ms() + 20_000;
        while record.now_ms() < until {
            let page = Json::parse(&read_job(&deployment.fronts[0], JOB, 0, 500).body());
            if page.is_some_and(|p| p.get("results").list().len() == items.len()) {
                break;
            }
            sleep_ms(500);
        }
        record.line("client: the job was accepted, and its results were read");
    } else {
        sleep_ms(15_000);
    }
    let ran: Vec<&String> = items.iter().filter(|id| !servers.runs_of(id).is_empty()).collect();
    record.line(&format!("the client's attempts were answered {answers:?}; {} of {} items ran", ran.len(), items.len()));
    let is_refused = answers.iter().all(|s| [429, 503, 408, 421].contains(s));
    if !has_trouble() && !answers.contains(&202) {
        quit("without the disruption, the job is not accepted");
    }
    drop(deployment);
    finish(&record, (is_refused && !ran.is_empty()).then(|| {
        format!("REFUSED: {} items ran of a batch job that was answered {answers:?}, 503 or 429 at every client attempt", ran.len())
    }));
}
