//! Finds the part of prompts that crashes endpoints.
//!
//! Requests with such a part are new each time, so that none of them is ever convicted. Each shared part
//! of a prompt is therefore a suspect of its own. Three things keep sound parts free, which stand beside
//! the guilty one in its requests or ran beside them on their endpoints:
//!
//! - Endpoints that crash at the same moment count as one crash.
//! - A part with which a request has completed is known to be sound. A guilty one never completes.
//! - A suspect explains another one if it was there at each of that one's crashes. A request that lacks the
//!   first may be sound, and runs.

use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

use crate::crash_suspects::CRASHES_WITHOUT_RETRY;
use crate::crash_suspects::CrashEvidence;
use crate::crash_suspects::CrashSuspects;
use crate::crash_suspects::CrashVerdict;
use crate::crash_suspects::Permission;
use crate::crash_suspects::Run;
use crate::crash_suspects::crash::Crash;
use crate::crash_suspects::record::KNOWN_SOUND_MS;
use crate::crash_suspects::record::Record;

/// Most parts whose last completed run is remembered.
const MAX_SOUND_PARTS: usize = 8_192;

/// Answers in a row whose end only the connection's end marks that show a part to be sound. A single one
/// may have been a crash between two events.
const UNMARKED_ENDS_TO_TRUST: u8 = 3;

/// What marked the end of an answer that was taken for whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// Its declared length, or a last chunk.
    Marked,
    /// Only the end of the connection.
    Unmarked,
}

/// What speaks for a part.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SoundPart {
    /// When a request with it was last known to have completed.
    sound_at: Option<Millis>,
    /// When something was last recorded here.
    seen_at: Millis,
    /// Answers in a row without a marked end, since the last crash.
    unmarked_ends: u8,
}

/// What a request is known by.
#[derive(Debug, Clone, Copy)]
pub struct RequestKeys<'a> {
    /// Fingerprint of the whole request.
    pub fingerprint: u64,
    /// Fingerprints of the parts of its prompt that other requests may have too.
    pub parts: &'a [u64],
}

impl RequestKeys<'_> {
    fn contains(&self, key: u64) -> bool {
        self.fingerprint == key || self.parts.contains(&key)
    }
}

impl CrashSuspects {
    /// Records for each part that a run of a request with it broke. Returns those that are convicted
    /// from now on.
    pub fn record_part_crashes(
        &mut self,
        run: Run<'_>,
        parts: &[u64],
        evidence: CrashEvidence,
        now: Millis,
    ) -> Vec<CrashVerdict> {
        let service_completed_at = self.completed_at.get(run.service).copied();
        let mut convicted = Vec::new();
        for part in parts {
            if let Some(known) = self.sound_parts.get_mut(part) {
                known.unmarked_ends = 0;
            }
            let record = self.part_record_mut(*part, now);
            let was_convicted = record.will_be_convicted(now);
            let last_crash_at = record.crashes.last().map(|c| c.at);
            if !record.add_crash(Crash::new(run, evidence, now), now) {
                continue;
            }
            record.is_proven |= last_crash_at.is_some_and(|at| service_completed_at > Some(at));
            if record.will_be_convicted(now) && !was_convicted {
                let crashes = record.crashes.len();
                convicted.push(CrashVerdict { fingerprint: *part, crashes, newly_convicted: true });
            }
        }
        convicted
    }

    /// Records for each part that a request with it was answered to the end. Returns those that were
    /// convicted.
    pub fn record_parts_completed(
        &mut self,
        parts: &[u64],
        end: AnswerEnd,
        now: Millis,
    ) -> Vec<u64> {
        let mut cleared = Vec::new();
        for part in parts {
            if !self.remember_end(*part, end, now) {
                continue;
            }
            if let Some(record) = self.records.get_mut(part) {
                if record.will_be_convicted(now) {
                    cleared.push(*part);
                }
                record.void_before(now, now);
            }
        }
        cleared
    }

    /// Returns whether a request of the service may run as far as its parts are concerned, with the part
    /// that decides it if it may not run freely.
    pub fn part_permission(
        &self,
        keys: RequestKeys<'_>,
        service: &ServiceName,
        now: Millis,
    ) -> (Permission, Option<u64>) {
        let mut decided = (Permission::Run, None);
        for part in keys.parts {
            let permission = self.permission(*part, service, now);
            let is_stricter = match (permission, decided.0) {
                (Permission::Run, _) => false,
                (Permission::Trial, before) => before == Permission::Run,
                (Permission::Refuse { until }, Permission::Refuse { until: before }) => {
                    until > before
                }
                (Permission::Refuse { .. }, _) => true,
            };
            if is_stricter && !self.is_explained(*part, keys, now) {
                decided = (permission, Some(*part));
            }
        }
        decided
    }

    /// Returns whether the process itself may send the request to another endpoint after a break, as far
    /// as its parts are concerned.
    pub fn may_retry_parts(&self, keys: RequestKeys<'_>, now: Millis) -> bool {
        let is_suspect = |r: &Record| {
            let is_near_conviction = r.episodes().count() >= CRASHES_WITHOUT_RETRY;
            r.is_suspect_part(now) && is_near_conviction || r.convicted_until(now).is_some()
        };
        let suspects = keys.parts.iter().filter(|p| self.live(**p, now).is_some_and(is_suspect));
        suspects.copied().all(|part| self.is_explained(part, keys, now))
    }

    /// Returns whether a suspect that the request lacks was there at each crash of the part.
    pub(super) fn is_explained(&self, part: u64, keys: RequestKeys<'_>, now: Millis) -> bool {
        let Some(record) = self.live(part, now).filter(|r| !r.crashes.is_empty()) else {
            return false;
        };
        let was_there =
            |other: &Record, crash: &Crash| other.crashes.iter().any(|c| c.is_same_telling(crash));
        self.records.iter().any(|(key, other)| {
            *key != part
                && !keys.contains(*key)
                && (!other.is_part || other.is_suspect_part(now))
                && other.crashes.len() >= record.crashes.len()
                && record.crashes.iter().all(|c| was_there(other, c))
        })
    }

    /// Returns the record of a part.
    pub(super) fn part_record_mut(&mut self, part: u64, now: Millis) -> &mut Record {
        let sound_at = self.sound_parts.get(&part).and_then(|known| known.sound_at);
        let record = self.record_mut(part, now);
        record.is_part = true;
        record.completed_at = record.completed_at.max(sound_at);
        record
    }

    /// Remembers how an answer to a request with the part ended. Returns whether that shows the part to be
    /// sound.
    fn remember_end(&mut self, part: u64, end: AnswerEnd, now: Millis) -> bool {
        if !self.sound_parts.contains_key(&part) && self.sound_parts.len() >= MAX_SOUND_PARTS {
            self.sound_parts.retain(|_, known| now.since(known.seen_at) < KNOWN_SOUND_MS);
            if self.sound_parts.len() >= MAX_SOUND_PARTS {
                return end == AnswerEnd::Marked;
            }
        }
        let known = self.sound_parts.entry(part).or_default();
        known.seen_at = now;
        known.unmarked_ends = known.unmarked_ends.saturating_add(1);
        let is_sound = end == AnswerEnd::Marked || known.unmarked_ends >= UNMARKED_ENDS_TO_TRUST;
        if is_sound {
            known.sound_at = Some(now);
        }
        is_sound
    }
}
