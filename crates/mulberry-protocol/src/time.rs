//! Points in time, in milliseconds.

use std::ops::Add;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// A point in time in milliseconds since an arbitrary start, as read from an injected clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds from `earlier` to `self`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Millis;

    fn add(self, duration_ms: u64) -> Millis {
        Millis(self.0.saturating_add(duration_ms))
    }
}

impl Sub<u64> for Millis {
    type Output = Millis;

    fn sub(self, duration_ms: u64) -> Millis {
        Millis(self.0.saturating_sub(duration_ms))
    }
}
