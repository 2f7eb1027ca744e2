//! Admission control at the side: decides which online requests and batch items reach the endpoint.
//!
//! Online requests have priority; batch items use the capacity that they leave free.

mod kinds;

use std::collections::VecDeque;

use indexmap::IndexMap;

use mulberry_protocol::bundle::BatchFill;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::concurrency_limit::LimitSettings;
use crate::peak::RecentPeak;

pub use kinds::AdmissionAction;
pub use kinds::AdmissionMode;
pub use kinds::AdmissionSettings;
pub use kinds::Offer;
pub use kinds::RequestId;

#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    offer: Offer,
    deadline: Millis,
    /// Position in the common order of online requests and batch items.
    queue_order: u64,
}

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    offer: Offer,
    started_at: Millis,
    has_first_token: bool,
    tokens: u32,
    /// Whether its preemption was requested and has not completed.
    stopping: bool,
}

/// Weight of a new observation in the moving averages of service and first-token time.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Time after its start during which a request counts as recently started, in milliseconds.
const RECENT_START_MS: u64 = 300;

/// Fraction of the limit that gentle batch may always fill, however low the online peak is.
const GENTLE_MIN_SHARE: f64 = 0.1;

/// Slots that batch items may use if they are free, even if the batch limit allows fewer.
const MIN_BATCH_SLOTS: u32 = 2;

/// Number of requests by which gentle batch keeps the endpoint below the recent online peak.
const GENTLE_PEAK_MARGIN: u32 = 10;

/// Mean service time assumed before any observation, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 500.0;

/// Queues and running requests of one endpoint.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limit: ConcurrencyLimit,
    batch_limit: ConcurrencyLimit,
    peak: RecentPeak,
    online: IndexMap<RequestId, RunningRequest>,
    batch: IndexMap<RequestId, RunningRequest>,
    online_waiting: VecDeque<WaitingRequest>,
    batch_waiting: VecDeque<WaitingRequest>,
    /// Requests that must run alone, each with whether it is online.
    alone_waiting: VecDeque<(WaitingRequest, bool)>,
    /// The request that runs alone, while nothing else may start.
    alone: Option<RequestId>,
    leaving: bool,
    mean_service_ms: f64,
    mean_first_token_ms: f64,
    next_queue_order: u64,
}

impl Admission {
    /// Creates the state of an endpoint on which nothing runs or waits.
    pub fn new(settings: AdmissionSettings, now: Millis) -> Self {
        let batch_target = settings.limit.gap_target_ms * settings.batch_gap_share;
        let batch_limit = LimitSettings { gap_target_ms: batch_target, ..settings.limit };
        Self {
            settings,
            limit: ConcurrencyLimit::new(settings.limit, now),
            batch_limit: ConcurrencyLimit::new(batch_limit, now),
            peak: RecentPeak::default(),
            online: IndexMap::new(),
            batch: IndexMap::new(),
            online_waiting: VecDeque::new(),
            batch_waiting: VecDeque::new(),
            alone_waiting: VecDeque::new(),
            alone: None,
            leaving: false,
            mean_service_ms: INITIAL_SERVICE_MS,
            mean_first_token_ms: 0.0,
            next_queue_order: 0,
        }
    }

    /// Queues an online request, or refuses it if it could not start before its deadline.
    pub fn offer_online(&mut self, offer: Offer, now: Millis) -> Vec<AdmissionAction> {
        if let Some(reason) = self.refusal_for(&offer) {
            return vec![AdmissionAction::Refuse(offer.id, reason)];
        }
        let waiting = self.new_waiting(offer, now + u64::from(offer.deadline_ms));
        if offer.alone {
            self.alone_waiting.push_back((waiting, true));
        } else {
            self.online_waiting.push_back(waiting);
        }
        self.start_waiting(now)
    }

    /// Queues a batch item. Refuses it only if the side is leaving.
    pub fn offer_batch(&mut self, offer: Offer, now: Millis) -> Vec<AdmissionAction> {
        if self.leaving {
            return vec![AdmissionAction::Refuse(offer.id, RefusalReason::Leaving)];
        }
        let waiting = self.new_waiting(offer, Millis(u64::MAX));
        if offer.alone {
            self.alone_waiting.push_back((waiting, false));
        } else {
            self.batch_waiting.push_back(waiting);
        }
        self.start_waiting(now)
    }

    /// Records the first token of a running request. This ends its prefill, so that the next batch
    /// item may start.
    pub fn record_first_token(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        match self.run_mut(id) {
            Some(run) => {
                run.tokens = run.tokens.max(1);
                run.has_first_token = true;
                let duration_ms = now.since(run.started_at) as f64;
                self.mean_first_token_ms +=
                    (duration_ms - self.mean_first_token_ms) * AVERAGE_WEIGHT;
            }
            None => return Vec::new(),
        }
        self.start_waiting(now)
    }

    /// Records further tokens of a running request and the mean time between them, in milliseconds.
    pub fn record_tokens(&mut self, id: RequestId, tokens: u32, gap_ms: f64, now: Millis) {
        let running = self.running_total();
        let Some(run) = self.run_mut(id) else { return };
        run.tokens += tokens;
        self.limit.record_gap(gap_ms, running, now);
        self.batch_limit.record_gap(gap_ms, running, now);
    }

    /// Records that a request ended, with or without success.
    pub fn record_ended(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        if let Some(run) = self.online.swap_remove(&id) {
            let duration_ms = now.since(run.started_at) as f64;
            self.mean_service_ms += (duration_ms - self.mean_service_ms) * AVERAGE_WEIGHT;
        }
        self.batch.swap_remove(&id);
        self.clear_alone(id);
        self.start_waiting(now)
    }

    /// Records that a preempted batch item stopped, and puts it at the head of the batch queue.
    pub fn record_stopped(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        if let Some(run) = self.batch.swap_remove(&id) {
            let waiting = self.new_waiting(run.offer, Millis(u64::MAX));
            self.batch_waiting.push_front(waiting);
        }
        self.clear_alone(id);
        self.start_waiting(now)
    }

    /// Removes a waiting or running request whose caller disconnected or whose job was cancelled.
    pub fn withdraw(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        self.online_waiting.retain(|w| w.offer.id != id);
        self.batch_waiting.retain(|w| w.offer.id != id);
        self.alone_waiting.retain(|(w, _)| w.offer.id != id);
        self.record_ended(id, now)
    }

    /// Refuses waiting requests whose deadline has passed, and starts others in free slots.
    pub fn tick(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let is_late = |w: &WaitingRequest| w.deadline <= now;
        for waiting in self.online_waiting.iter().filter(|w| is_late(w)) {
            actions.push(AdmissionAction::Refuse(waiting.offer.id, RefusalReason::Deadline));
        }
        for (waiting, _) in self.alone_waiting.iter().filter(|(w, _)| is_late(w)) {
            actions.push(AdmissionAction::Refuse(waiting.offer.id, RefusalReason::Deadline));
        }
        self.online_waiting.retain(|w| !is_late(w));
        self.alone_waiting.retain(|(w, _)| !is_late(w));
        actions.extend(self.start_waiting(now));
        actions
    }

    /// Stops accepting requests, and refuses the waiting batch items. Waiting online requests were
    /// admitted already and are still served.
    pub fn leave(&mut self) -> Vec<AdmissionAction> {
        self.leaving = true;
        let mut refused: Vec<RequestId> =
            self.batch_waiting.drain(..).map(|w| w.offer.id).collect();
        let batch_alone = |(w, online): &(WaitingRequest, bool)| (!online).then_some(w.offer.id);
        refused.extend(self.alone_waiting.iter().filter_map(batch_alone));
        self.alone_waiting.retain(|(_, online)| *online);
        refused.into_iter().map(|id| AdmissionAction::Refuse(id, RefusalReason::Leaving)).collect()
    }

    /// Sets how much of the endpoint's free capacity batch items may use.
    pub fn set_fill(&mut self, fill: BatchFill) {
        self.settings.fill = fill;
    }

    /// Records a crash of the engine, and resets the concurrency limits.
    pub fn record_crash(&mut self, now: Millis) {
        self.limit.reset(now);
        self.batch_limit.reset(now);
    }

    /// Returns the number of further batch items that the side should pull.
    pub fn wanted_batch_items(&self) -> u32 {
        let off = self.settings.mode == AdmissionMode::OnlineOnly;
        if off || self.leaving || self.alone.is_some() || !self.online_waiting.is_empty() {
            return 0;
        }
        let slots = self.batch_slots();
        if slots == 0 {
            return 0;
        }
        let held = self.batch.len() + self.batch_waiting.len();
        (slots + self.settings.batch_prefetch).saturating_sub(held as u32)
    }

    /// Returns the load to report in heartbeats.
    pub fn load(&self) -> SideLoad {
        let online = self.online.len() + self.online_waiting.len();
        SideLoad {
            online: to_saturating_u16(online),
            limit: to_saturating_u16(self.limit.get() as usize),
            batch: to_saturating_u16(self.batch.len()),
            wait_ms: self.expected_wait_ms(self.online_waiting.len()).min(60_000) as u16,
        }
    }

    /// Returns whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.online.is_empty()
            && self.batch.is_empty()
            && self.online_waiting.is_empty()
            && self.batch_waiting.is_empty()
            && self.alone_waiting.is_empty()
    }

    /// Returns the running requests, each with whether it started recently or still lacks its first
    /// token.
    pub fn running_requests(&self, now: Millis) -> Vec<(RequestId, bool)> {
        let runs = self.online.iter().chain(&self.batch);
        runs.map(|(id, run)| {
            (*id, !run.has_first_token || now.since(run.started_at) < RECENT_START_MS)
        })
        .collect()
    }

    fn run_mut(&mut self, id: RequestId) -> Option<&mut RunningRequest> {
        self.online.get_mut(&id).or_else(|| self.batch.get_mut(&id))
    }

    fn refusal_for(&self, offer: &Offer) -> Option<RefusalReason> {
        if self.leaving {
            return Some(RefusalReason::Leaving);
        }
        let queue = self.online_waiting.len() as u32;
        if queue >= self.limit.get() * self.settings.queue_factor {
            return Some(RefusalReason::Busy);
        }
        let full = self.online_running() >= self.online_slots();
        let wait = self.expected_wait_ms(self.online_waiting.len() + 1);
        (full && wait > u64::from(offer.deadline_ms)).then_some(RefusalReason::Deadline)
    }

    fn new_waiting(&mut self, offer: Offer, deadline: Millis) -> WaitingRequest {
        self.next_queue_order += 1;
        WaitingRequest { offer, deadline, queue_order: self.next_queue_order }
    }

    fn expected_wait_ms(&self, position: usize) -> u64 {
        let slots = f64::from(self.online_slots().max(1));
        (position as f64 * self.mean_service_ms / slots) as u64
    }

    fn online_running(&self) -> u32 {
        self.online.len() as u32
    }

    fn batch_running(&self) -> u32 {
        self.batch.values().filter(|r| !r.stopping).count() as u32
    }

    fn running_total(&self) -> u32 {
        self.online_running() + self.batch_running()
    }

    fn online_slots(&self) -> u32 {
        match self.settings.mode {
            AdmissionMode::Split { batch } => self.limit.get().saturating_sub(batch).max(1),
            _ => self.limit.get(),
        }
    }

    /// Returns the number of batch items that may run at the current online load.
    fn batch_slots(&self) -> u32 {
        let free = self.limit.get().saturating_sub(self.online_running());
        match self.settings.mode {
            AdmissionMode::OnlineOnly => 0,
            AdmissionMode::Shared => free,
            AdmissionMode::Split { batch } => batch.min(self.limit.get().saturating_sub(1)),
            AdmissionMode::Priority | AdmissionMode::Preemptive => {
                let slots = self
                    .batch_total_limit()
                    .saturating_sub(self.online_running() + self.settings.headroom);
                // Keeps jobs from starving while online load stays high.
                slots.max(MIN_BATCH_SLOTS.min(free))
            }
        }
    }

    /// Returns the total of running requests, online ones included, up to which batch items start.
    fn batch_total_limit(&self) -> u32 {
        let limit = self.batch_limit.get().min(self.limit.get());
        match (self.settings.fill, self.peak.get()) {
            (BatchFill::Gentle, Some(peak)) => {
                let floor = (f64::from(limit) * GENTLE_MIN_SHARE) as u32;
                limit.min(peak.saturating_sub(GENTLE_PEAK_MARGIN).max(floor))
            }
            (BatchFill::Full, _) | (BatchFill::Gentle, None) => limit,
        }
    }

    /// Starts the waiting requests for which there is a slot, and preempts batch items if needed.
    fn start_waiting(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.peak.record(self.online_running(), now);
        if self.alone.is_none() && !self.alone_waiting.is_empty() {
            return self.run_next_alone(now);
        }
        if self.alone.is_some() {
            return actions;
        }
        while self.can_start_online() {
            let Some(next) = self.online_waiting.pop_front() else { break };
            if next.deadline <= now + self.mean_first_token_ms as u64 {
                // Its first token is expected after the deadline.
                actions.push(AdmissionAction::Refuse(next.offer.id, RefusalReason::Deadline));
                continue;
            }
            self.start(next.offer, true, now, &mut actions);
        }
        self.peak.record(self.online_running(), now);
        if self.settings.mode == AdmissionMode::Preemptive {
            self.preempt_excess(&mut actions);
        }
        while self.can_start_batch() {
            let Some(next) = self.batch_waiting.pop_front() else { break };
            self.start(next.offer, false, now, &mut actions);
        }
        actions
    }

    fn can_start_online(&self) -> bool {
        let Some(next) = self.online_waiting.front() else { return false };
        match self.settings.mode {
            // Batch items above the limit are preempted right after, so they do not count here.
            AdmissionMode::Preemptive => self.online_running() < self.online_slots(),
            AdmissionMode::Split { .. } => self.online_running() < self.online_slots(),
            AdmissionMode::OnlineOnly | AdmissionMode::Priority => {
                self.running_total() < self.limit.get()
            }
            AdmissionMode::Shared => {
                let batch_is_first =
                    self.batch_waiting.front().is_some_and(|b| b.queue_order < next.queue_order);
                self.running_total() < self.limit.get() && !batch_is_first
            }
        }
    }

    fn can_start_batch(&self) -> bool {
        let Some(next) = self.batch_waiting.front() else { return false };
        if self.batch_running() >= self.batch_slots() {
            return false;
        }
        match self.settings.mode {
            AdmissionMode::OnlineOnly => false,
            AdmissionMode::Shared => {
                self.online_waiting.front().is_none_or(|o| next.queue_order < o.queue_order)
            }
            AdmissionMode::Split { .. } => true,
            AdmissionMode::Priority | AdmissionMode::Preemptive => {
                self.online_waiting.is_empty()
                    && self.batch_prefill_count() < self.settings.batch_prefills
            }
        }
    }

    fn batch_prefill_count(&self) -> u32 {
        let prefilling = |r: &&RunningRequest| !r.stopping && !r.has_first_token;
        self.batch.values().filter(prefilling).count() as u32
    }

    /// Preempts batch items until the limit is met. Those with the fewest prompt and output tokens
    /// go first, since they cost least to run again.
    fn preempt_excess(&mut self, actions: &mut Vec<AdmissionAction>) {
        while self.running_total() > self.limit.get() {
            let victim = self
                .batch
                .iter()
                .filter(|(_, r)| !r.stopping)
                .min_by_key(|(_, r)| (r.tokens + r.offer.prompt_tokens, r.offer.id))
                .map(|(id, _)| *id);
            let Some(id) = victim else { break };
            self.stop_batch(id, actions);
        }
    }

    fn stop_batch(&mut self, id: RequestId, actions: &mut Vec<AdmissionAction>) {
        if let Some(run) = self.batch.get_mut(&id) {
            run.stopping = true;
            actions.push(AdmissionAction::Preempt(id));
        }
    }

    /// Preempts all batch items, and starts the next request that must run alone when nothing runs.
    fn run_next_alone(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let running: Vec<RequestId> =
            self.batch.iter().filter(|(_, r)| !r.stopping).map(|(id, _)| *id).collect();
        for id in running {
            self.stop_batch(id, &mut actions);
        }
        if self.online.is_empty()
            && self.batch.is_empty()
            && let Some((next, online)) = self.alone_waiting.pop_front()
        {
            self.alone = Some(next.offer.id);
            self.start(next.offer, online, now, &mut actions);
        }
        actions
    }

    fn clear_alone(&mut self, id: RequestId) {
        if self.alone == Some(id) {
            self.alone = None;
        }
    }

    fn start(
        &mut self,
        offer: Offer,
        online: bool,
        now: Millis,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let run = RunningRequest {
            offer,
            started_at: now,
            has_first_token: false,
            tokens: 0,
            stopping: false,
        };
        let requests = if online { &mut self.online } else { &mut self.batch };
        requests.insert(offer.id, run);
        actions.push(AdmissionAction::Start(offer.id));
    }
}

fn to_saturating_u16(number: usize) -> u16 {
    number.min(usize::from(u16::MAX)) as u16
}
