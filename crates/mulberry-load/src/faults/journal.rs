//! What callers sent and saw, when which fault was in force, and what processes reported.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::Value;

use mulberry_process::stop::StopSignal;
use mulberry_trial::caller::CallOutcome;
use mulberry_trial::caller::Caller;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;

/// Time after a fault's end during which its effects may still be seen, in milliseconds.
pub(crate) const AFTER_MS: u64 = 2_500;

/// Kinds of periods that the checks treat differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeriodKind {
    /// A process or engine was ended or paused, or the platform failed.
    Fault,
    /// A process was stopped as planned.
    PlannedStop,
}

/// A period, in milliseconds since the Unix epoch.
#[derive(Debug, Clone)]
pub(crate) struct Period {
    pub kind: PeriodKind,
    pub what: String,
    pub from_ms: u64,
    pub to_ms: Option<u64>,
}

/// One HTTP request for a chat.
#[derive(Debug, Clone)]
pub(crate) struct ChatLog {
    pub from_ms: u64,
    pub to_ms: u64,
    pub prompt_hash: u64,
    /// Whether the caller had sent the same before.
    pub resent: bool,
    pub stream: bool,
    pub wrong: bool,
    pub end: CallOutcome,
}

/// All answers to a request that must run at most once.
#[derive(Debug, Clone)]
pub(crate) struct GiftLog {
    pub body: String,
    pub keyed: bool,
    pub ends: Vec<CallOutcome>,
}

/// A job.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobLog {
    pub id: String,
    /// Input lines, parsed.
    pub lines: Vec<Value>,
    pub once_only: bool,
    pub cancelled_at_ms: Option<u64>,
    pub status: String,
    /// Result lines by the entry that they were read through.
    pub results: Vec<Vec<Value>>,
    /// Lines seen before the job's end.
    pub early: Vec<Value>,
}

/// A roll that succeeded.
#[derive(Debug, Clone)]
pub(crate) struct RollLog {
    pub number: u64,
    pub at_ms: u64,
}

/// A process's bundle number when it was first seen.
#[derive(Debug, Clone)]
pub(crate) struct BundleSeen {
    pub process: String,
    pub number: u64,
    pub at_ms: u64,
}

/// The journal.
pub(crate) struct Journal {
    pub entries: Vec<SocketAddr>,
    pub caller: Caller,
    pub ready: RefCell<Vec<bool>>,
    pub stop: StopSignal,
    pub watching: StopSignal,
    pub started_ms: u64,
    pub periods: RefCell<Vec<Period>>,
    pub chats: RefCell<Vec<ChatLog>>,
    pub poison: RefCell<Vec<ChatLog>>,
    pub gifts: RefCell<Vec<GiftLog>>,
    pub jobs: RefCell<Vec<JobLog>>,
    pub jobs_not_accepted: Cell<usize>,
    pub rolls: RefCell<Vec<RollLog>>,
    pub refused_rolls: RefCell<Vec<String>>,
    pub bundles: RefCell<Vec<BundleSeen>>,
    pub last_bundle: RefCell<IndexMap<String, u64>>,
    pub reverted: RefCell<Vec<String>>,
    pub counters: RefCell<IndexMap<String, u64>>,
}

impl Journal {
    pub fn new(fleet: &Fleet) -> Self {
        let entries = fleet.entry_addresses();
        Self {
            ready: RefCell::new(vec![true; entries.len()]),
            caller: Caller::new(entries.clone(), CLIENT_KEY),
            entries,
            stop: StopSignal::default(),
            watching: StopSignal::default(),
            started_ms: unix_ms(),
            periods: RefCell::default(),
            chats: RefCell::default(),
            poison: RefCell::default(),
            gifts: RefCell::default(),
            jobs: RefCell::default(),
            jobs_not_accepted: Cell::new(0),
            rolls: RefCell::default(),
            refused_rolls: RefCell::default(),
            bundles: RefCell::default(),
            last_bundle: RefCell::default(),
            reverted: RefCell::default(),
            counters: RefCell::default(),
        }
    }

    /// Returns an entry that the balancer takes for ready, other than `not` if there is one.
    pub fn pick_entry(&self, not: Option<SocketAddr>, rng: &mut impl Rng) -> SocketAddr {
        let ready = self.ready.borrow();
        let usable = |strict: bool| {
            let entries = self.entries.iter().zip(ready.iter());
            let kept = entries.filter(|(e, ready)| (**ready || !strict) && Some(**e) != not);
            kept.map(|(e, _)| *e).collect::<Vec<_>>()
        };
        let choice = usable(true).choose(rng).copied();
        choice.or_else(|| usable(false).choose(rng).copied()).unwrap_or(self.entries[0])
    }

    /// Begins a period and returns its number.
    pub fn begin(&self, kind: PeriodKind, what: impl Into<String>) -> usize {
        let mut periods = self.periods.borrow_mut();
        periods.push(Period { kind, what: what.into(), from_ms: unix_ms(), to_ms: None });
        periods.len() - 1
    }

    /// Ends a period.
    pub fn end(&self, number: usize) {
        if let Some(period) = self.periods.borrow_mut().get_mut(number) {
            period.to_ms = Some(unix_ms());
        }
    }

    /// Tells whether a period of the kind, with what follows from it, overlaps a span.
    pub fn overlaps(&self, kind: PeriodKind, from_ms: u64, to_ms: u64) -> bool {
        self.periods.borrow().iter().filter(|p| p.kind == kind).any(|p| {
            let end = p.to_ms.unwrap_or(u64::MAX - AFTER_MS) + AFTER_MS;
            p.from_ms <= to_ms && end >= from_ms
        })
    }

    /// Returns the milliseconds of a span during which no fault was in force, and the process, if one
    /// is named, was not stopped as planned.
    pub fn calm_ms(&self, from_ms: u64, to_ms: u64, process: Option<&str>) -> u64 {
        let mut calm = 0;
        let mut at = from_ms;
        let mut spans: Vec<(u64, u64)> = self
            .periods
            .borrow()
            .iter()
            .filter(|p| {
                let own = process.is_some_and(|name| p.what.ends_with(name));
                p.kind == PeriodKind::Fault || own
            })
            .map(|p| (p.from_ms, p.to_ms.map_or(u64::MAX, |t| t + AFTER_MS)))
            .filter(|(from, to)| *from < to_ms && *to > from_ms)
            .collect();
        spans.sort_unstable();
        for (from, to) in spans {
            calm += from.saturating_sub(at);
            at = at.max(to);
        }
        calm + to_ms.saturating_sub(at)
    }
}

/// Returns the time in milliseconds since the Unix epoch, which all records share.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
