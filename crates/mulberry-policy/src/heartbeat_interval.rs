//! Decides how often a process sends heartbeat datagrams to each peer, so that their number doesn't
//! grow with the square of the fleet size.
//!
//! Entries and the owner of the batch jobs need each other's current load and get frequent
//! heartbeats. Standby owners only watch the owner and each other.

use mulberry_protocol::peer::PeerRole;

/// Time between heartbeats to a peer that needs current data, in milliseconds.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Time between heartbeats that only show that a process is alive, in milliseconds.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Other entries up to which an entry sends its load to each of them at the shortest interval. With
/// more of them, the interval grows in proportion. Entries of the own zone are counted by themselves.
const FULL_RATE_ENTRIES: u64 = 24;

/// Silence after which a peer only gets heartbeats at the longest interval, in milliseconds.
const MAX_SILENCE_MS: u64 = 5_000;

/// Heartbeats that a peer may miss before its load no longer counts.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Delay of a heartbeat that is tolerated on top of its interval, in milliseconds.
const MAX_DELAY_MS: u64 = 700;

/// The process that sends heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSender {
    /// Whether it is an entry or an owner of batch jobs.
    pub role: PeerRole,
    /// Whether it holds the lease on the batch jobs.
    pub owns_jobs: bool,
    /// Number of entries that it knows, itself excluded.
    pub entries: usize,
    /// Number of those in its own zone.
    pub near_entries: usize,
}

/// A peer that receives heartbeats, as their sender knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatReceiver {
    /// Whether it is an entry or an owner of batch jobs.
    pub role: PeerRole,
    /// Whether it holds the lease on the batch jobs.
    pub owns_jobs: bool,
    /// Whether it is in the sender's zone.
    pub is_near: bool,
    /// Time since its last heartbeat, in milliseconds, or none if it never sent one.
    pub silent_ms: Option<u64>,
}

/// Returns the time between two heartbeats from the sender to the receiver, in milliseconds, a
/// multiple of [`MIN_HEARTBEAT_INTERVAL_MS`].
pub fn heartbeat_interval_ms(sender: HeartbeatSender, receiver: HeartbeatReceiver) -> u64 {
    if receiver.silent_ms.is_none_or(|silent| silent > MAX_SILENCE_MS) {
        return MAX_HEARTBEAT_INTERVAL_MS;
    }
    if sender.owns_jobs || receiver.owns_jobs {
        return MIN_HEARTBEAT_INTERVAL_MS;
    }
    match (sender.role, receiver.role) {
        (PeerRole::Owner, PeerRole::Owner) => MIN_HEARTBEAT_INTERVAL_MS,
        (PeerRole::Entry, PeerRole::Entry) => {
            // Entries of one zone prefer the same endpoints.
            let sharing = if receiver.is_near { sender.near_entries } else { sender.entries };
            let steps = (sharing as u64).div_ceil(FULL_RATE_ENTRIES);
            (MIN_HEARTBEAT_INTERVAL_MS * steps)
                .clamp(MIN_HEARTBEAT_INTERVAL_MS, MAX_HEARTBEAT_INTERVAL_MS)
        }
        (PeerRole::Owner, PeerRole::Entry) | (PeerRole::Entry, PeerRole::Owner) => {
            MAX_HEARTBEAT_INTERVAL_MS
        }
    }
}

/// Returns the age up to which the load in a peer's heartbeat counts if the next heartbeat is due
/// after `interval_ms`, in milliseconds.
pub fn load_ttl_ms(interval_ms: u64) -> u64 {
    MAX_MISSED_HEARTBEATS * interval_ms + MAX_DELAY_MS
}
