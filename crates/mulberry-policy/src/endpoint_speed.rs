//! Learns how fast each endpoint is, compared with the others of its service, from the times of its
//! responses.
//!
//! The times depend on the load under which they were seen. Each is therefore compared with what the
//! endpoints of the service show at a load like that. Processes tell each other what they have seen, a few
//! endpoints with each heartbeat, so that all learn of endpoints to which they send little.

use indexmap::IndexMap;

use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::EndpointSlowness;
use mulberry_protocol::time::Millis;

/// Time after which an observation counts half. It is long compared with pauses of less than a second,
/// which the load shows sooner, and short compared with the life of an endpoint.
const HALF_LIFE_MS: f64 = 20_000.0;

/// Weight of the assumption that an endpoint is like the others, in observations. A single pause must not
/// make it slow.
const PRIOR_WEIGHT: f64 = 10.0;

/// Largest difference that one observation shows, as a natural logarithm of the slowness. It bounds the
/// effect of requests that are unlike the others and of pauses. A slowness of two is within it.
const MAX_LOG: f64 = 0.7;

/// Weight of a new observation in the usual time at a load.
const USUAL_WEIGHT: f64 = 0.05;

/// Share of the learned slowness of an endpoint by which its times are expected to differ from the usual.
const EXPLAINED_SHARE: f64 = 0.97;

/// Age at which an endpoint's observations are forgotten, in milliseconds. They count next to nothing
/// then.
const FORGET_MS: u64 = 60_000;

/// Steps in which peers are told the logarithm of a slowness.
const LOG_STEPS: f64 = 100.0;

/// Number of levels into which the load, as a part of the slots, is divided.
const MAX_LOAD_LEVEL: u32 = 8;

/// Shortest time that is compared, in milliseconds. Times are measured in whole milliseconds, so that shorter ones
/// differ by chance, and callers don't notice the difference.
const MIN_COMPARED_MS: u64 = 10;

/// A part of a response whose time is observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObservedPart {
    /// From sending the request to the first part of the response, at an endpoint with free slots.
    First,
    /// From one part of the response to the next.
    Between,
    /// A whole response that came at once, at an endpoint with free slots.
    Whole,
}

/// The times of one response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedRun {
    /// Load known at the endpoint when the request was sent, itself included.
    pub in_flight: u32,
    /// Time to the first part, in milliseconds.
    pub first_ms: u64,
    /// Time from the first part to the last one, in milliseconds, and number of parts; none for a response
    /// that came at once.
    pub rest: Option<(u64, u64)>,
}

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Learned {
    /// Sum of the weights of the observations, and mean logarithm of the slowness.
    weight: f64,
    log: f64,
    seen_at: Millis,
    /// Own observations that peers have not been told: their number and sum.
    untold: u32,
    untold_sum: f64,
}

impl Learned {
    fn weight_at(&self, now: Millis) -> f64 {
        self.weight * (-(now.since(self.seen_at) as f64) / HALF_LIFE_MS).exp2()
    }

    fn log_at(&self, now: Millis) -> f64 {
        let weight = self.weight_at(now);
        self.log * weight / (weight + PRIOR_WEIGHT)
    }

    fn add(&mut self, log: f64, weight: f64, now: Millis) {
        let before = self.weight_at(now);
        self.log = (self.log * before + log * weight) / (before + weight);
        self.weight = before + weight;
        self.seen_at = now;
    }
}

/// The speeds of endpoints, as one process knows them.
#[derive(Debug, Default)]
pub struct EndpointSpeeds {
    /// By the key of the endpoint's process, so that nothing that was learned of an earlier one counts.
    learned: IndexMap<u32, Learned>,
    /// Logarithm of the usual time of a part at a load, by service.
    usual: IndexMap<ServiceName, IndexMap<(ObservedPart, u32), f64>>,
    /// Position from which the next heartbeat tells.
    next_told: usize,
}

impl EndpointSpeeds {
    /// Records the times of a response.
    pub fn record_run(&mut self, endpoint: &EndpointRecord, run: ObservedRun, now: Millis) {
        let is_free = run.in_flight <= endpoint.slots;
        let first = match run.rest {
            Some(_) => ObservedPart::First,
            None => ObservedPart::Whole,
        };
        if is_free && run.first_ms >= MIN_COMPARED_MS {
            self.record(endpoint, first, run.in_flight, run.first_ms as f64, now);
        }
        let is_compared = |(rest_ms, parts): &(u64, u64)| *rest_ms >= MIN_COMPARED_MS && *parts > 1;
        if let Some((rest_ms, parts)) = run.rest.filter(is_compared) {
            let between_ms = rest_ms as f64 / (parts - 1) as f64;
            self.record(endpoint, ObservedPart::Between, run.in_flight, between_ms, now);
        }
    }

    fn record(
        &mut self,
        endpoint: &EndpointRecord,
        part: ObservedPart,
        in_flight: u32,
        time_ms: f64,
        now: Millis,
    ) {
        let key = endpoint.speed_key();
        // A little is left unexplained, so that what slows all endpoints becomes usual.
        let known_log = self.learned.get(&key).map_or(0.0, |l| l.log * EXPLAINED_SHARE);
        let level = in_flight.min(endpoint.slots) * MAX_LOAD_LEVEL / endpoint.slots.max(1);
        let time = time_ms.max(0.1).ln();
        let usual = self.usual.entry(endpoint.service.clone()).or_default();
        let usual = usual.entry((part, level)).or_insert(time - known_log);
        let log = (time - *usual).clamp(-MAX_LOG, MAX_LOG);
        *usual += (log - known_log) * USUAL_WEIGHT;
        let learned = self.learned.entry(key).or_default();
        learned.add(log, 1.0, now);
        learned.untold += 1;
        learned.untold_sum += log;
    }

    /// Records what a peer has seen.
    pub fn merge(&mut self, told: &[EndpointSlowness], now: Millis) {
        for told in told {
            let log = (f64::from(told.log) / LOG_STEPS).clamp(-MAX_LOG, MAX_LOG);
            let learned = self.learned.entry(told.endpoint).or_default();
            learned.add(log, f64::from(told.weight), now);
        }
    }

    /// Returns the times that endpoints of one service take, relative to their mean.
    pub fn slowness(&self, keys: &[u32], now: Millis) -> Vec<f64> {
        let log_of = |key: &u32| self.learned.get(key).map_or(0.0, |l| l.log_at(now));
        let logs: Vec<f64> = keys.iter().map(log_of).collect();
        let mean = logs.iter().sum::<f64>() / logs.len().max(1) as f64;
        logs.into_iter().map(|log| (log - mean).exp()).collect()
    }

    /// Returns the time since an endpoint was last observed here or by a peer, in milliseconds.
    pub fn age_ms(&self, key: u32, now: Millis) -> Option<u64> {
        self.learned.get(&key).map(|l| now.since(l.seen_at))
    }

    /// Returns what to tell peers with the next heartbeat: the next few endpoints in turn with new
    /// observations. Forgets endpoints that were not observed for long.
    pub fn slowness_to_tell(&mut self, most: usize, now: Millis) -> Vec<EndpointSlowness> {
        self.learned.retain(|_, l| now.since(l.seen_at) < FORGET_MS);
        let count = self.learned.len();
        let mut told = Vec::new();
        for _ in 0..count {
            if told.len() >= most {
                break;
            }
            self.next_told = (self.next_told + 1) % count;
            let Some((key, learned)) = self.learned.get_index_mut(self.next_told) else { break };
            if learned.untold > 0 {
                let mean = learned.untold_sum / f64::from(learned.untold);
                told.push(EndpointSlowness {
                    endpoint: *key,
                    log: (mean * LOG_STEPS).round() as i8,
                    weight: learned.untold.min(u8::MAX.into()) as u8,
                });
                (learned.untold, learned.untold_sum) = (0, 0.0);
            }
        }
        told
    }
}

/// Loads in a heartbeat for each endpoint that it tells the slowness of. One told takes some 7 bytes, one
/// load some 12, so that the heartbeat grows by less than a tenth.
const LOADS_PER_TOLD: usize = 8;

/// A heartbeat with few loads tells one endpoint in each of so many heartbeats. No interval of heartbeats to
/// a peer is a multiple of it, so that each peer hears some of them.
const SMALL_HEARTBEATS_PER_TOLD: u64 = 7;

/// Returns of how many endpoints a heartbeat that reports this many loads tells the slowness, so that
/// heartbeats grow by less than a tenth.
pub fn told_with(loads: usize, sequence: u64) -> usize {
    let is_due = sequence.is_multiple_of(SMALL_HEARTBEATS_PER_TOLD);
    (loads / LOADS_PER_TOLD).max(usize::from(is_due))
}
