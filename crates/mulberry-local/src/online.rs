//! Online load of the demonstration: streamed and unstreamed chats, lookups in the plain service,
//! and gifts that must run at most once and carry an idempotency key.

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

/// Mean of the exponentially distributed delay before each request of a worker, in milliseconds.
const MEAN_DELAY_MS: f64 = 60.0;

/// Most attempts at a call that is safe to repeat, as a client library would make.
const MAX_ATTEMPTS: u32 = 3;

/// Kind of an online request. Each has a row in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RequestKind {
    ChatStream,
    ChatUnstreamed,
    Lookup,
    Gift,
}

impl RequestKind {
    /// All kinds, in the order of the table's rows.
    pub const ALL: [RequestKind; 4] = [
        RequestKind::ChatStream,
        RequestKind::ChatUnstreamed,
        RequestKind::Lookup,
        RequestKind::Gift,
    ];

    /// Returns the label of the table's row.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::ChatStream => "chat, streamed",
            RequestKind::ChatUnstreamed => "chat, whole",
            RequestKind::Lookup => "lookup",
            RequestKind::Gift => "gift, once only",
        }
    }
}

/// An online request that has ended, after any repeats.
pub(crate) struct OnlineRequest {
    pub kind: RequestKind,
    /// Report of the last attempt.
    pub report: CallReport,
    /// Whether the response was complete, but not the expected one.
    pub wrong: bool,
    /// Body of a gift, which identifies it in the records of the service.
    pub gift: Option<String>,
}

/// Ended requests of all workers.
pub(crate) type OnlineLog = Rc<RefCell<Vec<OnlineRequest>>>;

/// Sends requests of random kinds, one after the other, until `stop` is triggered. The random
/// choices are seeded with the worker's number.
pub(crate) async fn run_worker(
    worker: u64,
    caller: Rc<Caller>,
    log: OnlineLog,
    stop: mulberry_process::stop::StopSignal,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(worker);
    let mut number = 0;
    while !stop.is_triggered() {
        let delay_ms = -MEAN_DELAY_MS * (1.0 - rng.random::<f64>()).ln();
        tokio::time::sleep(Duration::from_micros((delay_ms * 1_000.0) as u64)).await;
        number += 1;
        let request = match rng.random_range(0..10) {
            0..4 => chat(&caller, worker, number, true).await,
            4..7 => chat(&caller, worker, number, false).await,
            7..9 => lookup(&caller, worker, number).await,
            _ => gift(&caller, worker, number).await,
        };
        log.borrow_mut().push(request);
    }
}

async fn chat(caller: &Caller, worker: u64, number: u64, stream: bool) -> OnlineRequest {
    let request = ChatRequest {
        model: "blurb-3b".to_owned(),
        system: format!("You write blurbs for the agency number {}.", number % 5),
        user: format!("Blurb {worker}-{number}, please."),
        max_tokens: 32,
        stream,
    };
    let mut report = caller.chat(&request).await;
    for _ in 1..MAX_ATTEMPTS {
        // A stream that was cut off is requested again from the start, as an editor would.
        if !matches!(report.outcome, CallOutcome::Cut { .. } | CallOutcome::NoAnswer) {
            break;
        }
        report = caller.chat(&request).await;
    }
    let wrong = matches!(&report.outcome, CallOutcome::Answered { text, .. }
        if *text != request.expected_answer());
    let kind = if stream { RequestKind::ChatStream } else { RequestKind::ChatUnstreamed };
    OnlineRequest { kind, report, wrong, gift: None }
}

async fn lookup(caller: &Caller, worker: u64, number: u64) -> OnlineRequest {
    let path = format!("editor-api/lookup/{worker}?n={number}");
    let mut report = caller.call_service(caller.next_entry(), "GET", &path, None, "").await;
    for _ in 1..MAX_ATTEMPTS {
        if report.outcome != CallOutcome::NoAnswer {
            break;
        }
        report = caller.call_service(caller.next_entry(), "GET", &path, None, "").await;
    }
    let expected = format!("\"path\":\"/lookup/{worker}?n={number}\"");
    let wrong =
        matches!(&report.outcome, CallOutcome::Answered { text, .. } if !text.contains(&expected));
    OnlineRequest { kind: RequestKind::Lookup, report, wrong, gift: None }
}

async fn gift(caller: &Caller, worker: u64, number: u64) -> OnlineRequest {
    let body = format!("gift-{worker}-{number}");
    let path = "editor-api/gift";
    let key = Some(body.as_str());
    let mut report = caller.call_service(caller.next_entry(), "POST", path, key, &body).await;
    for _ in 1..MAX_ATTEMPTS {
        // The idempotency key makes it safe to send again, even if the first call may have run.
        if report.outcome != CallOutcome::NoAnswer {
            break;
        }
        report = caller.call_service(caller.next_entry(), "POST", path, key, &body).await;
    }
    let wrong =
        matches!(&report.outcome, CallOutcome::Answered { text, .. } if !text.contains(&body));
    OnlineRequest { kind: RequestKind::Gift, report, wrong, gift: Some(body) }
}
