//! Adapts an endpoint's concurrency limit to the time between the tokens of its streams.

use mulberry_protocol::time::Millis;

/// Bounds of a concurrency limit and the latency that it must keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// Lowest limit.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Limit at the start.
    pub initial: u32,
    /// Mean time between tokens above which the limit decreases, in milliseconds.
    pub gap_target_ms: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { min: 2, max: 256, initial: 16, gap_target_ms: 22.0 }
    }
}

/// Length of an observation window in milliseconds.
const WINDOW_MS: u64 = 200;

/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.9;

/// Relative increase after a window below the target.
const INCREASE: f64 = 0.05;

/// Relative increase after a window far below the target.
const FAST_INCREASE: f64 = 0.25;

/// Share of the target below which the limit grows fast.
const FAST_INCREASE_BELOW: f64 = 0.75;

/// Share of the target below which the limit may grow.
const INCREASE_BELOW: f64 = 0.95;

/// Share of the limit that must be in use before it grows.
const MIN_USED_SHARE: f64 = 0.85;

/// A concurrency limit that grows while it is in use and the time between tokens is below the
/// target, and shrinks when that time is above it.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    current: f64,
    window_start: Millis,
    gap_sum_ms: f64,
    gaps: u32,
    peak_running: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit at its initial value.
    pub fn new(settings: LimitSettings, now: Millis) -> Self {
        Self {
            settings,
            current: f64::from(settings.initial),
            window_start: now,
            gap_sum_ms: 0.0,
            gaps: 0,
            peak_running: 0,
        }
    }

    /// Returns the number of requests that may run at the same time.
    pub fn get(&self) -> u32 {
        self.current as u32
    }

    /// Records the time between two tokens of a stream while `running` requests ran.
    pub fn record_gap(&mut self, gap_ms: f64, running: u32, now: Millis) {
        self.gap_sum_ms += gap_ms;
        self.gaps += 1;
        self.peak_running = self.peak_running.max(running);
        if now.since(self.window_start) >= WINDOW_MS {
            self.close_window(now);
        }
    }

    /// Starts again from the initial value, after the endpoint failed or restarted.
    pub fn reset(&mut self, now: Millis) {
        *self = Self::new(self.settings, now);
    }

    fn close_window(&mut self, now: Millis) {
        let mean = self.gap_sum_ms / f64::from(self.gaps.max(1));
        let used = f64::from(self.peak_running) >= self.current * MIN_USED_SHARE;
        if mean > self.settings.gap_target_ms {
            self.current *= DECREASE_FACTOR;
        } else if used && mean < self.settings.gap_target_ms * INCREASE_BELOW {
            let far_below = mean < self.settings.gap_target_ms * FAST_INCREASE_BELOW;
            let share = if far_below { FAST_INCREASE } else { INCREASE };
            self.current += (self.current * share).max(1.0);
        }
        let (min, max) = (f64::from(self.settings.min), f64::from(self.settings.max));
        self.current = self.current.clamp(min, max);
        self.window_start = now;
        self.gap_sum_ms = 0.0;
        self.gaps = 0;
        self.peak_running = 0;
    }
}
