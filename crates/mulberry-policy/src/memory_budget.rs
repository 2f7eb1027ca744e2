//! Budget of the bytes that a process holds for its callers: bodies that are read, requests that wait and
//! responses that are held for readers. Bytes are reserved before they are read.

use std::net::IpAddr;

use indexmap::IndexMap;

use mulberry_protocol::time::Millis;

/// Share of the budget that large requests may fill. The rest is for ordinary ones.
const LARGE_SHARE: f64 = 0.85;

/// Stated size up to which a request counts as ordinary: most prompts are shorter.
const SMALL_BYTES: u64 = 64 * 1024;

/// Bytes up to which a request that states no size counts as ordinary. It is small, so that a crowd of
/// large requests in chunks does not fill the part for ordinary ones with their beginnings.
const SMALL_UNSIZED_BYTES: u64 = 4 * 1024;

/// Time without progress after which a holder may be evicted, in milliseconds. A caller that is sending
/// makes progress far more often.
const MIN_IDLE_MS: u64 = 1_000;

/// One request or response that holds bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderId(u64);

#[derive(Debug, Clone, Copy)]
struct Holder {
    address: Option<IpAddr>,
    /// Size that its request states.
    stated: Option<u64>,
    bytes: u64,
    /// Since when it has made no progress though it could; `None` while it waits for this process.
    idle_since: Option<Millis>,
}

/// Answer to a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// There is no room now. The holder to evict, if there is one, makes room.
    Full {
        /// The largest and longest idle holder.
        evict: Option<HolderId>,
    },
    /// There is never room for so much.
    TooLarge,
}

/// Bytes held by all callers of a process.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    used: u64,
    last_id: u64,
    holders: IndexMap<HolderId, Holder>,
}

impl MemoryBudget {
    /// Creates an empty budget.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: 0, last_id: 0, holders: IndexMap::new() }
    }

    /// Returns the size of the budget in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the reserved bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of holders.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Adds a holder without bytes for a caller at the address, whose request states a size or none.
    pub fn open(&mut self, address: Option<IpAddr>, stated: Option<u64>) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        self.holders.insert(id, Holder { address, stated, bytes: 0, idle_since: None });
        id
    }

    /// Reserves bytes for a holder.
    pub fn reserve(&mut self, id: HolderId, bytes: u64, now: Millis) -> Reservation {
        let Some(holder) = self.holders.get(&id) else { return Reservation::TooLarge };
        let held = holder.bytes + bytes;
        let room = self.room_for(holder.stated, held);
        if held > room {
            return Reservation::TooLarge;
        }
        if self.used + bytes > room {
            return Reservation::Full { evict: self.find_idle(id, now) };
        }
        self.used += bytes;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = held;
        }
        Reservation::Granted
    }

    /// Records that a holder has made progress and that its caller is to send or read more from now on.
    pub fn record_progress(&mut self, id: HolderId, now: Millis) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.idle_since = Some(now);
        }
    }

    /// Records that a holder waits for this process or an endpoint, not for its caller. It is not evicted.
    pub fn record_waiting(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.idle_since = None;
        }
    }

    /// Gives back bytes of a holder, at most what it has.
    pub fn release(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let released = bytes.min(holder.bytes);
            holder.bytes -= released;
            self.used -= released;
        }
    }

    /// Removes a holder with all its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.swap_remove(&id) {
            self.used -= holder.bytes;
        }
    }

    fn room_for(&self, stated: Option<u64>, held: u64) -> u64 {
        let is_small = match stated {
            Some(bytes) => bytes.max(held) <= SMALL_BYTES,
            None => held <= SMALL_UNSIZED_BYTES,
        };
        if is_small { self.limit } else { (self.limit as f64 * LARGE_SHARE) as u64 }
    }

    /// Returns the holder to evict: of the addresses that hold more than an equal share before the others,
    /// the one with the most bytes times idle time.
    fn find_idle(&self, except: HolderId, now: Millis) -> Option<HolderId> {
        let mut by_address: IndexMap<Option<IpAddr>, u64> = IndexMap::new();
        for holder in self.holders.values() {
            *by_address.entry(holder.address).or_default() += holder.bytes;
        }
        let share = self.limit / by_address.len().max(1) as u64;
        let weight = |holder: &Holder| {
            let idle_ms = now.since(holder.idle_since?);
            let is_over = by_address.get(&holder.address).is_some_and(|bytes| *bytes > share);
            let is_idle = idle_ms >= MIN_IDLE_MS && holder.bytes > 0;
            is_idle.then(|| (is_over, holder.bytes.saturating_mul(idle_ms)))
        };
        let others = self.holders.iter().filter(|(id, _)| **id != except);
        let idle = others.filter_map(|(id, holder)| Some((weight(holder)?, *id)));
        idle.max_by_key(|(weight, _)| *weight).map(|(_, id)| id)
    }
}
