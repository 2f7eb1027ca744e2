//! How long the items of batch jobs take, as the owner of the jobs measures it.

/// Weight of the newest item in the moving averages.
const WEIGHT: f64 = 0.05;

/// Least part of the mean number of events that an item is taken to have left.
const MIN_LEFT_PART: f64 = 0.1;

/// Moving averages over the completed items.
#[derive(Debug, Clone, Copy)]
struct Means {
    /// Events of an item.
    events: f64,
    /// Time between events, in milliseconds.
    gap_ms: f64,
}

/// The times of completed items; empty before the first one.
#[derive(Debug, Clone, Copy, Default)]
pub struct ItemTimes {
    means: Option<Means>,
}

impl ItemTimes {
    /// Records an item that completed in a single run.
    pub fn record(&mut self, events: u32, duration_ms: u64) {
        if events == 0 {
            return;
        }
        let events = f64::from(events);
        let gap_ms = duration_ms as f64 / events;
        let means = self.means.get_or_insert(Means { events, gap_ms });
        means.events += (events - means.events) * WEIGHT;
        means.gap_ms += (gap_ms - means.gap_ms) * WEIGHT;
    }

    /// Returns the estimated time until an item with this many events completes, in milliseconds. Before
    /// any item was measured it is zero for all, so that they go by when they are due.
    pub fn remaining_ms(&self, events: u32) -> u64 {
        let Some(means) = &self.means else { return 0 };
        let left = (means.events - f64::from(events)).max(means.events * MIN_LEFT_PART);
        (left * means.gap_ms) as u64
    }
}
