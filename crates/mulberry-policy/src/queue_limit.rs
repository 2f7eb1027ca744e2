//! Bounds how many online requests wait at an endpoint, so that accepted requests meet their
//! latency target.
//!
//! Beyond what an endpoint runs at once, each further request waits for one to end. Requests that
//! would wait longer than their target allows are refused at once and told when to retry. Nobody is
//! asked whether a request is the first try: with as much time left, each has the same chance.

use indexmap::IndexMap;

use mulberry_protocol::name::ServiceName;

/// Weight of a new sample of the run time in its moving average.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Weight of a longer sample of the time to the first part of a response in its moving average. A
/// shorter sample replaces the average at once, because longer ones include time spent in the
/// queue.
const FIRST_PART_WEIGHT: f64 = 0.005;

/// Share of the target that a request may spend until the first part of its response.
const TARGET_SHARE: f64 = 0.7;

/// Shortest and longest time after which a refused caller is told to retry, in milliseconds.
const RETRY_AFTER_MS: (u32, u32) = (250, 1_600);

/// How long the endpoints of one service take for a request.
#[derive(Debug, Clone, Copy)]
struct ServiceTiming {
    /// Time to the first part of the response, without queueing, in milliseconds.
    first_ms: f64,
    /// Time of a whole run, in milliseconds.
    run_ms: f64,
}

/// The timing of services, as measured by one process.
#[derive(Debug, Default)]
pub struct QueueLimits {
    timings: IndexMap<ServiceName, ServiceTiming>,
}

impl QueueLimits {
    /// Records a run: the time to the first part of its response, and from there to its end, in
    /// milliseconds.
    pub fn record_run(&mut self, service: &ServiceName, first_ms: u64, rest_ms: u64) {
        let (first, rest) = (first_ms as f64, rest_ms as f64);
        let timing = self
            .timings
            .entry(service.clone())
            .or_insert(ServiceTiming { first_ms: first, run_ms: first + rest });
        if first < timing.first_ms {
            timing.first_ms = first;
        } else {
            timing.first_ms += (first - timing.first_ms) * FIRST_PART_WEIGHT;
        }
        timing.run_ms += (timing.first_ms + rest - timing.run_ms) * RUN_TIME_WEIGHT;
    }

    /// Returns the mean time of a run of a service, in milliseconds, once one was measured.
    pub fn run_ms(&self, service: &ServiceName) -> Option<f64> {
        self.timings.get(service).map(|timing| timing.run_ms)
    }

    /// Returns the mean time of a run over all services, in milliseconds, once one was measured.
    pub fn mean_run_ms(&self) -> Option<f64> {
        let sum: f64 = self.timings.values().map(|timing| timing.run_ms).sum();
        (!self.timings.is_empty()).then(|| sum / self.timings.len() as f64)
    }

    /// Returns the most online requests that an endpoint may have running and waiting, a new one
    /// included.
    pub fn max_online(&self, service: &ServiceName, slots: u32, target_ms: u64) -> u32 {
        self.max_online_at(service, slots, target_ms, 1.0)
    }

    /// Returns the same for an endpoint that takes `slowness` times as long as the others.
    pub fn max_online_at(
        &self,
        service: &ServiceName,
        slots: u32,
        target_ms: u64,
        slowness: f64,
    ) -> u32 {
        let Some(timing) = self.timings.get(service) else { return u32::MAX };
        let max_wait_ms = target_ms as f64 * TARGET_SHARE - timing.first_ms * slowness;
        // With all slots busy, one run ends in each such interval on average.
        let end_interval_ms = (timing.run_ms * slowness / f64::from(slots.max(1))).max(1.0);
        slots + (max_wait_ms / end_interval_ms).clamp(0.0, f64::from(slots) * 4.0) as u32
    }
}

/// Returns the time after which a refused caller may retry, in milliseconds. It is spread by
/// `draw`, which is uniform from zero to one, so that callers don't retry all at once.
pub fn retry_after_ms(draw: f64) -> u32 {
    let (shortest, longest) = RETRY_AFTER_MS;
    shortest + (f64::from(longest - shortest) * draw) as u32
}
