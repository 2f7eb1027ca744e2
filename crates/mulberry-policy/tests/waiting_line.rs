//! Patterns of load on two entries before two endpoints with short queues, in virtual time: who is served, by
//! the time that callers have. The entries hear of each other ten times a second.

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_policy::run_times::CompletedRun;
use mulberry_policy::run_times::RunTimes;
use mulberry_policy::waiting_line::Capacity;
use mulberry_policy::waiting_line::ElsewhereCounts;
use mulberry_policy::waiting_line::InProgress;
use mulberry_policy::waiting_line::WaitingLine;
use mulberry_policy::waiting_line::is_behind;
use mulberry_policy::waiting_line::return_after_ms;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

const ENDPOINTS: usize = 2;
const SLOTS: usize = 8;
const RUN_MS: u64 = 200;
const REPORT_MS: u64 = 100;

/// Callers of one kind.
#[derive(Debug, Clone, Copy)]
struct Callers {
    /// Requests in a millisecond, relative to what the endpoints run.
    load: f64,
    /// Requests that come at once at the beginning.
    at_once: usize,
    /// Time that each has.
    time_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    due: Millis,
    entry: usize,
    sent_at: Millis,
    in_flight: usize,
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    served: usize,
    late: usize,
    refused: usize,
    /// Of the refused, those that had waited in vain.
    in_vain: usize,
}

impl Outcomes {
    fn served_part(self) -> f64 {
        self.served as f64 / (self.served + self.late + self.refused).max(1) as f64
    }
}

#[derive(Default)]
struct Endpoint {
    running: Vec<(Millis, Request)>,
    queued: VecDeque<Request>,
}

#[derive(Default)]
struct Entry {
    line: WaitingLine<Request>,
    times: RunTimes,
    in_flight: [usize; ENDPOINTS],
    /// As the other entry last heard of it.
    told: ([usize; ENDPOINTS], ElsewhereCounts),
}

struct Simulation {
    entries: [Entry; 2],
    endpoints: [Endpoint; ENDPOINTS],
    outcomes: Vec<Outcomes>,
    rng: ChaCha8Rng,
    now: Millis,
}

impl Simulation {
    fn known(&self, entry: usize, endpoint: usize) -> usize {
        self.entries[entry].in_flight[endpoint] + self.entries[1 - entry].told.0[endpoint]
    }

    fn start_by(&self, req: &Request) -> Millis {
        req.due - self.entries[req.entry].times.needed_ms(&service())
    }

    fn worth_until(&self, req: &Request) -> Millis {
        req.due - self.entries[req.entry].times.least_needed_ms(&service())
    }

    /// Sends a request to the endpoint with the least load, if that has room.
    fn try_send(&mut self, mut req: Request) -> bool {
        let entry = &self.entries[req.entry];
        let other = &self.entries[1 - req.entry].told;
        let wait_ms = self.worth_until(&req).since(self.now);
        let unseen_ms = REPORT_MS as f64 / 2.0;
        let max = entry.times.max_online(&service(), SLOTS as u32, 1.0, unseen_ms, wait_ms);
        let sum = |loads: [usize; ENDPOINTS]| loads.iter().sum::<usize>() as f64;
        let own = InProgress { in_flight: sum(entry.in_flight), waiting: entry.line.len() as f64 };
        let elsewhere = InProgress { in_flight: sum(other.0), waiting: other.1.total() };
        let behind = is_behind(own, elsewhere, max * ENDPOINTS as u32);
        let max = if behind { 2 * max as usize - SLOTS } else { max as usize };
        let chosen = (0..ENDPOINTS).min_by_key(|e| self.known(req.entry, *e)).unwrap_or(0);
        let has_place = self.endpoints[chosen].queued.len() < SLOTS;
        if self.known(req.entry, chosen) >= max || !has_place {
            return false;
        }
        self.entries[req.entry].in_flight[chosen] += 1;
        (req.sent_at, req.in_flight) = (self.now, self.known(req.entry, chosen));
        self.endpoints[chosen].queued.push_back(req);
        true
    }

    fn take(&mut self, req: Request) {
        if self.entries[req.entry].line.is_empty() && self.try_send(req) {
            return;
        }
        let start_by = self.start_by(&req);
        let in_flight = (0..ENDPOINTS).map(|e| self.known(req.entry, e)).sum::<usize>() as f64;
        let slots = (SLOTS * ENDPOINTS) as f64;
        let run_ms = self.entries[req.entry].times.run_ms(&service()).unwrap_or(0.0);
        let capacity = Capacity { run_ms, slots, in_flight };
        let elsewhere = self.entries[1 - req.entry].told.1;
        let line = &mut self.entries[req.entry].line;
        match line.refusal(start_by, capacity, &elsewhere, &mut self.rng, self.now) {
            Some(_) => self.outcomes[req.kind].refused += 1,
            None => {
                line.join(start_by, req);
            }
        }
    }

    fn call_first(&mut self, entry: usize) {
        while let Some((place, req)) = self.entries[entry].line.first() {
            let req = *req;
            if self.worth_until(&req) <= self.now {
                self.outcomes[req.kind].refused += 1;
                self.outcomes[req.kind].in_vain += 1;
            } else if !self.try_send(req) {
                return;
            }
            self.entries[entry].line.leave(place);
        }
    }

    fn run_endpoints(&mut self) {
        for index in 0..ENDPOINTS {
            let endpoint = &mut self.endpoints[index];
            let (ended, running) = endpoint.running.drain(..).partition(|r| r.0 <= self.now);
            endpoint.running = running;
            while endpoint.running.len() < SLOTS
                && let Some(req) = endpoint.queued.pop_front()
            {
                let spread: u64 = self.rng.random_range(0..=RUN_MS / 4);
                endpoint.running.push((self.now + RUN_MS - RUN_MS / 8 + spread, req));
            }
            let ended: Vec<(Millis, Request)> = ended;
            for (_, req) in ended {
                let entry = &mut self.entries[req.entry];
                entry.in_flight[index] -= 1;
                let (first_ms, in_flight) = (self.now.since(req.sent_at), req.in_flight as u32);
                let run = CompletedRun { first_ms, rest_ms: 0, in_flight, slots: SLOTS as u32 };
                entry.times.record_run(&service(), run);
                let outcomes = &mut self.outcomes[req.kind];
                if self.now <= req.due { outcomes.served += 1 } else { outcomes.late += 1 }
            }
        }
    }

    fn tell(&mut self) {
        for entry in &mut self.entries {
            let mut waiting = ElsewhereCounts::default();
            waiting.add(&entry.line.counts(self.now));
            entry.told = (entry.in_flight, waiting);
        }
    }
}

fn service() -> ServiceName {
    ServiceName::new("captions")
}

/// Plays callers for 40 s and returns what became of them. All but those at once come at random.
fn play(callers: &[Callers], seed: u64) -> Vec<Outcomes> {
    let mut simulation = Simulation {
        entries: Default::default(),
        endpoints: Default::default(),
        outcomes: vec![Outcomes::default(); callers.len()],
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Millis(1_000_000),
    };
    for entry in &mut simulation.entries {
        let run = CompletedRun { first_ms: RUN_MS, rest_ms: 0, in_flight: 1, slots: SLOTS as u32 };
        entry.times.record_run(&service(), run);
    }
    for tick in 0..45_000 {
        simulation.now = simulation.now + 1;
        simulation.run_endpoints();
        if tick % REPORT_MS == 0 {
            simulation.tell();
        }
        for (kind, of_kind) in callers.iter().enumerate() {
            let rate = of_kind.load * (SLOTS * ENDPOINTS) as f64 / RUN_MS as f64;
            let comes = tick < 40_000 && simulation.rng.random::<f64>() < rate;
            let count = usize::from(comes) + if tick == 0 { of_kind.at_once } else { 0 };
            for _ in 0..count {
                let (entry, now) = (simulation.rng.random_range(0..2), simulation.now);
                let due = now + of_kind.time_ms;
                simulation.take(Request { kind, due, entry, sent_at: now, in_flight: 0 });
            }
        }
        (0..2).for_each(|entry| simulation.call_first(entry));
    }
    simulation.outcomes
}

/// Plays callers with several seeds, so that chance makes no difference between the kinds.
fn play_seeds(callers: &[Callers]) -> Vec<Outcomes> {
    let mut sums = vec![Outcomes::default(); callers.len()];
    for outcomes in (0..4).map(|seed| play(callers, seed)) {
        for (sum, of_seed) in sums.iter_mut().zip(outcomes) {
            sum.served += of_seed.served;
            sum.late += of_seed.late;
            sum.refused += of_seed.refused;
            sum.in_vain += of_seed.in_vain;
        }
    }
    sums
}

struct LoadPattern {
    name: &'static str,
    callers: &'static [Callers],
    /// Least part of each kind that is served.
    min_served: f64,
    /// Largest difference between the kinds.
    max_difference: f64,
}

#[test]
fn callers_are_served_by_the_time_that_they_have() {
    let patterns = [
        LoadPattern {
            name: "200 at once, 2.5 s of work, each with 5 s: none is refused",
            callers: &[Callers { load: 0.0, at_once: 200, time_ms: 5_000 }],
            min_served: 1.0,
            max_difference: 0.0,
        },
        LoadPattern {
            name: "below full load: nobody is refused, whatever the time",
            callers: &[
                Callers { load: 0.4, at_once: 0, time_ms: 5_000 },
                Callers { load: 0.4, at_once: 0, time_ms: 3_500 },
            ],
            min_served: 0.995,
            max_difference: 0.005,
        },
        LoadPattern {
            name: "half as much again as fits, 5 s and 3.5 s: alike",
            callers: &[
                Callers { load: 0.75, at_once: 0, time_ms: 5_000 },
                Callers { load: 0.75, at_once: 0, time_ms: 3_500 },
            ],
            min_served: 0.6,
            max_difference: 0.05,
        },
        LoadPattern {
            name: "first tries with 5 s and repeats with what is left of it: alike",
            callers: &[
                Callers { load: 0.9, at_once: 0, time_ms: 5_000 },
                Callers { load: 0.4, at_once: 0, time_ms: 4_300 },
                Callers { load: 0.2, at_once: 0, time_ms: 3_200 },
            ],
            min_served: 0.6,
            max_difference: 0.05,
        },
        LoadPattern {
            name: "some in a hurry by nature: nobody is starved",
            callers: &[
                Callers { load: 0.7, at_once: 0, time_ms: 5_000 },
                Callers { load: 0.7, at_once: 0, time_ms: 900 },
            ],
            min_served: 0.6,
            max_difference: 0.15,
        },
        LoadPattern {
            name: "one caller with a very long time changes nothing for the others",
            callers: &[
                Callers { load: 1.5, at_once: 0, time_ms: 4_000 },
                Callers { load: 0.0, at_once: 1, time_ms: 600_000 },
            ],
            min_served: 0.62,
            max_difference: 0.4,
        },
        LoadPattern {
            name: "1.6 of what fits: the endpoints stay busy",
            callers: &[Callers { load: 1.6, at_once: 0, time_ms: 5_000 }],
            min_served: 0.6,
            max_difference: 0.0,
        },
        LoadPattern {
            name: "three times what fits, with 600 ms",
            callers: &[Callers { load: 3.0, at_once: 0, time_ms: 600 }],
            min_served: 0.31,
            max_difference: 0.0,
        },
    ];
    for pattern in patterns {
        let outcomes = play_seeds(pattern.callers);
        let parts: Vec<f64> = outcomes.iter().map(|o| o.served_part()).collect();
        let shown = format!("{}: {parts:?} {outcomes:?}", pattern.name);
        println!("{shown}");
        let least = parts.iter().copied().fold(1.0, f64::min);
        let most = parts.iter().copied().fold(0.0, f64::max);
        assert!(least >= pattern.min_served, "{shown}");
        assert!(most - least <= pattern.max_difference, "{shown}");
        let all: usize = outcomes.iter().map(|o| o.served + o.refused).sum();
        assert!(outcomes.iter().all(|o| o.late * 1_000 <= all), "late: {shown}");
        assert!(outcomes.iter().all(|o| o.in_vain * 100 <= all), "waited in vain: {shown}");
    }
}

#[test]
fn callers_in_a_hurry_pass_those_who_have_time() {
    let mut line = WaitingLine::default();
    let places = [4_000, 500, 2_000].map(|left| line.join(Millis(left), left));
    let mut order = Vec::new();
    while let Some((place, left)) = line.first() {
        order.push(*left);
        line.leave(place);
    }
    assert_eq!(order, [500, 2_000, 4_000]);
    assert!(line.leave(places[0]).is_none());
}

#[test]
fn refused_callers_come_back_while_there_is_time_to_serve_them() {
    for left_ms in [300, 600, 5_000] {
        let spread = [0.0, 0.5, 0.99].map(|draw| u64::from(return_after_ms(left_ms, draw)));
        assert!(spread[0] > 0 && spread[0] < spread[1] && spread[1] < spread[2], "{spread:?}");
        assert!(
            spread[2] * 3 <= left_ms,
            "callers honour it up to a third of what is left: {spread:?}"
        );
    }
}
