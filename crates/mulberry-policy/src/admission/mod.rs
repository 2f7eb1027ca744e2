//! Decides at the side which requests reach the endpoint: online first, batch in what is left.

mod kinds;

use std::collections::VecDeque;

use indexmap::IndexMap;

use mulberry_protocol::bundle::BatchFill;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use crate::limit::ConcurrencyLimit;
use crate::limit::LimitSettings;
use crate::peak::RecentPeak;

pub use kinds::AdmissionAction;
pub use kinds::AdmissionMode;
pub use kinds::AdmissionSettings;
pub use kinds::Offer;
pub use kinds::RequestId;

#[derive(Debug, Clone, Copy)]
struct Waiting {
    offer: Offer,
    due: Millis,
    order: u64,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    offer: Offer,
    started_at: Millis,
    begun: bool,
    tokens: u32,
    stopping: bool,
}

/// Weight of a new observation in the mean service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// Time after its start during which a request counts as just begun, in milliseconds.
const JUST_BEGUN_MS: u64 = 300;

/// Share of the limit up to which batch fills an endpoint however low the online peaks are.
const GENTLE_FLOOR: f64 = 0.1;

/// Places of batch beside online requests that leave room.
const MIN_BATCH_PLACES: u32 = 2;

/// Requests by which batch stays below the online peaks.
const GENTLE_MARGIN: u32 = 10;

/// Mean service time assumed before any observation, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 500.0;

/// The admission state of one endpoint.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limit: ConcurrencyLimit,
    batch_limit: ConcurrencyLimit,
    peak: RecentPeak,
    online: IndexMap<RequestId, Running>,
    batch: IndexMap<RequestId, Running>,
    online_waiting: VecDeque<Waiting>,
    batch_waiting: VecDeque<Waiting>,
    alone_waiting: VecDeque<(Waiting, bool)>,
    alone: Option<RequestId>,
    leaving: bool,
    service_ms: f64,
    first_ms: f64,
    next_order: u64,
}

impl Admission {
    /// Makes an empty admission.
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
            service_ms: INITIAL_SERVICE_MS,
            first_ms: 0.0,
            next_order: 0,
        }
    }

    /// Offers an online request.
    pub fn offer_online(&mut self, offer: Offer, now: Millis) -> Vec<AdmissionAction> {
        if let Some(reason) = self.refusal_of(&offer) {
            return vec![AdmissionAction::Refuse(offer.id, reason)];
        }
        let waiting = self.waiting(offer, now + u64::from(offer.deadline_ms));
        if offer.alone {
            self.alone_waiting.push_back((waiting, true));
        } else {
            self.online_waiting.push_back(waiting);
        }
        self.fill(now)
    }

    /// Offers a batch item. It is never refused but while leaving.
    pub fn offer_batch(&mut self, offer: Offer, now: Millis) -> Vec<AdmissionAction> {
        if self.leaving {
            return vec![AdmissionAction::Refuse(offer.id, RefusalReason::Leaving)];
        }
        let waiting = self.waiting(offer, Millis(u64::MAX));
        if offer.alone {
            self.alone_waiting.push_back((waiting, false));
        } else {
            self.batch_waiting.push_back(waiting);
        }
        self.fill(now)
    }

    /// Notes the first token of a running request. It ends the computation of its prompt, which may
    /// let the next batch item start.
    pub fn note_first_token(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        match self.run_mut(id) {
            Some(run) => {
                run.tokens = run.tokens.max(1);
                run.begun = true;
                let span = now.since(run.started_at) as f64;
                self.first_ms += (span - self.first_ms) * SERVICE_WEIGHT;
            }
            None => return Vec::new(),
        }
        self.fill(now)
    }

    /// Notes further tokens of a running request and the mean time between them in milliseconds.
    pub fn note_tokens(&mut self, id: RequestId, tokens: u32, gap_ms: f64, now: Millis) {
        let running = self.running_total();
        let Some(run) = self.run_mut(id) else { return };
        run.tokens += tokens;
        self.limit.note_gap(gap_ms, running, now);
        self.batch_limit.note_gap(gap_ms, running, now);
    }

    /// Notes that a request ended, however it did.
    pub fn note_ended(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        if let Some(run) = self.online.swap_remove(&id) {
            let span = now.since(run.started_at) as f64;
            self.service_ms += (span - self.service_ms) * SERVICE_WEIGHT;
        }
        self.batch.swap_remove(&id);
        self.release_alone(id);
        self.fill(now)
    }

    /// Notes that a preempted item stopped. It waits again, before all others.
    pub fn note_stopped(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        if let Some(run) = self.batch.swap_remove(&id) {
            let waiting = self.waiting(run.offer, Millis(u64::MAX));
            self.batch_waiting.push_front(waiting);
        }
        self.release_alone(id);
        self.fill(now)
    }

    /// Withdraws a request that waits or runs, because its caller is gone or its job was cancelled.
    pub fn withdraw(&mut self, id: RequestId, now: Millis) -> Vec<AdmissionAction> {
        self.online_waiting.retain(|w| w.offer.id != id);
        self.batch_waiting.retain(|w| w.offer.id != id);
        self.alone_waiting.retain(|(w, _)| w.offer.id != id);
        self.note_ended(id, now)
    }

    /// Refuses what has waited beyond its deadline, and starts what fits.
    pub fn tick(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let late = |w: &Waiting| w.due <= now;
        for waiting in self.online_waiting.iter().filter(|w| late(w)) {
            actions.push(AdmissionAction::Refuse(waiting.offer.id, RefusalReason::Deadline));
        }
        for (waiting, _) in self.alone_waiting.iter().filter(|(w, _)| late(w)) {
            actions.push(AdmissionAction::Refuse(waiting.offer.id, RefusalReason::Deadline));
        }
        self.online_waiting.retain(|w| !late(w));
        self.alone_waiting.retain(|(w, _)| !late(w));
        actions.extend(self.fill(now));
        actions
    }

    /// Takes no further requests. Waiting batch items are handed back; waiting online requests are
    /// served, since they were admitted.
    pub fn leave(&mut self) -> Vec<AdmissionAction> {
        self.leaving = true;
        let mut handed_back: Vec<RequestId> =
            self.batch_waiting.drain(..).map(|w| w.offer.id).collect();
        let batch_alone = |(w, online): &(Waiting, bool)| (!online).then_some(w.offer.id);
        handed_back.extend(self.alone_waiting.iter().filter_map(batch_alone));
        self.alone_waiting.retain(|(_, online)| *online);
        handed_back
            .into_iter()
            .map(|id| AdmissionAction::Refuse(id, RefusalReason::Leaving))
            .collect()
    }

    /// Changes how far batch fills the endpoint.
    pub fn set_fill(&mut self, fill: BatchFill) {
        self.settings.fill = fill;
    }

    /// Notes that the engine crashed. The limit starts anew.
    pub fn note_crash(&mut self, now: Millis) {
        self.limit.reset(now);
        self.batch_limit.reset(now);
    }

    /// Returns the number of batch items that the side should ask for.
    pub fn wanted_batch_items(&self) -> u32 {
        let off = self.settings.mode == AdmissionMode::OnlineOnly;
        if off || self.leaving || self.alone.is_some() || !self.online_waiting.is_empty() {
            return 0;
        }
        let places = self.batch_places();
        if places == 0 {
            return 0;
        }
        let held = self.batch.len() + self.batch_waiting.len();
        (places + self.settings.batch_prefetch).saturating_sub(held as u32)
    }

    /// Returns the load for heartbeats.
    pub fn load(&self) -> SideLoad {
        let online = self.online.len() + self.online_waiting.len();
        SideLoad {
            online: saturate(online),
            limit: saturate(self.limit.get() as usize),
            batch: saturate(self.batch.len()),
            wait_ms: self.expected_wait_ms(self.online_waiting.len()).min(60_000) as u16,
        }
    }

    /// Tells whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.online.is_empty()
            && self.batch.is_empty()
            && self.online_waiting.is_empty()
            && self.batch_waiting.is_empty()
            && self.alone_waiting.is_empty()
    }

    /// Lists the requests running on the endpoint, each with whether it has just begun.
    pub fn running_requests(&self, now: Millis) -> Vec<(RequestId, bool)> {
        let runs = self.online.iter().chain(&self.batch);
        runs.map(|(id, run)| (*id, !run.begun || now.since(run.started_at) < JUST_BEGUN_MS))
            .collect()
    }

    fn run_mut(&mut self, id: RequestId) -> Option<&mut Running> {
        self.online.get_mut(&id).or_else(|| self.batch.get_mut(&id))
    }

    fn refusal_of(&self, offer: &Offer) -> Option<RefusalReason> {
        if self.leaving {
            return Some(RefusalReason::Leaving);
        }
        let queue = self.online_waiting.len() as u32;
        if queue >= self.limit.get() * self.settings.queue_factor {
            return Some(RefusalReason::Busy);
        }
        let full = self.online_running() >= self.online_places();
        let wait = self.expected_wait_ms(self.online_waiting.len() + 1);
        (full && wait > u64::from(offer.deadline_ms)).then_some(RefusalReason::Deadline)
    }

    fn waiting(&mut self, offer: Offer, due: Millis) -> Waiting {
        self.next_order += 1;
        Waiting { offer, due, order: self.next_order }
    }

    fn expected_wait_ms(&self, position: usize) -> u64 {
        let places = f64::from(self.online_places().max(1));
        (position as f64 * self.service_ms / places) as u64
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

    fn online_places(&self) -> u32 {
        match self.settings.mode {
            AdmissionMode::Split { batch } => self.limit.get().saturating_sub(batch).max(1),
            _ => self.limit.get(),
        }
    }

    /// Returns the places that batch may fill at the present online load.
    fn batch_places(&self) -> u32 {
        let free = self.limit.get().saturating_sub(self.online_running());
        match self.settings.mode {
            AdmissionMode::OnlineOnly => 0,
            AdmissionMode::Shared => free,
            AdmissionMode::Split { batch } => batch.min(self.limit.get().saturating_sub(1)),
            AdmissionMode::Priority | AdmissionMode::Preemptive => {
                let places = self
                    .batch_ceiling()
                    .saturating_sub(self.online_running() + self.settings.headroom);
                // A few places keep jobs moving however long online requests come.
                places.max(MIN_BATCH_PLACES.min(free))
            }
        }
    }

    /// Returns the requests, online ones included, up to which batch fills the endpoint.
    fn batch_ceiling(&self) -> u32 {
        let limit = self.batch_limit.get().min(self.limit.get());
        match (self.settings.fill, self.peak.get()) {
            (BatchFill::Gentle, Some(peak)) => {
                let floor = (f64::from(limit) * GENTLE_FLOOR) as u32;
                limit.min(peak.saturating_sub(GENTLE_MARGIN).max(floor))
            }
            (BatchFill::Full, _) | (BatchFill::Gentle, None) => limit,
        }
    }

    fn fill(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.peak.note(self.online_running(), now);
        if self.alone.is_none() && !self.alone_waiting.is_empty() {
            return self.make_room_for_alone(now);
        }
        if self.alone.is_some() {
            return actions;
        }
        while self.online_may_start() {
            let Some(next) = self.online_waiting.pop_front() else { break };
            if next.due <= now + self.first_ms as u64 {
                // Its first token would come too late to be of use.
                actions.push(AdmissionAction::Refuse(next.offer.id, RefusalReason::Deadline));
                continue;
            }
            self.start(next.offer, true, now, &mut actions);
        }
        self.peak.note(self.online_running(), now);
        if self.settings.mode == AdmissionMode::Preemptive {
            self.preempt_excess(&mut actions);
        }
        while self.batch_may_start() {
            let Some(next) = self.batch_waiting.pop_front() else { break };
            self.start(next.offer, false, now, &mut actions);
        }
        actions
    }

    fn online_may_start(&self) -> bool {
        let Some(next) = self.online_waiting.front() else { return false };
        match self.settings.mode {
            // Batch makes room right after, so that it does not count here.
            AdmissionMode::Preemptive => self.online_running() < self.online_places(),
            AdmissionMode::Split { .. } => self.online_running() < self.online_places(),
            AdmissionMode::OnlineOnly | AdmissionMode::Priority => {
                self.running_total() < self.limit.get()
            }
            AdmissionMode::Shared => {
                let batch_is_first =
                    self.batch_waiting.front().is_some_and(|b| b.order < next.order);
                self.running_total() < self.limit.get() && !batch_is_first
            }
        }
    }

    fn batch_may_start(&self) -> bool {
        let Some(next) = self.batch_waiting.front() else { return false };
        if self.batch_running() >= self.batch_places() {
            return false;
        }
        match self.settings.mode {
            AdmissionMode::OnlineOnly => false,
            AdmissionMode::Shared => {
                self.online_waiting.front().is_none_or(|o| next.order < o.order)
            }
            AdmissionMode::Split { .. } => true,
            AdmissionMode::Priority | AdmissionMode::Preemptive => {
                self.online_waiting.is_empty()
                    && self.batch_prefilling() < self.settings.batch_prefills
            }
        }
    }

    fn batch_prefilling(&self) -> u32 {
        let prefilling = |r: &&Running| !r.stopping && !r.begun;
        self.batch.values().filter(prefilling).count() as u32
    }

    /// Stops batch items above the limit, the cheapest to repeat first.
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

    fn make_room_for_alone(&mut self, now: Millis) -> Vec<AdmissionAction> {
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

    fn release_alone(&mut self, id: RequestId) {
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
        let run = Running { offer, started_at: now, begun: false, tokens: 0, stopping: false };
        let class = if online { &mut self.online } else { &mut self.batch };
        class.insert(offer.id, run);
        actions.push(AdmissionAction::Start(offer.id));
    }
}

fn saturate(number: usize) -> u16 {
    number.min(usize::from(u16::MAX)) as u16
}
