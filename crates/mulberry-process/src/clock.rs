//! Clocks. They are passed to the code that depends on time, so that tests can control it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mulberry_protocol::time::Millis;

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns monotonic time in milliseconds since an arbitrary start.
    fn now(&self) -> Millis;

    /// Returns wall-clock time in seconds since the Unix epoch. It may be wrong or jump, so it is
    /// meant to be read by people and not to base decisions on.
    fn unix_s(&self) -> u64;
}

/// A clock shared by the threads of a process.
pub type SharedClock = Arc<dyn Clock>;

/// Time at the start of a process, in milliseconds: a day, since peers tell it of what is as old.
const START_MS: u64 = 24 * 60 * 60 * 1_000;

/// Clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
    unix_offset_s: i64,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: Instant::now(), unix_offset_s: 0 }
    }
}

impl SystemClock {
    /// Creates a clock whose wall-clock time is off by `unix_offset_s` seconds, for tests.
    pub fn with_unix_offset(unix_offset_s: i64) -> Self {
        Self { unix_offset_s, ..Self::default() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(START_MS + self.start.elapsed().as_millis() as u64)
    }

    fn unix_s(&self) -> u64 {
        let unix_s = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
        unix_s.saturating_add_signed(self.unix_offset_s)
    }
}

/// A clock that moves only when [`ManualClock::advance`] is called, for tests.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward by `duration_ms` milliseconds.
    pub fn advance(&self, duration_ms: u64) {
        self.now_ms.fetch_add(duration_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now_ms.load(Ordering::SeqCst))
    }

    fn unix_s(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst) / 1_000
    }
}
