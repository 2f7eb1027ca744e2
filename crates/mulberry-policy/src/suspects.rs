//! Finds requests that crash endpoints and refuses them.
//!
//! A request that was running when its endpoint crashed becomes a suspect. Likely suspects run
//! alone on their endpoint, so that another crash confirms the request as the cause, and its
//! completion clears it.

use indexmap::IndexMap;

use mulberry_protocol::heartbeat::MAX_SUSPECTS_PER_HEARTBEAT;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::time::Millis;

use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// Crashes from which a request is confirmed as their cause and refused everywhere, if it was
/// running alone at the last one. Otherwise it runs alone from then on.
pub const CRASHES_TO_CONFIRM: u8 = 2;

/// Time for which a request stays a suspect after its last change, in milliseconds.
pub(crate) const SUSPECT_TTL_MS: u64 = 10 * 60 * 1_000;

/// Time for which a request stays confirmed after its last change, in milliseconds.
pub const CONFIRMED_TTL_MS: u64 = 24 * 60 * 60 * 1_000;

/// Time for which a change is sent to peers, in milliseconds.
pub(crate) const SEND_CHANGES_MS: u64 = 10_000;

/// Time after which the next older confirmed requests are sent in turn, in milliseconds.
const ROTATION_INTERVAL_MS: u64 = 1_000;

/// Most requests kept in the table.
pub(crate) const MAX_RECORDS: usize = 4_096;

/// Whether and how a request may run, given the crashes that it was involved in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunRestriction {
    /// Runs like any other request.
    Unrestricted,
    /// Runs alone on its endpoint.
    Alone,
    /// Doesn't run: the request is confirmed to crash endpoints.
    Refused,
}

/// What is known of one request, and since when.
#[derive(Debug, Clone)]
struct Record {
    suspect: Suspect,
    changed_at: Millis,
}

/// The suspect and confirmed requests that one process knows, by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTable {
    records: IndexMap<u64, Record>,
}

impl SuspectTable {
    /// Returns whether and how a request may run.
    pub fn restriction(&self, fingerprint: u64, now: Millis) -> RunRestriction {
        match self.records.get(&fingerprint) {
            _ if is_injected(InjectedFault::ForgetSuspects) => RunRestriction::Unrestricted,
            Some(r) if is_expired(r, now) => RunRestriction::Unrestricted,
            Some(r) if r.suspect.confirmed => RunRestriction::Refused,
            Some(r) if r.suspect.recent || r.suspect.crashes >= CRASHES_TO_CONFIRM => {
                RunRestriction::Alone
            }
            Some(_) | None => RunRestriction::Unrestricted,
        }
    }

    /// Records a crash of an endpoint that was running these requests, each with whether it had
    /// just begun. Returns what is now known of them.
    ///
    /// Those that had just begun are the likeliest cause and run alone from now on. The others do
    /// so only after a second crash. If none had just begun, all are equally likely.
    pub fn record_crash(&mut self, running: &[(u64, bool)], now: Millis) -> Vec<Suspect> {
        let none_recent = !running.iter().any(|(_, recent)| *recent);
        let ran_alone = running.len() == 1;
        let mut changed: Vec<Suspect> = Vec::new();
        for &(fingerprint, recent) in running {
            if changed.iter().any(|s| s.fingerprint == fingerprint) {
                continue;
            }
            let crashes_before = self.live(fingerprint, now).map_or(0, |s| s.crashes);
            let recent =
                recent || none_recent || self.live(fingerprint, now).is_some_and(|s| s.recent);
            let crashes = crashes_before.saturating_add(1);
            let confirmed = ran_alone && crashes >= CRASHES_TO_CONFIRM;
            let suspect = Suspect { fingerprint, crashes, recent, confirmed };
            changed.push(suspect.clone());
            self.put(suspect, now);
        }
        changed
    }

    /// Clears a suspect that completed. A confirmed one stays.
    pub fn record_completed(&mut self, fingerprint: u64) {
        let confirmed = self.records.get(&fingerprint).is_some_and(|r| r.suspect.confirmed);
        if !confirmed {
            self.records.swap_remove(&fingerprint);
        }
    }

    /// Merges the suspects that a peer sent. Returns whether anything changed.
    pub fn merge(&mut self, received: &[Suspect], now: Millis) -> bool {
        let mut changed = false;
        for suspect in received {
            let known = self.live(suspect.fingerprint, now);
            let newer = known.is_none_or(|k| {
                (suspect.confirmed, suspect.crashes, suspect.recent)
                    > (k.confirmed, k.crashes, k.recent)
            });
            if newer {
                self.put(suspect.clone(), now);
                changed = true;
            }
        }
        changed
    }

    /// Returns what to send to peers: recent changes, newest first, then older confirmed ones in
    /// turn, for peers that started after them.
    pub fn suspects_to_send(&self, now: Millis) -> Vec<Suspect> {
        let mut recent: Vec<&Record> =
            self.records.values().filter(|r| now.since(r.changed_at) <= SEND_CHANGES_MS).collect();
        recent.sort_by_key(|r| std::cmp::Reverse(r.changed_at));
        let mut suspects: Vec<Suspect> = recent
            .into_iter()
            .take(MAX_SUSPECTS_PER_HEARTBEAT)
            .map(|r| r.suspect.clone())
            .collect();
        let old: Vec<&Record> = self
            .records
            .values()
            .filter(|r| r.suspect.confirmed && now.since(r.changed_at) > SEND_CHANGES_MS)
            .filter(|r| !is_expired(r, now))
            .collect();
        let remaining = (MAX_SUSPECTS_PER_HEARTBEAT - suspects.len()).min(old.len());
        let offset = (now.0 / ROTATION_INTERVAL_MS) as usize * MAX_SUSPECTS_PER_HEARTBEAT;
        suspects.extend((0..remaining).map(|i| old[(offset + i) % old.len()].suspect.clone()));
        suspects
    }

    /// Drops expired suspects and confirmed requests.
    pub fn remove_expired(&mut self, now: Millis) {
        self.records.retain(|_, r| !is_expired(r, now));
    }

    fn live(&self, fingerprint: u64, now: Millis) -> Option<&Suspect> {
        self.records.get(&fingerprint).filter(|r| !is_expired(r, now)).map(|r| &r.suspect)
    }

    fn put(&mut self, suspect: Suspect, now: Millis) {
        if self.records.len() >= MAX_RECORDS {
            // Suspects are evicted before confirmed requests, the oldest first.
            let evicted = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.suspect.confirmed, r.changed_at))
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(fingerprint) = evicted {
                self.records.swap_remove(&fingerprint);
            }
        }
        self.records.insert(suspect.fingerprint, Record { suspect, changed_at: now });
    }
}

fn is_expired(record: &Record, now: Millis) -> bool {
    let ttl = if record.suspect.confirmed { CONFIRMED_TTL_MS } else { SUSPECT_TTL_MS };
    now.since(record.changed_at) > ttl
}
