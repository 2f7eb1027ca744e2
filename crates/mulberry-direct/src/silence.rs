//! When endpoints last sent something, to tell one that is slow from one that has crashed without ending
//! its connections.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Silence that is remembered when the endpoint is heard again: it may have crashed and be back, while
/// the connections from before stay silent.
const DARK_GAP: Duration = Duration::from_millis(1_000);

/// Number of addresses from which old ones are dropped.
const MAX_ADDRESSES: usize = 4_096;

/// Age at which an address may be dropped.
const ADDRESS_TTL: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Instant,
    /// Beginning and end of the last silence of [`DARK_GAP`] or more.
    gap: Option<(Instant, Instant)>,
}

/// When each address last sent something on any connection.
#[derive(Debug, Default)]
pub struct SilenceLog {
    heard: IndexMap<SocketAddr, Heard>,
}

impl SilenceLog {
    /// Records that an address has sent something.
    pub fn record_heard(&mut self, address: SocketAddr, now: Instant) {
        if let Some(heard) = self.heard.get_mut(&address) {
            if now.duration_since(heard.at) >= DARK_GAP {
                heard.gap = Some((heard.at, now));
            }
            heard.at = now;
            return;
        }
        if self.heard.len() >= MAX_ADDRESSES {
            self.heard.retain(|_, heard| now.duration_since(heard.at) < ADDRESS_TTL);
        }
        // Nothing is known of the time before.
        let gap = now.checked_sub(ADDRESS_TTL).map(|begin| (begin, now));
        self.heard.insert(address, Heard { at: now, gap });
    }

    /// Returns how long the address has been silent since a run was sent there: until now, or for at
    /// least [`DARK_GAP`] before it was heard again.
    pub fn silence(&self, address: SocketAddr, sent: Instant, now: Instant) -> Duration {
        let Some(heard) = self.heard.get(&address) else { return now.duration_since(sent) };
        let current = now.duration_since(heard.at.max(sent));
        let earlier = heard
            .gap
            .map_or(Duration::ZERO, |(begin, end)| end.saturating_duration_since(begin.max(sent)));
        if earlier >= DARK_GAP { current.max(earlier) } else { current }
    }
}
