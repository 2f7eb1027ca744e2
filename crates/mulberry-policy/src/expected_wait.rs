//! Chooses the endpoint of an online request by its expected wait, from what an entry knows of loads that
//! other entries reported a while ago.
//!
//! A report says less the older it is compared with a run: the runs that it counts end, and the others
//! send to the endpoints that it shows with little load. The expected load of an endpoint therefore moves
//! from what was reported there towards the mean of all endpoints, and fewer endpoints are compared, so
//! that entries with the same old reports don't all choose the same one. Own requests are always counted
//! exactly, also those sent since the reports.

use rand::Rng;
use rand::seq::IteratorRandom;

/// An endpoint that a request may be sent to, as one entry sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointView {
    /// Whether it is in the entry's availability zone.
    pub near: bool,
    /// Requests and items that this process has in flight there.
    pub own: u32,
    /// Requests and items that the other processes have in flight there, as last reported.
    pub peers: u32,
    /// Most requests that it runs at the same time.
    pub slots: u32,
    /// Time that it takes, relative to the other endpoints of its service.
    pub slowness: f64,
    /// Further wait that is expected there, in milliseconds.
    pub extra_wait_ms: u32,
    /// Whether it is ejected for failing.
    pub avoid: bool,
}

impl EndpointView {
    /// Returns the requests and items in flight there, from all processes.
    pub fn in_flight(&self) -> u32 {
        self.own + self.peers
    }
}

/// What the peers' reports are worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportQuality {
    /// Mean age of the reports, in milliseconds.
    pub age_ms: f64,
    /// Mean time of a run, in milliseconds, if it is known.
    pub run_ms: Option<f64>,
    /// Number of the other entries.
    pub others: usize,
}

/// Share of a run in which a difference between reported loads fades to 1/e of itself. It is less than a
/// whole run, since the others' new requests level the difference as well.
const FADE_RUNS: f64 = 0.5;

/// Endpoints that are compared on each side, near and far, for reports that are as old as a run. With
/// younger reports, more are compared in proportion.
const SAMPLED_AT_RUN_AGE: f64 = 0.8;

/// Most endpoints that are compared on each side.
const MAX_SAMPLED: f64 = 3.0;

/// The same for an entry with few others, whose own requests are a good part of all.
const MAX_SAMPLED_OF_FEW: f64 = 8.0;

/// Number of other entries that are few.
const FEW_OTHERS: usize = 8;

/// Load that is added to the cost of an endpoint in another zone, as a share of the slots. A full endpoint
/// in the entry's zone still costs more than one with enough free slots in another.
const FAR_ZONE_PENALTY: f64 = 0.22;

/// Load from which an endpoint in another zone has no penalty, as a share of the slots.
const FULL_LOAD: f64 = 1.0;

/// Difference up to which two costs count as equal, as a share of the slots.
const COST_TOLERANCE: f64 = 0.01;

impl ReportQuality {
    fn kept_share(&self) -> f64 {
        kept_share(self.age_ms, self.run_ms)
    }

    /// Returns the number of endpoints to compare on each side.
    fn sampled(&self) -> usize {
        if self.others == 0 {
            return usize::MAX;
        }
        let most = if self.others <= FEW_OTHERS { MAX_SAMPLED_OF_FEW } else { MAX_SAMPLED };
        let by_age = self.run_ms.map(|run_ms| SAMPLED_AT_RUN_AGE * run_ms / self.age_ms.max(1.0));
        by_age.unwrap_or(most).round().clamp(1.0, most) as usize
    }
}

/// Returns the part of a difference between reported loads that is still expected, by the age of the
/// report and the mean time of a run. It is all of it as long as no run was measured.
pub fn kept_share(age_ms: f64, run_ms: Option<f64>) -> f64 {
    run_ms.map_or(1.0, |run_ms| (-age_ms / (run_ms.max(1.0) * FADE_RUNS)).exp())
}

/// Returns the load that is expected at each endpoint, as a share of its slots.
pub fn expected_loads(views: &[EndpointView], reports: ReportQuality) -> Vec<f64> {
    let slots: f64 = views.iter().map(slots_of).sum();
    let mean = views.iter().map(|v| f64::from(v.peers)).sum::<f64>() / slots.max(1.0);
    let kept = reports.kept_share();
    let load = |view: &EndpointView| {
        let reported = f64::from(view.peers) / slots_of(view);
        f64::from(view.own) / slots_of(view) + mean + (reported - mean) * kept
    };
    views.iter().map(load).collect()
}

fn slots_of(view: &EndpointView) -> f64 {
    f64::from(view.slots.max(1))
}

/// Returns the costs by which endpoints are compared: the expected load, longer at a slow endpoint, a
/// penalty for another zone, and the further wait in seconds.
///
/// At equal load, requests already come to an endpoint in proportion to its speed. The root of the
/// slowness adds to this that waiting and running take longer there, without leaving its slots empty. The
/// new request itself counts too, so that an idle slow endpoint costs more than an idle fast one.
pub fn costs(views: &[EndpointView], reports: ReportQuality) -> Vec<f64> {
    let loads = expected_loads(views, reports);
    let cost = |(view, load): (&EndpointView, f64)| {
        let slow = view.slowness.sqrt();
        let load = load * slow + (slow - 1.0) / slots_of(view);
        let has_zone_penalty = !view.near && load < FULL_LOAD;
        let penalty = if has_zone_penalty { FAR_ZONE_PENALTY } else { 0.0 };
        load + penalty + f64::from(view.extra_wait_ms) / 1000.0
    };
    views.iter().zip(loads).map(cost).collect()
}

/// Returns the index of the chosen endpoint, or none if there is none.
///
/// Endpoints marked `avoid` are chosen only when there is no other.
pub fn choose_by_wait(
    views: &[EndpointView],
    reports: ReportQuality,
    rng: &mut impl Rng,
) -> Option<usize> {
    let costs = costs(views, reports);
    let mut usable: Vec<usize> = (0..views.len()).filter(|&i| !views[i].avoid).collect();
    if usable.is_empty() {
        usable = (0..views.len()).collect();
    }
    let (near, far): (Vec<usize>, Vec<usize>) = usable.into_iter().partition(|&i| views[i].near);
    let count = reports.sampled();
    let sampled: Vec<usize> =
        [near, far].iter().flat_map(|side| sample(side, count, rng)).collect();
    let lowest = sampled.iter().map(|&i| costs[i]).fold(f64::INFINITY, f64::min);
    let cheapest = sampled.into_iter().filter(|&i| costs[i] <= lowest + COST_TOLERANCE);
    cheapest.choose(rng)
}

fn sample(side: &[usize], count: usize, rng: &mut impl Rng) -> Vec<usize> {
    if count >= side.len() {
        return side.to_vec();
    }
    side.iter().copied().choose_multiple(rng, count)
}
