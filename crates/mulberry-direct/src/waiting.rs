//! Requests that wait at this entry until an endpoint has room for them, in the order of the latest time at
//! which each must begin.
//!
//! Only the first request of a line looks for room: when a run of this process ends, when a peer reports, and
//! now and then. Whoever leaves the line calls the next one.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::timeout;

use mulberry_policy::waiting_line::Capacity;
use mulberry_policy::waiting_line::ElsewhereCounts;
use mulberry_policy::waiting_line::InProgress;
use mulberry_policy::waiting_line::LineRefusal;
use mulberry_policy::waiting_line::Place;
use mulberry_policy::waiting_line::WaitingLine;
use mulberry_policy::waiting_line::is_behind;
use mulberry_policy::waiting_line::return_after_ms;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::ServiceWaiting;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::route::RouteKind;
use mulberry_protocol::time::Millis;

use crate::caller_request::CallerRequest;
use crate::shared::SharedState;
use crate::shared::lock;

/// Interval at which the first of a line looks for room that no event tells of: an endpoint that has come, or
/// that takes requests again.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for which an endpoint is left out after it had no room, in milliseconds.
const MAX_FULL_MS: f64 = 1_000.0;

/// Whether a request has had its turn before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It has just come.
    First,
    /// It was taken already, and the endpoint that was chosen then did not run it.
    Again,
}

/// What a peer has waiting.
#[derive(Debug)]
struct PeerWaiting {
    stale_at: Millis,
    waiting: Vec<ServiceWaiting>,
}

/// An endpoint that said that it had no room.
#[derive(Debug)]
struct FullEndpoint {
    until: Millis,
    /// How often it has said so in a row.
    times: i32,
}

/// The waiting requests of all services at this process, and what is known of the other entries'.
#[derive(Debug, Default)]
pub struct WaitingDesk {
    lines: Mutex<IndexMap<ServiceName, WaitingLine<Arc<Notify>>>>,
    peers: Mutex<IndexMap<EntryName, PeerWaiting>>,
    full: Mutex<IndexMap<u64, FullEndpoint>>,
}

/// The place of one request in the line of its service, given up when dropped.
pub struct Waiter {
    shared: Arc<SharedState>,
    service: ServiceName,
    place: Place,
    worth_until: Millis,
    notify: Arc<Notify>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut lines = lock(&self.shared.waiting_desk.lines);
        let Some(line) = lines.get_mut(&self.service) else { return };
        line.leave(self.place);
        if let Some((_, next)) = line.first() {
            next.notify_one();
        }
    }
}

impl Waiter {
    /// Waits until it is worth looking for room. Returns whether there is still time to begin.
    pub async fn wait(&self) -> bool {
        loop {
            let now = self.shared.clock.now();
            let left = Duration::from_millis(self.worth_until.since(now));
            if left.is_zero() {
                return false;
            }
            let longest = if self.is_first() { left.min(LOOK_INTERVAL) } else { left };
            let _woken_or_late = timeout(longest, self.notify.notified()).await;
            if self.is_first() && self.shared.clock.now() < self.worth_until {
                return true;
            }
        }
    }

    /// Returns whether it is this request's turn.
    pub fn is_first(&self) -> bool {
        let lines = lock(&self.shared.waiting_desk.lines);
        let first = lines.get(&self.service).and_then(|line| line.first());
        first.is_some_and(|(place, _)| place == self.place)
    }
}

impl SharedState {
    /// Returns the latest time at which a request must begin, so that its caller has the response in time.
    pub(crate) fn start_by(&self, req: &CallerRequest, service: &ServiceName) -> Millis {
        let needed_ms = self.run_times().needed_ms(service);
        self.earlier_for_streams(req, service, req.due - needed_ms)
    }

    /// Returns until when it is worth beginning a request that has been taken.
    pub(crate) fn worth_until(&self, req: &CallerRequest, service: &ServiceName) -> Millis {
        let needed_ms = self.run_times().least_needed_ms(service);
        self.earlier_for_streams(req, service, req.due - needed_ms)
    }

    /// Returns the time by which the first part of a stream must have begun, if that is earlier.
    fn earlier_for_streams(
        &self,
        req: &CallerRequest,
        service: &ServiceName,
        whole: Millis,
    ) -> Millis {
        match (req.route.kind, req.route.first_part_ms) {
            (RouteKind::Stream, first_part_ms) if first_part_ms > 0 => {
                let needed_ms = self.run_times().needed_to_first_ms(service);
                let spare_ms = first_part_ms.saturating_sub(needed_ms);
                whole.min(req.came_at + spare_ms)
            }
            _ => whole,
        }
    }

    /// Returns whether nothing waits for a service.
    pub(crate) fn is_line_empty(&self, service: &ServiceName) -> bool {
        lock(&self.waiting_desk.lines).get(service).is_none_or(WaitingLine::is_empty)
    }

    /// Puts a request into the line of its service, or refuses it if it can't be served in its time. One that
    /// has had its turn before is not asked again whether it fits.
    pub(crate) fn join_line(
        self: &Arc<Self>,
        req: &CallerRequest,
        service: &ServiceName,
        turn: Turn,
    ) -> Result<Waiter, Refusal> {
        let now = self.clock.now();
        let start_by = self.start_by(req, service);
        let worth_until = self.worth_until(req, service);
        let capacity = self.capacity(service, now);
        let elsewhere = self.waiting_elsewhere(service, now);
        let notify = Arc::new(Notify::new());
        let mut lines = lock(&self.waiting_desk.lines);
        let line = lines.entry(service.clone()).or_default();
        // Before a run was measured, nothing shows that a request can't be served.
        if let Some(capacity) = capacity.filter(|_| turn == Turn::First)
            && let Some(refusal) =
                line.refusal(start_by, capacity, &elsewhere, &mut rand::rng(), now)
        {
            let waiting = line.len();
            drop(lines);
            return Err(self.refuse_waiting(req, start_by.since(now), waiting, refusal));
        }
        let place = line.join(start_by, notify.clone());
        self.metrics.gauge("direct.waiting", line.len() as u64);
        Ok(Waiter { shared: self.clone(), service: service.clone(), place, worth_until, notify })
    }

    /// Refuses a request that has waited until the latest time at which it could begin.
    pub(crate) fn refuse_late(&self, req: &CallerRequest) -> Refusal {
        self.metrics.count("direct.waited_in_vain");
        let detail = "no endpoint had room while there was time to serve the request";
        self.refuse_busy(req, detail.to_owned())
    }

    fn refuse_busy(&self, req: &CallerRequest, detail: String) -> Refusal {
        let left_ms = req.due.since(self.clock.now());
        let retry_ms = return_after_ms(left_ms, rand::rng().random());
        Refusal::not_run(RefusalReason::Busy, detail).retry_after(retry_ms)
    }

    fn refuse_waiting(
        &self,
        req: &CallerRequest,
        spare_ms: u64,
        waiting: usize,
        refusal: LineRefusal,
    ) -> Refusal {
        let detail = match refusal {
            LineRefusal::TooLate { wait_ms } => format!(
                "the request could begin in {wait_ms} ms, and must within {spare_ms} ms; {waiting} wait here"
            ),
            LineRefusal::Full { filled } => {
                let percent = (filled * 100.0) as u64;
                format!(
                    "what waits takes {percent}% of the time that its callers have; {waiting} wait here"
                )
            }
        };
        self.refuse_busy(req, detail)
    }

    /// Returns what the ready endpoints of a service can do, or none before a run was measured.
    fn capacity(&self, service: &ServiceName, now: Millis) -> Option<Capacity> {
        let run_ms = self.run_times().run_ms(service)?;
        let endpoints = self.endpoints.load();
        let leaving = self.leaving();
        let is_ready = |e: &&EndpointRecord| {
            e.service == *service && e.state == EndpointState::Ready && !leaving.is_leaving(e)
        };
        let ready: Vec<&EndpointRecord> = endpoints.values().filter(is_ready).collect();
        drop(leaving);
        let slowness = self.slowness(ready.iter().copied());
        let slots = ready.iter().zip(slowness).map(|(e, slow)| f64::from(e.slots) / slow).sum();
        let mut occupancy = self.occupancy();
        let online = ready.iter().map(|e| occupancy.total_load(e.load_key(), now).online);
        Some(Capacity { run_ms, slots, in_flight: f64::from(online.sum::<u32>()) })
    }

    /// Returns what other entries have waiting for a service.
    fn waiting_elsewhere(&self, service: &ServiceName, now: Millis) -> ElsewhereCounts {
        let service = service_id(service);
        let mut sum = ElsewhereCounts::default();
        let peers = lock(&self.waiting_desk.peers);
        let current = peers.values().filter(|p| now < p.stale_at).flat_map(|p| &p.waiting);
        current.filter(|w| w.service == service).for_each(|w| sum.add(&w.counts));
        sum
    }

    /// Returns whether this entry has less than its part at the endpoints of a service, which have `own`
    /// online requests of this entry, `all` together, and are handed `max_online`.
    pub(crate) fn is_behind(
        &self,
        service: &ServiceName,
        (own, all): (u32, u32),
        max_online: u32,
        now: Millis,
    ) -> bool {
        let waiting = lock(&self.waiting_desk.lines).get(service).map_or(0, WaitingLine::len);
        let own_requests = InProgress { in_flight: f64::from(own), waiting: waiting as f64 };
        let elsewhere = InProgress {
            in_flight: f64::from(all.saturating_sub(own)),
            waiting: self.waiting_elsewhere(service, now).total(),
        };
        is_behind(own_requests, elsewhere, max_online)
    }

    /// Records what a peer has waiting.
    pub(crate) fn record_waiting_of_peer(
        &self,
        peer: &EntryName,
        waiting: &[ServiceWaiting],
        stale_at: Millis,
    ) {
        let mut peers = lock(&self.waiting_desk.peers);
        if waiting.is_empty() {
            peers.swap_remove(peer);
        } else {
            peers.insert(peer.clone(), PeerWaiting { stale_at, waiting: waiting.to_vec() });
        }
    }

    /// Returns what waits here, for the next heartbeat.
    pub(crate) fn waiting_to_tell(&self) -> Vec<ServiceWaiting> {
        let now = self.clock.now();
        let lines = lock(&self.waiting_desk.lines);
        let filled = lines.iter().filter(|(_, line)| !line.is_empty());
        filled
            .map(|(service, line)| ServiceWaiting {
                service: service_id(service),
                counts: line.counts(now),
            })
            .collect()
    }

    /// Lets the first request of each line look for room.
    pub(crate) fn call_waiting(&self) {
        let lines = lock(&self.waiting_desk.lines);
        lines.values().filter_map(WaitingLine::first).for_each(|(_, first)| first.notify_one());
    }

    /// Records that an endpoint had no room for a request, which it did not run. It is left out until one of
    /// its runs is likely to have ended, and longer each time that it has none again.
    pub(crate) fn record_full(&self, endpoint: &EndpointRecord) {
        let now = self.clock.now();
        let interval_ms = self.run_times().end_interval_ms(&endpoint.service, endpoint.slots, 1.0);
        let mut full = lock(&self.waiting_desk.full);
        full.retain(|_, f| now < f.until + MAX_FULL_MS as u64);
        let entry = full.entry(endpoint.load_key());
        let entry = entry.or_insert(FullEndpoint { until: now, times: 0 });
        let full_ms = (interval_ms * 2_f64.powi(entry.times)).min(MAX_FULL_MS);
        entry.until = now + (full_ms as u64).max(1);
        entry.times += 1;
    }

    /// Records that an endpoint took a request.
    pub(crate) fn record_room(&self, endpoint: &EndpointRecord) {
        lock(&self.waiting_desk.full).swap_remove(&endpoint.load_key());
    }

    /// Returns whether an endpoint has lately had no room.
    pub(crate) fn is_full(&self, endpoint: u64, now: Millis) -> bool {
        lock(&self.waiting_desk.full).get(&endpoint).is_some_and(|f| now < f.until)
    }
}

fn service_id(service: &ServiceName) -> u32 {
    stable_hash(service.as_str().as_bytes(), 0) as u32
}
