//! Decides how often a process tells its peers of itself, so that datagrams don't grow with the square
//! of the fleet.
//!
//! What is in flight matters at once between entries and to the owner of the batch jobs. Processes that
//! stand by only watch the owner and each other.

use mulberry_protocol::peer::PeerRole;

/// Time between datagrams that matter at once, in milliseconds.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Time between datagrams that only say that a process is there, in milliseconds.
const PRESENCE_MS: u64 = 1_000;

/// Entries to which each entry tells its load with every beat. With more of them, each gets a part of
/// the beats.
const FULL_RATE_ENTRIES: u64 = 24;

/// Silence after which a peer gets few datagrams, in milliseconds.
const SILENT_MS: u64 = 5_000;

/// Beats that a peer may miss before its load no longer counts.
const MISSED_BEATS: u64 = 3;

/// Time that a datagram may take beside the wait for the next one, in milliseconds.
const LATE_MS: u64 = 700;

/// The sender of datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSender {
    /// What it does.
    pub role: PeerRole,
    /// Whether it holds the lease on the batch jobs.
    pub owns_jobs: bool,
    /// Entries that it knows, itself not counted.
    pub entries: usize,
}

/// A receiver of datagrams, as its sender knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatReceiver {
    /// What it does.
    pub role: PeerRole,
    /// Whether it holds the lease on the batch jobs.
    pub owns_jobs: bool,
    /// Time since it was heard, in milliseconds, or none if it never was.
    pub silent_ms: Option<u64>,
}

/// Returns the time between two datagrams from the sender to the receiver, in milliseconds, a multiple
/// of [`MIN_HEARTBEAT_INTERVAL_MS`].
pub fn heartbeat_interval_ms(sender: HeartbeatSender, receiver: HeartbeatReceiver) -> u64 {
    if receiver.silent_ms.is_none_or(|silent| silent > SILENT_MS) {
        return PRESENCE_MS;
    }
    if sender.owns_jobs || receiver.owns_jobs {
        return MIN_HEARTBEAT_INTERVAL_MS;
    }
    match (sender.role, receiver.role) {
        (PeerRole::Owner, PeerRole::Owner) => MIN_HEARTBEAT_INTERVAL_MS,
        (PeerRole::Entry, PeerRole::Entry) => {
            let part = (sender.entries as u64).div_ceil(FULL_RATE_ENTRIES);
            (MIN_HEARTBEAT_INTERVAL_MS * part).clamp(MIN_HEARTBEAT_INTERVAL_MS, PRESENCE_MS)
        }
        (PeerRole::Owner, PeerRole::Entry) | (PeerRole::Entry, PeerRole::Owner) => PRESENCE_MS,
    }
}

/// Returns the age up to which a peer's load counts if its next datagram follows after `interval_ms`,
/// in milliseconds.
pub fn load_ttl_ms(interval_ms: u64) -> u64 {
    MISSED_BEATS * interval_ms + LATE_MS
}
