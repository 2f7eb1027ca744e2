//! The usual use of each client account: the mean of its requests in flight over some minutes. It is the
//! account's weight when a service can't serve everybody.

use indexmap::IndexMap;

use mulberry_protocol::time::Millis;

/// Time over which the mean is taken, in milliseconds. An excess of some seconds changes it by a few
/// percent, and an account that grows for good has its new weight within minutes.
const MEAN_MS: f64 = 300_000.0;

/// Longest time that one sample stands for, in milliseconds, so that a pause of the process does not make
/// a single sample the mean.
const MAX_SAMPLE_MS: u64 = 1_000;

/// Smallest weight, relative to that of the average account, so that an account without history is not
/// held to single requests.
const MIN_AVERAGE_PART: f64 = 0.2;

/// Mean use below which an account is forgotten, in requests in flight.
const NEGLIGIBLE: f64 = 0.002;

/// Weight where no account has a history.
const FIRST_WEIGHT: f64 = 1.0;

#[derive(Debug)]
struct Mean {
    value: f64,
    /// Time for which samples were taken, in milliseconds.
    sampled_ms: f64,
}

/// The usual use of all accounts.
#[derive(Debug, Default)]
pub struct UsualUse {
    means: IndexMap<u32, Mean>,
    /// The average of the means.
    average: f64,
    sampled_at: Option<Millis>,
}

impl UsualUse {
    /// Records the requests in flight of each account that has any. While an account gets less than it
    /// asks for, it gains no weight, so that an excess doesn't become the usual.
    pub fn record(
        &mut self,
        in_flight: &IndexMap<u32, f64>,
        is_limited: impl Fn(u32) -> bool,
        now: Millis,
    ) {
        let elapsed_ms =
            self.sampled_at.map_or(0, |at| now.since(at)).clamp(1, MAX_SAMPLE_MS) as f64;
        self.sampled_at = Some(now);
        for account in in_flight.keys() {
            self.means.entry(*account).or_insert(Mean { value: 0.0, sampled_ms: 0.0 });
        }
        for (account, mean) in &mut self.means {
            let sample = in_flight.get(account).copied().unwrap_or(0.0);
            if is_limited(*account) && sample > mean.value {
                continue;
            }
            mean.sampled_ms = (mean.sampled_ms + elapsed_ms).min(MEAN_MS);
            mean.value += (sample - mean.value) * elapsed_ms / mean.sampled_ms;
        }
        let is_forgotten = |m: &Mean| m.sampled_ms >= MEAN_MS && m.value < NEGLIGIBLE;
        self.means.retain(|_, mean| !is_forgotten(mean));
        let total: f64 = self.means.values().map(|m| m.value).sum();
        self.average = total / self.means.len().max(1) as f64;
    }

    /// Returns the weight of an account.
    pub fn weight(&self, account: u32) -> f64 {
        if self.average <= 0.0 {
            return FIRST_WEIGHT;
        }
        let mean = self.means.get(&account).map_or(0.0, |m| m.value);
        mean.max(self.average * MIN_AVERAGE_PART)
    }
}
