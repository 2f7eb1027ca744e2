//! Tells whether the process at an address is surely the one that its registration describes.
//!
//! An endpoint may be back as another software version under its name and address, and its new
//! registration arrives some time later. A restart ends its connections. So a process that has held a
//! connection for longer than a registration takes to arrive knows what answers on it, if the
//! registration has not changed.

use std::net::SocketAddr;

use indexmap::IndexMap;

use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::time::Millis;

/// Longest time from the start of an endpoint until its registration is known here, in milliseconds,
/// while the store answers. It covers the delay with which changes are gathered.
pub const REGISTRATION_LAG_MS: u64 = 700;

/// Time after the end of a connection in which the others may still look open though their process has
/// ended with it, in milliseconds.
pub const END_NOTICE_MS: u64 = 100;

/// Connections that are held to one address.
#[derive(Debug, Default)]
struct Held {
    /// When each open connection was opened.
    opened: Vec<Millis>,
    /// When the other end last closed one without a word.
    ended: Option<Millis>,
}

/// For how long connections to each address have been held.
#[derive(Debug, Default)]
pub struct Continuity {
    held: IndexMap<SocketAddr, Held>,
}

impl Continuity {
    /// Records that a connection was opened.
    pub fn record_opened(&mut self, address: SocketAddr, now: Millis) {
        self.held.entry(address).or_default().opened.push(now);
    }

    /// Records that a connection, opened at this time, was closed by this process, or by the other end
    /// as it had said.
    pub fn record_closed(&mut self, address: SocketAddr, opened: Millis) {
        let Some(held) = self.held.get_mut(&address) else { return };
        if let Some(index) = held.opened.iter().position(|at| *at == opened) {
            held.opened.swap_remove(index);
        }
        if held.opened.is_empty() {
            self.held.swap_remove(&address);
        }
    }

    /// Records that the other end closed a connection, opened at this time, without a word: its process
    /// may have ended.
    pub fn record_ended(&mut self, address: SocketAddr, opened: Millis, now: Millis) {
        if let Some(held) = self.held.get_mut(&address) {
            held.ended = Some(now);
        }
        self.record_closed(address, opened);
    }

    /// Returns for how long the process behind the connections to an address is known to be the same,
    /// in milliseconds: as long as the oldest of them is open. `None` without a connection.
    pub fn held_ms(&self, address: SocketAddr, now: Millis) -> Option<u64> {
        let held = self.held.get(&address)?;
        let oldest = held.opened.iter().min().copied()?;
        let just_ended = held.ended.filter(|at| now.since(*at) < END_NOTICE_MS);
        Some(now.since(just_ended.map_or(oldest, |at| at.max(oldest))))
    }
}

/// Returns the time after which it is certain that the process behind a connection is the registered
/// one, in milliseconds, if its registration stays the same until then. Zero means that it is certain
/// already. `held_ms` is how long the connection has been held, `stale_ms` for how long nothing new may
/// have been heard of registrations.
pub fn certain_in_ms(held_ms: u64, stale_ms: u64) -> u64 {
    (REGISTRATION_LAG_MS + stale_ms).saturating_sub(held_ms)
}

/// Returns whether two records of an endpoint describe the same process.
pub fn is_same_process(one: &EndpointRecord, other: &EndpointRecord) -> bool {
    one.started_unix_ms == other.started_unix_ms
        && one.software == other.software
        && one.service == other.service
        && one.address == other.address
}
