//! Chooses the endpoint of a request by prefix affinity, load and availability zone.

use rand::Rng;
use rand::seq::IteratorRandom;

use mulberry_protocol::closed_set;
use mulberry_protocol::digest::stable_hash;

closed_set! {
    /// How endpoints are chosen.
    pub enum RoutingMode {
        /// The endpoint preferred for the prompt's prefix unless its load is too high, else the
        /// less loaded of two random endpoints.
        Affinity,
        /// The less loaded of two random endpoints.
        TwoChoices,
        /// One of the least loaded endpoints.
        LeastLoaded,
        /// The least loaded of a few random endpoints, drawn from the entry's zone and from the others.
        Sampled,
        /// A random endpoint.
        Random,
    }
}

/// An endpoint that a request may be routed to, with its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Hash of the endpoint's name.
    pub name_hash: u64,
    /// Whether it is in the entry's availability zone.
    pub near: bool,
    /// Requests that this entry has in flight there.
    pub own_in_flight: u32,
    /// Online requests from all entries in flight there, as last reported by the side.
    pub reported_online: u32,
    /// Concurrency limit, as last reported by the side.
    pub limit: u32,
    /// Time that a new request would wait, as last reported by the side, in milliseconds.
    pub reported_wait_ms: u32,
    /// Whether the endpoint is ejected for failing, or this request was tried there before.
    pub avoid: bool,
}

impl Candidate {
    /// Estimates the load as a share of the concurrency limit.
    fn load(&self) -> f64 {
        let requests = self.own_in_flight.max(self.reported_online);
        f64::from(requests) / f64::from(self.limit.max(1))
    }
}

/// Largest load, relative to the mean, at which a prefix's preferred endpoint is chosen.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// Load up to which a preferred endpoint is chosen whatever the mean, as a share of its limit.
const AFFINITY_LOAD_FLOOR: f64 = 0.3;

/// Load that is added to the cost of an endpoint in another zone, as a share of the limit. A full
/// endpoint in the entry's zone still costs more than one with enough free slots in another.
const FAR_ZONE_PENALTY: f64 = 0.25;

/// Difference up to which two costs count as equal, as a share of the limit.
const COST_TOLERANCE: f64 = 0.01;

/// Wait that is assumed at an endpoint that has just started and is still slow, in milliseconds.
pub const COLD_WAIT_MS: u32 = 500;

/// Load from which an endpoint in another zone has no penalty, as a share of the limit.
const FULL_LOAD: f64 = 1.0;

/// Endpoints that are drawn in the entry's zone, and as many in the others.
const SAMPLED_PER_SIDE: usize = 2;

/// Most other entries with which each one sends to the least loaded endpoints. More of them would all
/// send to the same ones until they hear of each other's requests.
const MAX_ENTRIES_TO_LEAST_LOADED: usize = 8;

/// Returns the mode that entries used which tell each other their loads, by the number of the other ones.
/// [`crate::expected_wait`] has replaced it; tests compare it with this one.
pub fn mode_for_shared_loads(other_entries: usize) -> RoutingMode {
    match other_entries {
        0..=MAX_ENTRIES_TO_LEAST_LOADED => RoutingMode::LeastLoaded,
        _ => RoutingMode::Sampled,
    }
}

/// Returns the index of the chosen candidate, or none if there is no candidate.
///
/// Candidates marked `avoid` are chosen only when there is no other.
pub fn choose_endpoint(
    mode: RoutingMode,
    candidates: &[Candidate],
    prefix: Option<u64>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut usable: Vec<usize> = (0..candidates.len()).filter(|&i| !candidates[i].avoid).collect();
    if usable.is_empty() {
        usable = (0..candidates.len()).collect();
    }
    match (mode, prefix) {
        (_, _) if usable.len() < 2 => usable.first().copied(),
        (RoutingMode::Affinity, Some(prefix)) => choose_by_prefix(candidates, &usable, prefix)
            .or_else(|| choose_from_two(candidates, &usable, rng)),
        (RoutingMode::Random, _) => Some(usable[rng.random_range(0..usable.len())]),
        (RoutingMode::LeastLoaded, _) => choose_least_loaded(candidates, &usable, rng),
        (RoutingMode::Sampled, _) => {
            let sampled = sample_each_side(candidates, &usable, rng);
            choose_least_loaded(candidates, &sampled, rng)
        }
        (RoutingMode::Affinity | RoutingMode::TwoChoices, _) => {
            choose_from_two(candidates, &usable, rng)
        }
    }
}

/// Returns the endpoint with the highest rendezvous hash for the prefix among those whose load is
/// not far above the mean. Endpoints of other zones are left out while one of the entry's zone is
/// below that load.
fn choose_by_prefix(candidates: &[Candidate], usable: &[usize], prefix: u64) -> Option<usize> {
    let mean_load = usable.iter().map(|&i| candidates[i].load()).sum::<f64>() / usable.len() as f64;
    let max_load = (mean_load * AFFINITY_LOAD_BOUND).max(AFFINITY_LOAD_FLOOR);
    let near_available =
        usable.iter().any(|&i| candidates[i].near && candidates[i].load() <= max_load);
    usable
        .iter()
        .copied()
        .filter(|&i| candidates[i].near || !near_available)
        .filter(|&i| candidates[i].load() <= max_load)
        .max_by_key(|&i| stable_hash(&candidates[i].name_hash.to_le_bytes(), prefix))
}

/// Returns the one with the lower cost of two random endpoints.
fn choose_from_two(
    candidates: &[Candidate],
    usable: &[usize],
    rng: &mut impl Rng,
) -> Option<usize> {
    let first = usable[rng.random_range(0..usable.len())];
    let second = usable[rng.random_range(0..usable.len())];
    let cost_of = |i: usize| cost(&candidates[i]);
    Some(if cost_of(second) < cost_of(first) { second } else { first })
}

/// Returns a few random endpoints of the entry's zone and of the others.
fn sample_each_side(candidates: &[Candidate], usable: &[usize], rng: &mut impl Rng) -> Vec<usize> {
    let (near, far): (Vec<usize>, Vec<usize>) =
        usable.iter().copied().partition(|&i| candidates[i].near);
    [near, far]
        .iter()
        .flat_map(|side| side.iter().copied().choose_multiple(rng, SAMPLED_PER_SIDE))
        .collect()
}

/// Returns a random one of the endpoints with the lowest cost, so that entries with the same view
/// of the load don't all choose the same one.
fn choose_least_loaded(
    candidates: &[Candidate],
    usable: &[usize],
    rng: &mut impl Rng,
) -> Option<usize> {
    let lowest_cost = usable.iter().map(|&i| cost(&candidates[i])).fold(f64::INFINITY, f64::min);
    let cheapest: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&i| cost(&candidates[i]) <= lowest_cost + COST_TOLERANCE)
        .collect();
    (!cheapest.is_empty()).then(|| cheapest[rng.random_range(0..cheapest.len())])
}

/// Returns the cost by which endpoints are compared: the load, a penalty for another zone, and the
/// reported wait in seconds.
fn cost(candidate: &Candidate) -> f64 {
    let load = candidate.load();
    let has_zone_penalty = !candidate.near && load < FULL_LOAD;
    let penalty = if has_zone_penalty { FAR_ZONE_PENALTY } else { 0.0 };
    load + penalty + f64::from(candidate.reported_wait_ms) / 1000.0
}
