//! A token bucket whose clock is passed in by the caller.

use mulberry_protocol::time::Millis;

/// A bucket that fills at a steady rate up to a burst size.
///
/// ```
/// use mulberry_policy::token_bucket::TokenBucket;
/// use mulberry_protocol::time::Millis;
/// let mut bucket = TokenBucket::new(10.0, 1.0, Millis(0));
/// assert!(bucket.take(1.0, Millis(0)));
/// assert!(!bucket.take(1.0, Millis(50)));
/// assert!(bucket.take(1.0, Millis(100)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Millis) -> Self {
        Self { rate_per_s, burst, level: burst, filled_at: now }
    }

    /// Changes the rate and the burst size. The level is kept, up to the new burst size.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64) {
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `amount` if the bucket holds that much. Returns whether it did.
    pub fn take(&mut self, amount: f64, now: Millis) -> bool {
        self.take_above(amount, 0.0, now)
    }

    /// Takes `amount` if at least `reserve` is left after it. Returns whether it did.
    pub fn take_above(&mut self, amount: f64, reserve: f64, now: Millis) -> bool {
        self.fill(now);
        // The tolerance absorbs rounding errors of the level.
        if self.level + 1e-9 < amount + reserve {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Adds `amount`, up to the burst size.
    pub fn put(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.burst);
    }

    /// Returns the milliseconds until `amount` can be taken with `reserve` left after it.
    pub fn wait_ms(&mut self, amount: f64, reserve: f64, now: Millis) -> u64 {
        self.fill(now);
        let missing = amount + reserve - self.level;
        if missing <= 0.0 { 0 } else { (missing / self.rate_per_s * 1000.0).ceil() as u64 }
    }

    fn fill(&mut self, now: Millis) {
        let elapsed = now.since(self.filled_at) as f64 / 1000.0;
        self.level = (self.level + elapsed * self.rate_per_s).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
