//! Tracks the recent peak of online concurrency.

use mulberry_protocol::time::Millis;

/// Length of one interval in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Number of intervals kept.
const MAX_INTERVALS: usize = 120;

/// Latest intervals that must all be without online requests for the peak no longer to count.
const IDLE_INTERVALS: usize = 30;

/// Share of the kept intervals that may lie above the reported peak.
const ABOVE_SHARE: f64 = 0.05;

/// The highest online concurrency of each of the last intervals, in a ring buffer.
#[derive(Debug, Clone, Default)]
pub struct RecentPeak {
    interval_peaks: Vec<u32>,
    current: usize,
    interval_end: Millis,
}

impl RecentPeak {
    /// Records the number of online requests running at `now`.
    pub fn record(&mut self, running: u32, now: Millis) {
        if self.interval_peaks.is_empty() || now >= self.interval_end {
            self.begin_interval(now);
        }
        if let Some(peak) = self.interval_peaks.get_mut(self.current) {
            *peak = (*peak).max(running);
        }
    }

    /// Returns the concurrency that all but a small share of the kept intervals stayed within, or
    /// none if the latest intervals had no online requests.
    pub fn get(&self) -> Option<u32> {
        let count = self.interval_peaks.len();
        let recent = (0..count.min(IDLE_INTERVALS)).map(|i| (self.current + count - i) % count);
        if recent.into_iter().all(|i| self.interval_peaks[i] == 0) {
            return None;
        }
        let mut sorted: Vec<u32> = self.interval_peaks.clone();
        sorted.sort_unstable();
        let above = (count as f64 * ABOVE_SHARE) as usize;
        sorted.get(count - 1 - above.min(count - 1)).copied()
    }

    fn begin_interval(&mut self, now: Millis) {
        self.interval_end = now + INTERVAL_MS;
        if self.interval_peaks.len() < MAX_INTERVALS {
            self.interval_peaks.push(0);
            self.current = self.interval_peaks.len() - 1;
        } else {
            self.current = (self.current + 1) % MAX_INTERVALS;
            self.interval_peaks[self.current] = 0;
        }
    }
}
