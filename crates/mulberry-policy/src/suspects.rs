//! Finds requests that crash endpoints and keeps them away.
//!
//! A request that was running at a crash becomes a suspect. Suspects run alone, so that their next
//! crash convicts them and their completion clears them.

use indexmap::IndexMap;

use mulberry_protocol::heartbeat::MAX_SUSPECTS_PER_BEAT;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::time::Millis;

use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// Crashes after which a request is refused everywhere.
pub const CRASHES_TO_CONVICT: u8 = 2;

/// Milliseconds for which a suspicion lasts.
const SUSPECT_TTL_MS: u64 = 10 * 60 * 1_000;

/// Milliseconds for which a conviction lasts.
const CONVICT_TTL_MS: u64 = 24 * 60 * 60 * 1_000;

/// Milliseconds for which a change is told to peers.
const TELL_MS: u64 = 10_000;

/// Milliseconds after which other old convictions are told.
const TURN_MS: u64 = 1_000;

/// Most requests remembered.
const MAX_REMEMBERED: usize = 4_096;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunRestriction {
    /// Like any other.
    Unrestricted,
    /// Alone on its endpoint.
    Alone,
    /// Not at all.
    Refused,
}

#[derive(Debug, Clone)]
struct Record {
    suspect: Suspect,
    changed_at: Millis,
}

/// The suspects known to one process.
#[derive(Debug, Default)]
pub struct SuspectTable {
    records: IndexMap<u64, Record>,
}

impl SuspectTable {
    /// Returns how a request may run.
    pub fn restriction(&self, fingerprint: u64, now: Millis) -> RunRestriction {
        match self.records.get(&fingerprint) {
            _ if is_injected(InjectedFault::ForgetSuspects) => RunRestriction::Unrestricted,
            Some(r) if is_expired(r, now) => RunRestriction::Unrestricted,
            Some(r) if r.suspect.convicted => RunRestriction::Refused,
            Some(r) if r.suspect.recent || r.suspect.crashes >= CRASHES_TO_CONVICT => {
                RunRestriction::Alone
            }
            Some(_) | None => RunRestriction::Unrestricted,
        }
    }

    /// Notes a crash of an endpoint that was running these requests, each with whether it had just
    /// begun. Returns what is known of them now.
    ///
    /// Those that had just begun are the likeliest cause and run alone from now on; the others do so
    /// only after a second crash. If none had just begun, all are as likely.
    pub fn note_crash(&mut self, running: &[(u64, bool)], now: Millis) -> Vec<Suspect> {
        let none_recent = !running.iter().any(|(_, recent)| *recent);
        let alone = running.len() == 1;
        let mut changed: Vec<Suspect> = Vec::new();
        for &(fingerprint, recent) in running {
            if changed.iter().any(|s| s.fingerprint == fingerprint) {
                continue;
            }
            let before = self.live(fingerprint, now).map_or(0, |s| s.crashes);
            let recent =
                recent || none_recent || self.live(fingerprint, now).is_some_and(|s| s.recent);
            let crashes = before.saturating_add(1);
            let convicted = alone && crashes >= CRASHES_TO_CONVICT;
            let suspect = Suspect { fingerprint, crashes, recent, convicted };
            changed.push(suspect.clone());
            self.put(suspect, now);
        }
        changed
    }

    /// Clears a suspect that completed.
    pub fn note_completed(&mut self, fingerprint: u64) {
        let convicted = self.records.get(&fingerprint).is_some_and(|r| r.suspect.convicted);
        if !convicted {
            self.records.swap_remove(&fingerprint);
        }
    }

    /// Merges what a peer tells. Returns whether anything changed.
    pub fn merge(&mut self, told: &[Suspect], now: Millis) -> bool {
        let mut changed = false;
        for suspect in told {
            let known = self.live(suspect.fingerprint, now);
            let newer = known.is_none_or(|k| {
                (suspect.convicted, suspect.crashes, suspect.recent)
                    > (k.convicted, k.crashes, k.recent)
            });
            if newer {
                self.put(suspect.clone(), now);
                changed = true;
            }
        }
        changed
    }

    /// Lists what to tell peers: recent changes, newest first, then older convictions in turn, for
    /// peers that have started since.
    pub fn suspects_to_send(&self, now: Millis) -> Vec<Suspect> {
        let mut recent: Vec<&Record> =
            self.records.values().filter(|r| now.since(r.changed_at) <= TELL_MS).collect();
        recent.sort_by_key(|r| std::cmp::Reverse(r.changed_at));
        let mut told: Vec<Suspect> =
            recent.into_iter().take(MAX_SUSPECTS_PER_BEAT).map(|r| r.suspect.clone()).collect();
        let old: Vec<&Record> = self
            .records
            .values()
            .filter(|r| r.suspect.convicted && now.since(r.changed_at) > TELL_MS)
            .filter(|r| !is_expired(r, now))
            .collect();
        let room = (MAX_SUSPECTS_PER_BEAT - told.len()).min(old.len());
        let turn = (now.0 / TURN_MS) as usize * MAX_SUSPECTS_PER_BEAT;
        told.extend((0..room).map(|i| old[(turn + i) % old.len()].suspect.clone()));
        told
    }

    /// Drops what has expired.
    pub fn forget_expired(&mut self, now: Millis) {
        self.records.retain(|_, r| !is_expired(r, now));
    }

    fn live(&self, fingerprint: u64, now: Millis) -> Option<&Suspect> {
        self.records.get(&fingerprint).filter(|r| !is_expired(r, now)).map(|r| &r.suspect)
    }

    fn put(&mut self, suspect: Suspect, now: Millis) {
        if self.records.len() >= MAX_REMEMBERED {
            // Suspicions go before convictions, the oldest first.
            let victim = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.suspect.convicted, r.changed_at))
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(fingerprint) = victim {
                self.records.swap_remove(&fingerprint);
            }
        }
        self.records.insert(suspect.fingerprint, Record { suspect, changed_at: now });
    }
}

fn is_expired(record: &Record, now: Millis) -> bool {
    let ttl = if record.suspect.convicted { CONVICT_TTL_MS } else { SUSPECT_TTL_MS };
    now.since(record.changed_at) > ttl
}
