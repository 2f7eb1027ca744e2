//! The open connections of callers: closes those whose callers are too slow, and counts and logs faults of
//! callers.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use mulberry_policy::caller_faults::CallerFault;
use mulberry_policy::caller_faults::StepLimits;
use mulberry_policy::caller_faults::judge_connection;
use mulberry_policy::memory_budget::HolderId;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::time::Millis;

use crate::caller_stream::CallerConnection;
use crate::shared::SharedState;

/// Interval at which connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a connection whose request was refused stays open without being read, so that the
/// caller gets the refusal before a reset, in milliseconds.
const CLOSING_MS: u64 = 1_000;

/// Interval of the log lines for one cause and address, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Share of the connections from which on idle ones are closed for new ones.
const CROWDED_SHARE: f64 = 0.9;

/// Largest head if the configuration states no limit, in bytes, as the HTTP server has it.
const DEFAULT_HEAD_BYTES: usize = 128 * 1024;

/// Bytes of a head that its limit does not count: method, version and line ends.
const HEAD_SLACK_BYTES: usize = 1_024;

/// Most holders that wait to be evicted. Those that ended meanwhile are among them.
const MAX_EVICTED: usize = 64;

/// Most causes and addresses whose log lines are counted apart. Further ones share a line.
const MAX_LOGGED: usize = 256;

/// The connections of one traffic thread.
pub struct CallerTable {
    shared: Arc<SharedState>,
    max_connections: usize,
    connections: RefCell<Vec<Weak<CallerConnection>>>,
}

impl CallerTable {
    /// Creates an empty table and checks its connections from then on.
    pub fn start(shared: Arc<SharedState>, max_connections: usize) -> Rc<Self> {
        let table = Rc::new(Self { shared, max_connections, connections: RefCell::default() });
        let checked = table.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                checked.check();
            }
        });
        table
    }

    /// Adds an accepted connection. If that leaves hardly any room, the one that has been idle for the
    /// longest time is closed.
    pub fn add(&self, connection: &Rc<CallerConnection>) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|c| c.strong_count() > 0);
        connections.push(Rc::downgrade(connection));
        if (connections.len() as f64) < self.max_connections as f64 * CROWDED_SHARE {
            return;
        }
        let open = connections.iter().filter_map(Weak::upgrade);
        let idle = open.filter_map(|c| Some((c.waiting_since()?, c)));
        if let Some((_, longest)) = idle.min_by_key(|(since, _)| *since) {
            self.record(CallerFault::Crowded, &longest);
            longest.end();
        }
    }

    fn check(&self) {
        let now = self.shared.clock.now();
        let limits = self.shared.step_limits();
        let mut open = Vec::new();
        self.connections.borrow_mut().retain(|c| {
            let connection = c.upgrade();
            open.extend(connection.clone());
            connection.is_some()
        });
        let evicted = self.shared.take_evicted(&open);
        self.shared.metrics.gauge("direct.caller_connections", open.len() as u64);
        self.shared.metrics.gauge("direct.memory_reserved_bytes", self.shared.memory().used());
        for connection in open {
            if connection.holder.get().is_some_and(|id| evicted.contains(&id)) {
                self.record(CallerFault::Evicted, &connection);
                connection.record_fault(CallerFault::Evicted);
                continue;
            }
            if connection.closing_since().is_some_and(|since| now.since(since) > CLOSING_MS) {
                connection.end();
                continue;
            }
            let (step, unread_since) = connection.step();
            if let Some(fault) = judge_connection(step, unread_since, limits, now) {
                self.record(fault, &connection);
                connection.end();
            }
        }
    }

    fn record(&self, fault: CallerFault, connection: &CallerConnection) {
        self.shared.record_caller_fault(fault, connection.address);
    }
}

/// Faults of callers that are to be logged, and holders that are to be evicted.
#[derive(Debug, Default)]
pub struct CallerFaults {
    logged: IndexMap<(CallerFault, Option<IpAddr>), (Millis, u64)>,
    evicted: Vec<HolderId>,
}

impl CallerFaults {
    /// Counts a fault. Returns how many there were since the last log line, if one is due.
    fn record(&mut self, fault: CallerFault, address: Option<IpAddr>, now: Millis) -> Option<u64> {
        let is_known = self.logged.contains_key(&(fault, address));
        let address = address.filter(|_| is_known || self.logged.len() < MAX_LOGGED);
        let (logged_at, count) = self.logged.entry((fault, address)).or_insert((Millis(0), 0));
        *count += 1;
        if logged_at.0 != 0 && now.since(*logged_at) < LOG_INTERVAL_MS {
            return None;
        }
        *logged_at = now + 1;
        Some(std::mem::take(count))
    }
}

impl SharedState {
    /// Counts a fault of a caller, and logs it now and then for each cause and address.
    pub fn record_caller_fault(&self, fault: CallerFault, address: Option<IpAddr>) {
        self.metrics.count_reason("direct.caller_faults", fault.as_str());
        if fault == CallerFault::Idle {
            return;
        }
        let now = self.clock.now();
        let due = self.caller_faults().record(fault, address, now);
        if let Some(count) = due {
            let caller = address.map_or_else(String::new, |a| a.to_string());
            log_event!(info, Event::CallerFault, cause = fault.as_str(), caller = %caller, count);
        }
    }

    /// Has a holder of bytes evicted, if there is one.
    pub fn evict(&self, holder: Option<HolderId>) {
        let Some(holder) = holder else { return };
        let mut faults = self.caller_faults();
        if !faults.evicted.contains(&holder) {
            faults.evicted.push(holder);
        }
    }

    /// Takes the holders to be evicted that are among these connections. Another thread has the others.
    fn take_evicted(&self, open: &[Rc<CallerConnection>]) -> Vec<HolderId> {
        let held: Vec<HolderId> = open.iter().filter_map(|c| c.holder.get()).collect();
        let mut faults = self.caller_faults();
        let evicted = std::mem::take(&mut faults.evicted);
        let (own, others) = evicted.into_iter().partition(|id| held.contains(id));
        faults.evicted = others;
        // The requests of the oldest have usually ended.
        let excess = faults.evicted.len().saturating_sub(MAX_EVICTED);
        faults.evicted.drain(..excess);
        own
    }

    /// Returns up to how many bytes a head is read. One that is a little over the limit is refused with the
    /// reason.
    pub fn max_head_bytes(&self) -> usize {
        let configuration = self.configuration.load();
        let stated = configuration.as_ref().map_or(0, |c| c.limits.header_bytes);
        if stated == 0 { DEFAULT_HEAD_BYTES } else { stated + HEAD_SLACK_BYTES }
    }

    fn step_limits(&self) -> StepLimits {
        self.configuration.load().as_ref().map_or_else(StepLimits::default, |c| StepLimits {
            head_ms: c.limits.header_timeout_ms,
            idle_ms: c.limits.idle_timeout_ms,
        })
    }
}
