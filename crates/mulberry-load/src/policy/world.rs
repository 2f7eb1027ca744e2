//! A pool of engines with their sides' admissions and one router, driven by a queue of events.

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
use super::plan::Variant;
use super::plan::WorldPlan;
use super::request::Request;
use super::side::Side;
use super::side::stop_cancelled;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    StepEnd(usize),
    Tick(usize),
    Report,
    BatchArrives(usize, u64),
    Lose,
    Return,
}

struct World<'a> {
    plan: &'a WorldPlan,
    variant: &'a Variant,
    arrivals: &'a [Arrival],
    sides: Vec<Side>,
    requests: IndexMap<u64, Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    now_us: u64,
    next_id: u64,
    rng: ChaCha8Rng,
    out: Outcome,
}

/// Time between looks of a side, in microseconds.
const TICK_US: u64 = 50_000;

/// Time for a pull to bring its items, in microseconds.
const PULL_US: u64 = 3_000;

/// Time between reports of a stream's progress, in microseconds.
const PROGRESS_US: u64 = 100_000;

/// Most tries of one online request.
const TRIES: usize = 4;

/// Runs one policy over the arrivals.
pub(crate) fn run_world(
    plan: &WorldPlan,
    variant: &Variant,
    arrivals: &[Arrival],
    seed: u64,
) -> Outcome {
    let sides = plan.slowness.iter().map(|slowness| Side {
        admission: Admission::new(variant.admission, Millis(0)),
        model: EngineSimulation::new(plan.engine.clone()),
        slowness: *slowness,
        stepping: false,
        report: Default::default(),
        cancels: Vec::new(),
        pulling: 0,
        in_flight: 0,
        load: SideLoad {
            online: 0,
            limit: variant.admission.limit.initial as u16,
            batch: 0,
            wait_ms: 0,
        },
        away: false,
        unfilled_since: None,
        live: IndexMap::new(),
    });
    let seconds = plan.seconds as usize + 1;
    let mut world = World {
        sides: sides.collect(),
        plan,
        variant,
        arrivals,
        requests: IndexMap::new(),
        events: BinaryHeap::new(),
        order: 0,
        now_us: 0,
        next_id: 0,
        rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        out: Outcome {
            batch_by_s: vec![0; seconds],
            online_by_s: vec![0; seconds],
            ..Outcome::default()
        },
    };
    world.run();
    world.out
}

impl World<'_> {
    fn run(&mut self) {
        for index in 0..self.sides.len() {
            self.at(index as u64 * 1_000, Event::Tick(index));
        }
        self.at(0, Event::Report);
        if let Some(first) = self.arrivals.first() {
            self.at(first.at_us, Event::Arrive(0));
        }
        if let Some((_, from, to)) = &self.plan.lost {
            let (from, to) = ((from * 1e6) as u64, (to * 1e6) as u64);
            self.at(from, Event::Lose);
            self.at(to, Event::Return);
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

    fn at(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::StepEnd(side) => self.end_step(side),
            Event::Tick(side) => {
                let now = self.now();
                let actions = self.sides[side].admission.tick(now);
                self.carry_out(side, actions);
                self.pull(side);
                self.record_unfilled(side);
                self.at(self.now_us + TICK_US, Event::Tick(side));
            }
            Event::Report => {
                for side in &mut self.sides {
                    side.load = side.admission.load();
                }
                self.at(self.now_us + self.plan.report_ms * 1_000, Event::Report);
            }
            Event::BatchArrives(side, id) => {
                let now = self.now();
                self.sides[side].pulling -= 1;
                let offer = self.offer_of(id);
                let actions = self.sides[side].admission.offer_batch(offer, now);
                self.carry_out(side, actions);
            }
            Event::Lose => self.lose(),
            Event::Return => {
                let Some((range, ..)) = self.plan.lost.clone() else { return };
                for side in range {
                    self.sides[side].away = false;
                    self.sides[side].admission = Admission::new(self.variant.admission, self.now());
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.arrivals.get(index + 1) {
            self.at(next.at_us, Event::Arrive(index + 1));
        }
        let arrival = &self.arrivals[index];
        self.next_id += 1;
        let id = self.next_id;
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

    /// Offers an online request to the next endpoint, or refuses it for the last one's reason.
    fn route(&mut self, id: u64, reason: RefusalReason) {
        let request = &self.requests[&id];
        let waited_ms = (self.now_us - request.arrived_us) / 1_000;
        let left_ms = u64::from(self.plan.deadline_ms).saturating_sub(waited_ms);
        let live = self.sides.iter().filter(|s| !s.away).count();
        if left_ms == 0 || request.tried.len() >= TRIES.min(live) {
            self.out.refused += 1;
            *self.out.refusals.entry(reason.as_str()).or_default() += 1;
            self.requests.swap_remove(&id);
            return;
        }
        let known: Vec<usize> = (0..self.sides.len()).filter(|i| !self.sides[*i].away).collect();
        let candidates: Vec<Candidate> = known
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
            self.out.refused += 1;
            return;
        };
        let side = known[chosen];
        if let Some(request) = self.requests.get_mut(&id) {
            request.tried.push(side);
        }
        self.sides[side].in_flight += 1;
        let offer = Offer { deadline_ms: left_ms as u32, ..self.offer_of(id) };
        let now = self.now();
        let actions = self.sides[side].admission.offer_online(offer, now);
        self.carry_out(side, actions);
    }

    fn offer_of(&self, id: u64) -> Offer {
        let prompt_tokens = self.requests[&id].prompt_tokens;
        Offer { id, deadline_ms: u32::MAX, prompt_tokens, alone: false }
    }

    fn carry_out(&mut self, side: usize, actions: Vec<AdmissionAction>) {
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
                    self.sides[side].cancels.push(id);
                }
            }
        }
        self.settle_stops(side);
        self.step(side);
    }

    /// Reports what stopped between two steps.
    fn settle_stops(&mut self, side: usize) {
        let stopped = stop_cancelled(&mut self.sides[side], &mut self.requests);
        for id in stopped {
            self.out.stops += 1;
            let waited = self.requests.get(&id).map_or(0, |r| self.now_us - r.preempted_us);
            self.out.stop_ms_max = self.out.stop_ms_max.max(waited as f64 / 1e3);
            let now = self.now();
            let actions = self.sides[side].admission.record_stopped(id, now);
            self.carry_out(side, actions);
        }
    }

    fn start(&mut self, side: usize, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        request.begun = false;
        // The model knows each run by a number of its own.
        self.next_id += 1;
        let run = self.next_id;
        let state = &mut self.sides[side];
        state.live.insert(run, id);
        let handle = request.stopped_handle.take().filter(|_| self.variant.resume);
        let resumed = handle.and_then(|h| state.model.resume(h, run)).is_some();
        if !resumed {
            if request.runs > 1 {
                self.out.repeated_tokens += u64::from(request.got);
                request.got = 0;
            }
            let (prompt, tokens) = (&request.prompt, request.prompt_tokens);
            let engine = EngineRequest::new(run, prompt, tokens, request.answer_tokens);
            state.model.submit(engine);
        }
    }

    /// Starts a step if the engine has work and none is under way.
    fn step(&mut self, side: usize) {
        let state = &mut self.sides[side];
        if state.stepping || state.away {
            return;
        }
        if state.model.is_idle() {
            return;
        }
        state.report = state.model.step();
        state.stepping = true;
        let span_us = (state.report.duration_us as f64 * state.slowness) as u64;
        self.at(self.now_us + span_us, Event::StepEnd(side));
    }

    fn end_step(&mut self, side: usize) {
        if self.sides[side].away {
            return;
        }
        self.sides[side].stepping = false;
        let report = std::mem::take(&mut self.sides[side].report);
        for (run, tokens) in &report.computed {
            self.out.computed_tokens += u64::from(*tokens);
            let id = self.sides[side].live.get(run).copied();
            let repeated = id.and_then(|id| self.requests.get(&id)).is_some_and(|r| r.runs > 1);
            if repeated {
                self.out.repeated_tokens += u64::from(*tokens);
            }
            if id.and_then(|id| self.requests.get(&id)).is_some_and(|r| r.online) {
                self.out.online_prompt_tokens += u64::from(*tokens);
            }
        }
        for token in report.tokens {
            self.out.computed_tokens += 1;
            self.take_token(side, token.id, token.last);
        }
        self.settle_stops(side);
        self.pull(side);
        self.step(side);
    }

    fn take_token(&mut self, side: usize, run: u64, last: bool) {
        let Some(id) = self.sides[side].live.get(&run).copied() else { return };
        let now = self.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.got += 1;
        let second = (self.now_us / 1_000_000) as usize;
        match request.last_token_us {
            None if request.online => {
                let first_ms = (self.now_us - request.arrived_us) as f64 / 1e3;
                self.out.first_ms.push((self.now_us as f64 / 1e6, first_ms));
            }
            Some(before) if request.online => {
                self.out.gaps_ms.push((self.now_us - before) as f64 / 1e3);
            }
            _ => {}
        }
        let begins = !std::mem::replace(&mut request.begun, true);
        request.last_token_us = Some(self.now_us);
        if request.online {
            self.out.online_tokens += 1;
        } else {
            self.out.batch_tokens += 1;
            self.out.batch_by_s[second] += 1;
        }
        let mut actions = Vec::new();
        if begins {
            request.reported_us = self.now_us;
            request.reported_got = request.got;
            actions = self.sides[side].admission.record_first_token(id, now);
        } else if self.now_us - request.reported_us >= PROGRESS_US {
            let tokens = request.got.saturating_sub(request.reported_got).max(1);
            let span_ms = (self.now_us - request.reported_us) as f64 / 1e3;
            request.reported_us = self.now_us;
            request.reported_got = request.got;
            let gap_ms = span_ms / f64::from(tokens);
            self.sides[side].admission.record_tokens(id, tokens, gap_ms, now);
        }
        if last {
            let online = request.online;
            self.sides[side].live.swap_remove(&run);
            self.requests.swap_remove(&id);
            if online {
                self.sides[side].in_flight -= 1;
                self.out.online_by_s[second] += 1;
            } else {
                self.out.batch_items += 1;
            }
            actions.extend(self.sides[side].admission.record_ended(id, now));
        }
        self.carry_out(side, actions);
    }

    /// Pulls batch items, which arrive a little later.
    fn pull(&mut self, side: usize) {
        if !self.plan.batch || self.sides[side].away {
            return;
        }
        let room = self.sides[side].admission.wanted_batch_items();
        let wanted = room.saturating_sub(self.sides[side].pulling);
        for _ in 0..wanted {
            self.next_id += 1;
            let id = self.next_id;
            let own_tokens: u32 = self.rng.random_range(10..60);
            let prompt = "You write short captions for store screenshots. ".repeat(4)
                + &format!("item {id:024}").repeat(own_tokens as usize / 7 + 1);
            let answer_tokens = self.rng.random_range(16..100);
            let request = Request::new(self.now_us, prompt, answer_tokens);
            self.requests.insert(id, request);
            self.sides[side].pulling += 1;
            self.at(self.now_us + PULL_US, Event::BatchArrives(side, id));
        }
    }

    /// Notes for how long places for batch stay free although items wait.
    fn record_unfilled(&mut self, side: usize) {
        if !self.plan.batch {
            return;
        }
        let now_us = self.now_us;
        let state = &mut self.sides[side];
        let limit = u32::from(state.admission.load().limit);
        let settings = self.variant.admission;
        let free = state.admission.wanted_batch_items().saturating_sub(settings.batch_prefetch);
        let unfilled = !state.away && free * 10 > limit * 2;
        let since = *state.unfilled_since.get_or_insert(now_us);
        if unfilled {
            let span_ms = (now_us - since) as f64 / 1e3;
            self.out.unfilled_ms_max = self.out.unfilled_ms_max.max(span_ms);
        } else {
            state.unfilled_since = None;
        }
    }

    /// Takes engines away, with what ran on them. Online requests are routed again.
    fn lose(&mut self) {
        let Some((range, ..)) = self.plan.lost.clone() else { return };
        for side in range {
            let state = &mut self.sides[side];
            state.away = true;
            state.stepping = false;
            state.in_flight = 0;
            state.cancels.clear();
            state.model.crash();
            let lost: Vec<u64> = state.live.drain(..).map(|(_, id)| id).collect();
            for id in lost {
                let Some(request) = self.requests.get_mut(&id) else { continue };
                if request.online && request.got == 0 {
                    request.runs = 0;
                    self.route(id, RefusalReason::LinkFailed);
                } else {
                    self.requests.swap_remove(&id);
                }
            }
        }
    }
}
