//! Online load of the demonstration: chats streamed and whole, lookups, gifts under keys.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_trial::caller::CallOutcome;
use mulberry_trial::caller::CallReport;
use mulberry_trial::caller::Caller;
use mulberry_trial::request::ChatRequest;

/// Mean time between requests of one worker, in milliseconds.
const MEAN_PAUSE_MS: f64 = 60.0;

/// Tries of a call that may be repeated safely, as a client library makes them.
const CLIENT_TRIES: u32 = 3;

/// Kinds of online requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    ChatStream,
    ChatWhole,
    Lookup,
    Gift,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::ChatStream, Kind::ChatWhole, Kind::Lookup, Kind::Gift];

    pub fn as_str(self) -> &'static str {
        match self {
            Kind::ChatStream => "chat, streamed",
            Kind::ChatWhole => "chat, whole",
            Kind::Lookup => "lookup",
            Kind::Gift => "gift, once only",
        }
    }
}

/// One request and how it ended.
pub(crate) struct Done {
    pub kind: Kind,
    pub report: CallReport,
    pub wrong: bool,
    /// Body of a gift, to find it in the service's record.
    pub gift: Option<String>,
}

pub(crate) type DoneList = Rc<RefCell<Vec<Done>>>;

/// Sends requests until `stop` says so.
pub(crate) async fn run_worker(
    worker: u64,
    caller: Rc<Caller>,
    done: DoneList,
    stop: mulberry_process::stop::StopSignal,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(worker);
    let mut number = 0;
    while !stop.is_triggered() {
        let pause_ms = -MEAN_PAUSE_MS * (1.0 - rng.random::<f64>()).ln();
        tokio::time::sleep(Duration::from_micros((pause_ms * 1_000.0) as u64)).await;
        number += 1;
        let ended = match rng.random_range(0..10) {
            0..4 => chat(&caller, worker, number, true).await,
            4..7 => chat(&caller, worker, number, false).await,
            7..9 => lookup(&caller, worker, number).await,
            _ => gift(&caller, worker, number).await,
        };
        done.borrow_mut().push(ended);
    }
}

async fn chat(caller: &Caller, worker: u64, number: u64, stream: bool) -> Done {
    let request = ChatRequest {
        model: "blurb-3b".to_owned(),
        system: format!("You write blurbs for the agency number {}.", number % 5),
        user: format!("Blurb {worker}-{number}, please."),
        max_tokens: 32,
        stream,
    };
    let mut report = caller.chat(&request).await;
    for _ in 1..CLIENT_TRIES {
        // A cut stream is asked for again, as an editor would.
        if !matches!(report.outcome, CallOutcome::Cut { .. } | CallOutcome::NoAnswer) {
            break;
        }
        report = caller.chat(&request).await;
    }
    let wrong = matches!(&report.outcome, CallOutcome::Answered { text, .. } if *text != request.expected_answer());
    let kind = if stream { Kind::ChatStream } else { Kind::ChatWhole };
    Done { kind, report, wrong, gift: None }
}

async fn lookup(caller: &Caller, worker: u64, number: u64) -> Done {
    let path = format!("editor-api/lookup/{worker}?n={number}");
    let mut report = caller.call_service(caller.next_entry(), "GET", &path, None, "").await;
    for _ in 1..CLIENT_TRIES {
        if report.outcome != CallOutcome::NoAnswer {
            break;
        }
        report = caller.call_service(caller.next_entry(), "GET", &path, None, "").await;
    }
    let expected = format!("\"path\":\"/lookup/{worker}?n={number}\"");
    let wrong =
        matches!(&report.outcome, CallOutcome::Answered { text, .. } if !text.contains(&expected));
    Done { kind: Kind::Lookup, report, wrong, gift: None }
}

async fn gift(caller: &Caller, worker: u64, number: u64) -> Done {
    let body = format!("gift-{worker}-{number}");
    let path = "editor-api/gift";
    let key = Some(body.as_str());
    let mut report = caller.call_service(caller.next_entry(), "POST", path, key, &body).await;
    for _ in 1..CLIENT_TRIES {
        // The key makes a resend safe, also after a connection that broke.
        if report.outcome != CallOutcome::NoAnswer {
            break;
        }
        report = caller.call_service(caller.next_entry(), "POST", path, key, &body).await;
    }
    let wrong =
        matches!(&report.outcome, CallOutcome::Answered { text, .. } if !text.contains(&body));
    Done { kind: Kind::Gift, report, wrong, gift: Some(body) }
}
