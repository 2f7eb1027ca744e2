//! How long the endpoints of each service take for a run, as one process measures it, and what follows
//! from it: the latest time at which a request must begin, and how many requests an endpoint is handed.

use indexmap::IndexMap;

use mulberry_protocol::name::ServiceName;

/// Least weight of a new sample in the averages of the run time and of its deviation. The first samples
/// weigh the same, so that an unusual one among them does not count for long.
const MIN_RUN_TIME_WEIGHT: f64 = 0.05;

/// Weight of a longer sample of the time to the first part of a response in its moving average. A
/// shorter sample replaces the average at once, because longer ones include time spent in the queue.
const FIRST_PART_WEIGHT: f64 = 0.005;

/// Mean deviations by which the run of a request that is taken may exceed the mean and still end within its
/// caller's time.
const MARGIN_DEVIATIONS: f64 = 3.0;

/// The same for a request that has been taken and has waited longer than was foreseen.
const LEAST_MARGIN_DEVIATIONS: f64 = 1.0;

/// Mean deviations beyond which a run counts as stuck.
const STUCK_DEVIATIONS: f64 = 8.0;

/// Smallest mean deviation, as a part of the run time, for services whose runs have hardly differed so far.
const MIN_DEVIATION_PART: f64 = 0.125;

/// Time for the way of a response to its caller, which no measurement here shows, in milliseconds.
const RETURN_MS: f64 = 20.0;

/// Requests that an endpoint is handed beyond those that it runs, as a share of its slots: it queues a few.
const MAX_AHEAD_SHARE: f64 = 1.0;

/// Time for which an endpoint that had no room is left out if no run was measured, in milliseconds.
const UNKNOWN_END_INTERVAL_MS: f64 = 50.0;

/// A completed run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CompletedRun {
    /// Time to the first part of the response, in milliseconds, with what it waited at the endpoint.
    pub first_ms: u64,
    /// Time from there to the end, in milliseconds.
    pub rest_ms: u64,
    /// Requests and items at the endpoint when it was sent, itself included.
    pub in_flight: u32,
    /// Most requests that the endpoint runs at once.
    pub slots: u32,
}

/// How long the endpoints of one service take for a request.
#[derive(Debug, Clone, Copy)]
struct Timing {
    /// Time to the first part of the response, without queueing, in milliseconds.
    first_ms: f64,
    /// Time of a whole run, in milliseconds.
    run_ms: f64,
    /// Mean deviation from it, in milliseconds.
    deviation_ms: f64,
    samples: f64,
}

impl Timing {
    fn record(&mut self, run: CompletedRun) {
        let first = run.first_ms as f64;
        let waited =
            self.end_interval_ms(run.slots) * f64::from(run.in_flight.saturating_sub(run.slots));
        let longer = (first - waited - self.first_ms).max(0.0);
        self.first_ms = first.min(self.first_ms + longer * FIRST_PART_WEIGHT);
        let took = (first - waited).max(self.first_ms) + run.rest_ms as f64;
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_RUN_TIME_WEIGHT);
        self.deviation_ms += ((took - self.run_ms).abs() - self.deviation_ms) * weight;
        self.run_ms += (took - self.run_ms) * weight;
    }

    /// Returns the time in which one run ends on average while all slots are busy, in milliseconds.
    fn end_interval_ms(&self, slots: u32) -> f64 {
        (self.run_ms / f64::from(slots.max(1))).max(1.0)
    }

    /// Returns the time of a run that exceeds the mean by so many deviations, in milliseconds.
    fn exceeding_ms(&self, deviations: f64) -> f64 {
        let deviation_ms = self.deviation_ms.max(self.run_ms * MIN_DEVIATION_PART);
        self.run_ms + deviation_ms * deviations
    }
}

/// The run times of all services, as measured by one process.
#[derive(Debug, Default)]
pub struct RunTimes {
    timings: IndexMap<ServiceName, Timing>,
}

impl RunTimes {
    /// Records a run that was completed.
    pub fn record_run(&mut self, service: &ServiceName, run: CompletedRun) {
        let (first_ms, rest_ms) = (run.first_ms as f64, run.rest_ms as f64);
        let timing = self.timings.entry(service.clone()).or_insert(Timing {
            first_ms,
            run_ms: first_ms + rest_ms,
            deviation_ms: 0.0,
            samples: 0.0,
        });
        timing.record(run);
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

    /// Returns the time that must be left when a request begins, so that its response is with the caller
    /// in time, in milliseconds. It is zero until a run was measured.
    pub fn needed_ms(&self, service: &ServiceName) -> u64 {
        let timing = self.timings.get(service);
        timing.map_or(0, |timing| (timing.exceeding_ms(MARGIN_DEVIATIONS) + RETURN_MS) as u64)
    }

    /// Returns the time below which it is not worth beginning a request any more, in milliseconds.
    pub fn least_needed_ms(&self, service: &ServiceName) -> u64 {
        let timing = self.timings.get(service);
        timing.map_or(0, |timing| (timing.exceeding_ms(LEAST_MARGIN_DEVIATIONS) + RETURN_MS) as u64)
    }

    /// Returns the time that must be left for the first part of a streamed response, in milliseconds.
    pub fn needed_to_first_ms(&self, service: &ServiceName) -> u64 {
        self.timings.get(service).map_or(0, |timing| (timing.first_ms + RETURN_MS) as u64)
    }

    /// Returns the time after which a run without a response counts as stuck, in milliseconds, at an
    /// endpoint that takes `slowness` times as long as the others and has `in_flight` requests and items
    /// with this one. It is none until a run was measured.
    pub fn stuck_ms(
        &self,
        service: &ServiceName,
        slots: u32,
        in_flight: u32,
        slowness: f64,
    ) -> Option<u64> {
        let timing = self.timings.get(service)?;
        let waits_ms = timing.end_interval_ms(slots) * f64::from(in_flight.saturating_sub(slots));
        Some(((timing.exceeding_ms(STUCK_DEVIATIONS) + waits_ms) * slowness + RETURN_MS) as u64)
    }

    /// Returns the time in which one run ends on average at an endpoint that is full, in milliseconds.
    pub fn end_interval_ms(&self, service: &ServiceName, slots: u32, slowness: f64) -> f64 {
        let timing = self.timings.get(service);
        timing.map_or(UNKNOWN_END_INTERVAL_MS, |timing| timing.end_interval_ms(slots) * slowness)
    }

    /// Returns the most online requests that an endpoint is handed, running and queued there: so many that
    /// it stays busy for `unseen_ms` milliseconds, in which nobody may see that it has room. A request that
    /// may wait for `wait_ms` milliseconds at the most is not queued for longer.
    pub fn max_online(
        &self,
        service: &ServiceName,
        slots: u32,
        slowness: f64,
        unseen_ms: f64,
        wait_ms: u64,
    ) -> u32 {
        let interval_ms = self.end_interval_ms(service, slots, slowness);
        let most = (f64::from(slots) * MAX_AHEAD_SHARE).max(1.0);
        let ahead = (unseen_ms / interval_ms).ceil().clamp(1.0, most);
        let in_time = (wait_ms as f64 / interval_ms).floor();
        slots + ahead.min(in_time) as u32
    }
}
