//! Chooses the endpoint of a request: prefix affinity bounded by load, near zones first.

use rand::Rng;

use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::unit_enum;

unit_enum! {
    /// How endpoints are chosen.
    pub enum RoutingMode {
        /// The preferred endpoint of the prompt's prefix unless it is loaded, else the less loaded
        /// of two.
        Affinity,
        /// The less loaded of two random endpoints.
        TwoChoices,
        /// One of the least loaded endpoints.
        LeastLoaded,
        /// A random endpoint.
        Random,
    }
}

/// What is known of one endpoint when a request is routed.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Hash of the endpoint's name.
    pub name_hash: u64,
    /// Whether it is in the entry's zone.
    pub near: bool,
    /// Requests that this entry has in flight there.
    pub own_in_flight: u32,
    /// Online requests that the side last reported, of all entries.
    pub reported_online: u32,
    /// Concurrency limit that the side last reported.
    pub limit: u32,
    /// Wait of a new request that the side last reported, in milliseconds.
    pub reported_wait_ms: u32,
    /// Whether the endpoint was ejected for failing, or was tried before by this request.
    pub avoid: bool,
}

impl Candidate {
    /// Estimates the load as a share of the limit. A full near endpoint is worse than a far one.
    fn load(&self) -> f64 {
        let requests = self.own_in_flight.max(self.reported_online);
        f64::from(requests) / f64::from(self.limit.max(1))
    }
}

/// Largest load, relative to the mean, at which a prefix's preferred endpoint is taken.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// Load that a preferred endpoint may always have, as a share of its limit.
const AFFINITY_LOAD_FLOOR: f64 = 0.3;

/// Extra load, as a share of the limit, that an endpoint in another zone counts with.
const FAR_ZONE_PENALTY: f64 = 0.25;

/// Difference of cost, as a share of the limit, that doesn't matter between endpoints.
const COST_SLACK: f64 = 0.01;

/// Wait that counts for an endpoint that has just started and is still slow, in milliseconds.
pub const COLD_WAIT_MS: u32 = 500;

/// Load from which the zone no longer matters.
const FULL_LOAD: f64 = 1.0;

/// Returns the index of the chosen candidate, or none if there is no candidate.
///
/// Candidates marked `avoid` are taken only when no other is left.
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
            .or_else(|| choose_of_two(candidates, &usable, rng)),
        (RoutingMode::Random, _) => Some(usable[rng.random_range(0..usable.len())]),
        (RoutingMode::LeastLoaded, _) => choose_least(candidates, &usable, rng),
        (RoutingMode::Affinity | RoutingMode::TwoChoices, _) => {
            choose_of_two(candidates, &usable, rng)
        }
    }
}

/// Returns the prefix's preferred endpoint that is not loaded far above the mean.
fn choose_by_prefix(candidates: &[Candidate], usable: &[usize], prefix: u64) -> Option<usize> {
    let mean = usable.iter().map(|&i| candidates[i].load()).sum::<f64>() / usable.len() as f64;
    let bound = (mean * AFFINITY_LOAD_BOUND).max(AFFINITY_LOAD_FLOOR);
    let near_has_room = usable.iter().any(|&i| candidates[i].near && candidates[i].load() <= bound);
    usable
        .iter()
        .copied()
        .filter(|&i| candidates[i].near || !near_has_room)
        .filter(|&i| candidates[i].load() <= bound)
        .max_by_key(|&i| stable_hash(&candidates[i].name_hash.to_le_bytes(), prefix))
}

/// Returns the better of two random endpoints.
fn choose_of_two(candidates: &[Candidate], usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let first = usable[rng.random_range(0..usable.len())];
    let second = usable[rng.random_range(0..usable.len())];
    let key = |i: usize| cost(&candidates[i]);
    Some(if key(second) < key(first) { second } else { first })
}

/// Returns a random one of the endpoints whose cost is the lowest, so that entries with the same
/// knowledge don't all take the same one.
fn choose_least(candidates: &[Candidate], usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let least = usable.iter().map(|&i| cost(&candidates[i])).fold(f64::INFINITY, f64::min);
    let near_least: Vec<usize> =
        usable.iter().copied().filter(|&i| cost(&candidates[i]) <= least + COST_SLACK).collect();
    (!near_least.is_empty()).then(|| near_least[rng.random_range(0..near_least.len())])
}

fn cost(candidate: &Candidate) -> f64 {
    let load = candidate.load();
    let far = !candidate.near && load < FULL_LOAD;
    let penalty = if far { FAR_ZONE_PENALTY } else { 0.0 };
    load + penalty + f64::from(candidate.reported_wait_ms) / 1000.0
}
