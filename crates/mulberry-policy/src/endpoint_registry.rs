//! Keeps the endpoints that have registered themselves, and judges entries that vanish.
//!
//! Entries expire while the store is away, although their endpoints live. Such entries get a little
//! time after the store's return to come back.

use indexmap::IndexMap;

use mulberry_protocol::endpoint::EndpointEntry;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::time::Millis;

/// Time after the store's return in which a vanished entry may come back, in milliseconds.
pub const RETURN_GRACE_MS: u64 = 2_200;

/// Share of the ready endpoints whose entries vanish at once from which the store is doubted.
const DOUBTED_SHARE: f64 = 0.25;

/// Fewest vanished entries from which the store is doubted.
const DOUBTED_MIN: usize = 3;

/// The endpoints known to a process.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    entries: IndexMap<EndpointName, EndpointEntry>,
    /// Vanished entries that are still used, each with the end of its grace.
    vanished: IndexMap<EndpointName, Millis>,
    store_away: bool,
    grace_until: Millis,
}

impl EndpointRegistry {
    /// Notes that the store gave no answer.
    pub fn note_store_failure(&mut self) {
        self.store_away = true;
    }

    /// Notes an answer of the store. The first one after failures begins the grace.
    pub fn note_store_answer(&mut self, now: Millis) {
        if self.store_away {
            self.store_away = false;
            self.grace_until = now + RETURN_GRACE_MS;
        }
    }

    /// Takes a whole list. Entries that are not in it have vanished.
    pub fn replace_all(&mut self, listed: Vec<EndpointEntry>, now: Millis) {
        let names: Vec<EndpointName> = listed.iter().map(|e| e.name.clone()).collect();
        let gone: Vec<EndpointName> =
            self.entries.keys().filter(|n| !names.contains(n)).cloned().collect();
        for entry in listed {
            self.put(entry);
        }
        self.remove_all(&gone, now);
    }

    /// Takes one entry.
    pub fn put(&mut self, entry: EndpointEntry) {
        self.vanished.shift_remove(&entry.name);
        self.entries.insert(entry.name.clone(), entry);
    }

    /// Notes that entries have vanished, all at the same time.
    pub fn remove_all(&mut self, names: &[EndpointName], now: Millis) {
        let ready = self.entries.values().filter(|e| e.state == EndpointState::Ready).count();
        let lost = names.iter().filter(|n| self.is_ready(n) && !self.vanished.contains_key(*n));
        let lost = lost.count();
        if lost >= DOUBTED_MIN && lost as f64 > ready as f64 * DOUBTED_SHARE {
            self.grace_until = self.grace_until.max(now + RETURN_GRACE_MS);
        }
        for name in names {
            if self.is_ready(name) && now < self.grace_until {
                self.vanished.entry(name.clone()).or_insert(self.grace_until);
            } else {
                self.drop_entry(name);
            }
        }
    }

    /// Drops the entries whose grace is over. Returns whether any was dropped.
    pub fn expire(&mut self, now: Millis) -> bool {
        let over: Vec<EndpointName> = self
            .vanished
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in &over {
            self.drop_entry(name);
        }
        !over.is_empty()
    }

    /// Returns the end of the grace that ends first.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.vanished.values().min().copied()
    }

    /// Returns every known endpoint.
    pub fn entries(&self) -> &IndexMap<EndpointName, EndpointEntry> {
        &self.entries
    }

    fn is_ready(&self, name: &EndpointName) -> bool {
        self.entries.get(name).is_some_and(|e| e.state == EndpointState::Ready)
    }

    fn drop_entry(&mut self, name: &EndpointName) {
        self.vanished.shift_remove(name);
        self.entries.shift_remove(name);
    }
}
