//! Discrete-event simulation of a pool of engines with their sides' admission, and one router.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_policy::admission::Admission;
use mulberry_policy::admission::AdmissionAction;
use mulberry_policy::admission::Offer;
use mulberry_policy::routing::Candidate;
use mulberry_policy::routing::choose_endpoint;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;
use mulberry_standin::engine::EngineRequest;
use mulberry_standin::engine::EngineSimulation;

use super::load::Arrival;
use super::plan::Outcome;
use super::plan::SimulationPlan;
use super::plan::Variant;
use super::request::Request;
use super::side::Side;
use super::side::stop_preempted;

/// An event; sides and arrivals are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An online request arrives at the router.
    OnlineArrival(usize),
    /// An engine ends its step.
    StepEnd(usize),
    /// A side's admission gets its periodic tick.
    Tick(usize),
    /// All sides report their load to the router.
    LoadReport,
    /// A pulled batch item, given by its id, reaches a side.
    BatchArrival(usize, u64),
    /// The engines of the plan are lost.
    EnginesLost,
    /// The lost engines return.
    EnginesReturn,
}

struct Simulation<'a> {
    plan: &'a SimulationPlan,
    variant: &'a Variant,
    arrivals: &'a [Arrival],
    sides: Vec<Side>,
    requests: IndexMap<u64, Request>,
    /// Events by time in microseconds, and by the order in which they were scheduled.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_scheduled: u64,
    now_us: u64,
    last_id: u64,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

/// Interval between ticks of a side's admission, in microseconds.
const TICK_INTERVAL_US: u64 = 50_000;

/// Time from a pull until its items arrive, in microseconds.
const PULL_DELAY_US: u64 = 3_000;

/// Least interval between progress reports of one answer, in microseconds.
const PROGRESS_INTERVAL_US: u64 = 100_000;

/// Most sides that an online request is offered to.
const MAX_ATTEMPTS: usize = 4;

/// Runs a simulation of one policy under the given arrivals.
pub(crate) fn run_simulation(
    plan: &SimulationPlan,
    variant: &Variant,
    arrivals: &[Arrival],
    seed: u64,
) -> Outcome {
    let sides = plan.slowness.iter().map(|slowness| Side {
        admission: Admission::new(variant.admission, Millis(0)),
        model: EngineSimulation::new(plan.engine.clone()),
        slowness: *slowness,
        step_running: false,
        report: Default::default(),
        pending_stops: Vec::new(),
        pulls_in_flight: 0,
        in_flight: 0,
        load: SideLoad {
            online: 0,
            limit: variant.admission.limit.initial as u16,
            batch: 0,
            wait_ms: 0,
        },
        is_lost: false,
        unfilled_since: None,
        request_by_run: IndexMap::new(),
    });
    let seconds = plan.seconds as usize + 1;
    let mut simulation = Simulation {
        sides: sides.collect(),
        plan,
        variant,
        arrivals,
        requests: IndexMap::new(),
        events: BinaryHeap::new(),
        events_scheduled: 0,
        now_us: 0,
        last_id: 0,
        rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        outcome: Outcome {
            batch_by_s: vec![0; seconds],
            online_by_s: vec![0; seconds],
            ..Outcome::default()
        },
    };
    simulation.run();
    simulation.outcome
}

impl Simulation<'_> {
    fn run(&mut self) {
        for index in 0..self.sides.len() {
            self.schedule(index as u64 * 1_000, Event::Tick(index));
        }
        self.schedule(0, Event::LoadReport);
        if let Some(first) = self.arrivals.first() {
            self.schedule(first.at_us, Event::OnlineArrival(0));
        }
        if let Some((_, from, to)) = &self.plan.outage {
            let (from, to) = ((from * 1e6) as u64, (to * 1e6) as u64);
            self.schedule(from, Event::EnginesLost);
            self.schedule(to, Event::EnginesReturn);
        }
        let end_us = (self.plan.seconds * 1e6) as u64;
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.events_scheduled += 1;
        self.events.push(Reverse((at_us, self.events_scheduled, event)));
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::OnlineArrival(index) => self.accept_arrival(index),
            Event::StepEnd(side) => self.end_step(side),
            Event::Tick(side) => {
                let now = self.now();
                let actions = self.sides[side].admission.tick(now);
                self.apply_actions(side, actions);
                self.pull_batch_items(side);
                self.record_unfilled(side);
                self.schedule(self.now_us + TICK_INTERVAL_US, Event::Tick(side));
            }
            Event::LoadReport => {
                for side in &mut self.sides {
                    side.load = side.admission.load();
                }
                self.schedule(self.now_us + self.plan.report_ms * 1_000, Event::LoadReport);
            }
            Event::BatchArrival(side, id) => {
                let now = self.now();
                self.sides[side].pulls_in_flight -= 1;
                let offer = self.new_offer(id);
                let actions = self.sides[side].admission.offer_batch(offer, now);
                self.apply_actions(side, actions);
            }
            Event::EnginesLost => self.lose_engines(),
            Event::EnginesReturn => {
                let Some((range, ..)) = self.plan.outage.clone() else { return };
                for side in range {
                    self.sides[side].is_lost = false;
                    self.sides[side].admission = Admission::new(self.variant.admission, self.now());
                }
            }
        }
    }

    fn accept_arrival(&mut self, index: usize) {
        if let Some(next) = self.arrivals.get(index + 1) {
            self.schedule(next.at_us, Event::OnlineArrival(index + 1));
        }
        let arrival = &self.arrivals[index];
        self.last_id += 1;
        let id = self.last_id;
        self.requests.insert(
            id,
            Request {
                online: true,
                prompt_tokens: arrival.prompt_tokens,
                prefix: arrival.prefix,
                ..Request::new(self.now_us, arrival.prompt.clone(), arrival.answer_tokens)
            },
        );
        self.route(id, RefusalReason::NoEndpoint);
    }

    /// Offers an online request to the next endpoint. Refuses it, for the given reason of the last
    /// attempt, if its deadline has passed or its attempts are used up.
    fn route(&mut self, id: u64, reason: RefusalReason) {
        let request = &self.requests[&id];
        let waited_ms = (self.now_us - request.arrived_us) / 1_000;
        let left_ms = u64::from(self.plan.deadline_ms).saturating_sub(waited_ms);
        let available_count = self.sides.iter().filter(|s| !s.is_lost).count();
        if left_ms == 0 || request.tried.len() >= MAX_ATTEMPTS.min(available_count) {
            self.outcome.refused += 1;
            *self.outcome.refusals.entry(reason.as_str()).or_default() += 1;
            self.requests.swap_remove(&id);
            return;
        }
        let available_sides: Vec<usize> =
            (0..self.sides.len()).filter(|i| !self.sides[*i].is_lost).collect();
        let candidates: Vec<Candidate> = available_sides
            .iter()
            .map(|i| {
                let side = &self.sides[*i];
                Candidate {
                    name_hash: stable_hash(&i.to_le_bytes(), 0),
                    near: true,
                    own_in_flight: side.in_flight,
                    reported_online: u32::from(side.load.online),
                    limit: u32::from(side.load.limit),
                    reported_wait_ms: u32::from(side.load.wait_ms),
                    avoid: request.tried.contains(i),
                }
            })
            .collect();
        let prefix = Some(u64::from(request.prefix));
        let mode = self.variant.routing;
        let Some(chosen) = choose_endpoint(mode, &candidates, prefix, &mut self.rng) else {
            self.outcome.refused += 1;
            return;
        };
        let side = available_sides[chosen];
        if let Some(request) = self.requests.get_mut(&id) {
            request.tried.push(side);
        }
        self.sides[side].in_flight += 1;
        let offer = Offer { deadline_ms: left_ms as u32, ..self.new_offer(id) };
        let now = self.now();
        let actions = self.sides[side].admission.offer_online(offer, now);
        self.apply_actions(side, actions);
    }

    fn new_offer(&self, id: u64) -> Offer {
        let prompt_tokens = self.requests[&id].prompt_tokens;
        Offer { id, deadline_ms: u32::MAX, prompt_tokens, alone: false }
    }

    fn apply_actions(&mut self, side: usize, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start(side, id),
                AdmissionAction::Refuse(id, reason) => {
                    let online = self.requests.get(&id).is_some_and(|r| r.online);
                    if online {
                        self.sides[side].in_flight -= 1;
                        self.route(id, reason);
                    }
                }
                AdmissionAction::Preempt(id) => {
                    if let Some(request) = self.requests.get_mut(&id) {
                        request.preempted_us = self.now_us;
                    }
                    self.sides[side].pending_stops.push(id);
                }
            }
        }
        self.finish_stops(side);
        self.step(side);
    }

    /// Stops preempted items if no step is in progress, and reports them to the admission.
    fn finish_stops(&mut self, side: usize) {
        let stopped = stop_preempted(&mut self.sides[side], &mut self.requests);
        for id in stopped {
            self.outcome.stops += 1;
            let waited_us = self.requests.get(&id).map_or(0, |r| self.now_us - r.preempted_us);
            self.outcome.stop_ms_max = self.outcome.stop_ms_max.max(waited_us as f64 / 1e3);
            let now = self.now();
            let actions = self.sides[side].admission.record_stopped(id, now);
            self.apply_actions(side, actions);
        }
    }

    fn start(&mut self, side: usize, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        request.has_token = false;
        // Each run has its own id in the model, because an item can run several times.
        self.last_id += 1;
        let run = self.last_id;
        let state = &mut self.sides[side];
        state.request_by_run.insert(run, id);
        let handle = request.resume_run.take().filter(|_| self.variant.resume);
        let resumed = handle.and_then(|h| state.model.resume(h, run)).is_some();
        if !resumed {
            if request.runs > 1 {
                self.outcome.repeated_tokens += u64::from(request.received_tokens);
                request.received_tokens = 0;
            }
            let (prompt, tokens) = (&request.prompt, request.prompt_tokens);
            let engine = EngineRequest::new(run, prompt, tokens, request.answer_tokens);
            state.model.submit(engine);
        }
    }

    /// Starts a step if the engine has work and no step is in progress.
    fn step(&mut self, side: usize) {
        let state = &mut self.sides[side];
        if state.step_running || state.is_lost {
            return;
        }
        if state.model.is_idle() {
            return;
        }
        state.report = state.model.step();
        state.step_running = true;
        let duration_us = (state.report.duration_us as f64 * state.slowness) as u64;
        self.schedule(self.now_us + duration_us, Event::StepEnd(side));
    }

    fn end_step(&mut self, side: usize) {
        if self.sides[side].is_lost {
            return;
        }
        self.sides[side].step_running = false;
        let report = std::mem::take(&mut self.sides[side].report);
        for (run, tokens) in &report.computed {
            self.outcome.computed_tokens += u64::from(*tokens);
            let id = self.sides[side].request_by_run.get(run).copied();
            let repeated = id.and_then(|id| self.requests.get(&id)).is_some_and(|r| r.runs > 1);
            if repeated {
                self.outcome.repeated_tokens += u64::from(*tokens);
            }
            if id.and_then(|id| self.requests.get(&id)).is_some_and(|r| r.online) {
                self.outcome.online_prompt_tokens += u64::from(*tokens);
            }
        }
        for token in report.tokens {
            self.outcome.computed_tokens += 1;
            self.record_token(side, token.id, token.last);
        }
        self.finish_stops(side);
        self.pull_batch_items(side);
        self.step(side);
    }

    fn record_token(&mut self, side: usize, run: u64, last: bool) {
        let Some(id) = self.sides[side].request_by_run.get(&run).copied() else { return };
        let now = self.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.received_tokens += 1;
        let second = (self.now_us / 1_000_000) as usize;
        match request.last_token_us {
            None if request.online => {
                let first_ms = (self.now_us - request.arrived_us) as f64 / 1e3;
                self.outcome.first_ms.push((self.now_us as f64 / 1e6, first_ms));
            }
            Some(before) if request.online => {
                self.outcome.gaps_ms.push((self.now_us - before) as f64 / 1e3);
            }
            _ => {}
        }
        let is_first_token = !std::mem::replace(&mut request.has_token, true);
        request.last_token_us = Some(self.now_us);
        if request.online {
            self.outcome.online_tokens += 1;
        } else {
            self.outcome.batch_tokens += 1;
            self.outcome.batch_by_s[second] += 1;
        }
        let mut actions = Vec::new();
        if is_first_token {
            request.reported_us = self.now_us;
            request.reported_tokens = request.received_tokens;
            actions = self.sides[side].admission.record_first_token(id, now);
        } else if self.now_us - request.reported_us >= PROGRESS_INTERVAL_US {
            let tokens = request.received_tokens.saturating_sub(request.reported_tokens).max(1);
            let duration_ms = (self.now_us - request.reported_us) as f64 / 1e3;
            request.reported_us = self.now_us;
            request.reported_tokens = request.received_tokens;
            let gap_ms = duration_ms / f64::from(tokens);
            self.sides[side].admission.record_tokens(id, tokens, gap_ms, now);
        }
        if last {
            let online = request.online;
            self.sides[side].request_by_run.swap_remove(&run);
            self.requests.swap_remove(&id);
            if online {
                self.sides[side].in_flight -= 1;
                self.outcome.online_by_s[second] += 1;
            } else {
                self.outcome.batch_items += 1;
            }
            actions.extend(self.sides[side].admission.record_ended(id, now));
        }
        self.apply_actions(side, actions);
    }

    /// Pulls as many batch items as the admission wants; they arrive after [`PULL_DELAY_US`].
    fn pull_batch_items(&mut self, side: usize) {
        if !self.plan.batch || self.sides[side].is_lost {
            return;
        }
        let wanted_count = self.sides[side].admission.wanted_batch_items();
        let pull_count = wanted_count.saturating_sub(self.sides[side].pulls_in_flight);
        for _ in 0..pull_count {
            self.last_id += 1;
            let id = self.last_id;
            let own_tokens: u32 = self.rng.random_range(10..60);
            let prompt = "You write short captions for store screenshots. ".repeat(4)
                + &format!("item {id:024}").repeat(own_tokens as usize / 7 + 1);
            let answer_tokens = self.rng.random_range(16..100);
            let request = Request::new(self.now_us, prompt, answer_tokens);
            self.requests.insert(id, request);
            self.sides[side].pulls_in_flight += 1;
            self.schedule(self.now_us + PULL_DELAY_US, Event::BatchArrival(side, id));
        }
    }

    /// Records for how long more than a fifth of the slots stay free although batch items wait.
    fn record_unfilled(&mut self, side: usize) {
        if !self.plan.batch {
            return;
        }
        let now_us = self.now_us;
        let state = &mut self.sides[side];
        let limit = u32::from(state.admission.load().limit);
        let settings = self.variant.admission;
        let free_slots =
            state.admission.wanted_batch_items().saturating_sub(settings.batch_prefetch);
        let unfilled = !state.is_lost && free_slots * 10 > limit * 2;
        let since = *state.unfilled_since.get_or_insert(now_us);
        if unfilled {
            let duration_ms = (now_us - since) as f64 / 1e3;
            self.outcome.unfilled_ms_max = self.outcome.unfilled_ms_max.max(duration_ms);
        } else {
            state.unfilled_since = None;
        }
    }

    /// Takes engines away, with the work on them. Online requests without a token are routed again; all
    /// other work is lost.
    fn lose_engines(&mut self) {
        let Some((range, ..)) = self.plan.outage.clone() else { return };
        for side in range {
            let state = &mut self.sides[side];
            state.is_lost = true;
            state.step_running = false;
            state.in_flight = 0;
            state.pending_stops.clear();
            state.model.crash();
            let lost: Vec<u64> = state.request_by_run.drain(..).map(|(_, id)| id).collect();
            for id in lost {
                let Some(request) = self.requests.get_mut(&id) else { continue };
                if request.online && request.received_tokens == 0 {
                    request.runs = 0;
                    self.route(id, RefusalReason::LinkFailed);
                } else {
                    self.requests.swap_remove(&id);
                }
            }
        }
    }
}
