//! Records what callers sent and received, when each fault was active, and what the processes
//! reported, for the checks at the end of the experiment.

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

/// Time after the end of a fault during which its effects may still show, in milliseconds.
pub(crate) const AFTEREFFECT_MS: u64 = 2_500;

/// Kind of a period; the checks excuse fewer failures during planned stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeriodKind {
    /// A process was killed or paused, an engine crashed or slowed down, or a platform service failed.
    Fault,
    /// A process was stopped in an orderly way.
    PlannedStop,
}

/// A period in which a fault or planned stop was active, in milliseconds since the Unix epoch.
#[derive(Debug, Clone)]
pub(crate) struct Period {
    pub kind: PeriodKind,
    /// Description in the report. `fault_free_ms` and the checks match on its text.
    pub label: String,
    pub from_ms: u64,
    /// End of the period, if it has ended.
    pub to_ms: Option<u64>,
}

/// One chat request as sent by a caller, and how it ended.
#[derive(Debug, Clone)]
pub(crate) struct ChatLog {
    pub from_ms: u64,
    pub to_ms: u64,
    pub prompt_hash: u64,
    /// Whether the caller had sent the same chat before.
    pub resent: bool,
    pub stream: bool,
    /// Whether the answer differs from the one that the engine gives to this prompt.
    pub wrong: bool,
    pub outcome: CallOutcome,
}

/// All attempts of one service call, which must run at most once.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCallLog {
    pub body: String,
    /// Whether the call had an idempotency key, and so could be sent again.
    pub keyed: bool,
    pub outcomes: Vec<CallOutcome>,
}

/// A job as its sender and its readers saw it.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobLog {
    pub id: String,
    /// Parsed input lines.
    pub lines: Vec<Value>,
    /// Whether its items are service calls, which must run at most once.
    pub non_idempotent: bool,
    pub cancelled_at_ms: Option<u64>,
    pub status: String,
    /// Result lines, once per entry that they were read through.
    pub results: Vec<Vec<Value>>,
    /// Result lines read before the job ended.
    pub partial_results: Vec<Value>,
}

/// A successful roll of a bundle.
#[derive(Debug, Clone)]
pub(crate) struct RollLog {
    pub number: u64,
    pub at_ms: u64,
}

/// The first time at which a process was seen to use a bundle.
#[derive(Debug, Clone)]
pub(crate) struct BundleObservation {
    pub process: String,
    pub number: u64,
    pub at_ms: u64,
}

/// Everything recorded during a run, and the state that senders and the injector share.
pub(crate) struct Journal {
    pub entries: Vec<SocketAddr>,
    pub caller: Caller,
    /// Whether each entry was ready when last polled, as a load balancer would see it.
    pub ready: RefCell<Vec<bool>>,
    /// Ends the online load.
    pub stop_load: StopSignal,
    /// Ends the polling of the entries.
    pub stop_polling: StopSignal,
    pub started_ms: u64,
    pub periods: RefCell<Vec<Period>>,
    pub chats: RefCell<Vec<ChatLog>>,
    /// Requests that crash the engine that runs them.
    pub poison: RefCell<Vec<ChatLog>>,
    pub service_calls: RefCell<Vec<ServiceCallLog>>,
    pub jobs: RefCell<Vec<JobLog>>,
    pub jobs_not_accepted: Cell<usize>,
    pub rolls: RefCell<Vec<RollLog>>,
    pub refused_rolls: RefCell<Vec<String>>,
    pub bundle_observations: RefCell<Vec<BundleObservation>>,
    /// Latest bundle number by process.
    pub last_bundle: RefCell<IndexMap<String, u64>>,
    /// Bundles that went backwards, and resent jobs that got a second id.
    pub violations: RefCell<Vec<String>>,
    /// Highest value of each counter, by entry and counter name.
    pub counters: RefCell<IndexMap<String, u64>>,
}

impl Journal {
    /// Creates an empty journal; it takes all entries for ready.
    pub fn new(fleet: &Fleet) -> Self {
        let entries = fleet.entry_addresses();
        Self {
            ready: RefCell::new(vec![true; entries.len()]),
            caller: Caller::new(entries.clone(), CLIENT_KEY),
            entries,
            stop_load: StopSignal::default(),
            stop_polling: StopSignal::default(),
            started_ms: unix_ms(),
            periods: RefCell::default(),
            chats: RefCell::default(),
            poison: RefCell::default(),
            service_calls: RefCell::default(),
            jobs: RefCell::default(),
            jobs_not_accepted: Cell::new(0),
            rolls: RefCell::default(),
            refused_rolls: RefCell::default(),
            bundle_observations: RefCell::default(),
            last_bundle: RefCell::default(),
            violations: RefCell::default(),
            counters: RefCell::default(),
        }
    }

    /// Returns a random entry that was ready when last polled, other than `excluded`. Falls back to an entry
    /// that is not ready, and then to the first one.
    pub fn pick_entry(&self, excluded: Option<SocketAddr>, rng: &mut impl Rng) -> SocketAddr {
        let ready = self.ready.borrow();
        let usable = |strict: bool| {
            let entries = self.entries.iter().zip(ready.iter());
            let kept = entries.filter(|(e, ready)| (**ready || !strict) && Some(**e) != excluded);
            kept.map(|(e, _)| *e).collect::<Vec<_>>()
        };
        let choice = usable(true).choose(rng).copied();
        choice.or_else(|| usable(false).choose(rng).copied()).unwrap_or(self.entries[0])
    }

    /// Records the start of a period and returns its index.
    pub fn begin_period(&self, kind: PeriodKind, label: impl Into<String>) -> usize {
        let mut periods = self.periods.borrow_mut();
        periods.push(Period { kind, label: label.into(), from_ms: unix_ms(), to_ms: None });
        periods.len() - 1
    }

    /// Records the end of a period.
    pub fn end_period(&self, index: usize) {
        if let Some(period) = self.periods.borrow_mut().get_mut(index) {
            period.to_ms = Some(unix_ms());
        }
    }

    /// Returns whether a period of this kind, extended by [`AFTEREFFECT_MS`], overlaps an interval.
    pub fn overlaps(&self, kind: PeriodKind, from_ms: u64, to_ms: u64) -> bool {
        self.periods.borrow().iter().filter(|p| p.kind == kind).any(|p| {
            let end = p.to_ms.unwrap_or(u64::MAX - AFTEREFFECT_MS) + AFTEREFFECT_MS;
            p.from_ms <= to_ms && end >= from_ms
        })
    }

    /// Returns the milliseconds of an interval outside all faults, each extended by [`AFTEREFFECT_MS`]. If a
    /// process is given, its planned stops are excluded too.
    pub fn fault_free_ms(&self, from_ms: u64, to_ms: u64, process: Option<&str>) -> u64 {
        let mut fault_free = 0;
        let mut at = from_ms;
        let mut fault_intervals: Vec<(u64, u64)> = self
            .periods
            .borrow()
            .iter()
            .filter(|p| {
                let is_own_stop = process.is_some_and(|name| p.label.ends_with(name));
                p.kind == PeriodKind::Fault || is_own_stop
            })
            .map(|p| (p.from_ms, p.to_ms.map_or(u64::MAX, |t| t + AFTEREFFECT_MS)))
            .filter(|(from, to)| *from < to_ms && *to > from_ms)
            .collect();
        fault_intervals.sort_unstable();
        for (from, to) in fault_intervals {
            fault_free += from.saturating_sub(at);
            at = at.max(to);
        }
        fault_free + to_ms.saturating_sub(at)
    }
}

/// Returns the time in milliseconds since the Unix epoch. All records use this clock.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
