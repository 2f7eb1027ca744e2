//! Bounds how often a request that crashes endpoints reaches them, in deployments where no process sees
//! everything that runs on an endpoint.
//!
//! Each process notes the crashes under the requests that it sent and tells its peers. A crash is known
//! by its endpoint and time, so that what several processes saw of it counts once, however often it is
//! told. A completed run of the request anywhere voids them.
//!
//! Three crashes in a row convict the request, whoever is at fault: no proof is asked for, since a
//! service on which little else runs never gives one. What a wrong conviction costs is kept small
//! instead. A convicted request runs on trial: few times for all processes together, each claimed in
//! the platform's store, and it is free again once a trial completes. When the trials are due depends on
//! what the service does for others. As long as it completes nothing, they are kept for later; once it
//! works again, they come soon, unless the request is the likeliest cause.
//!
//! [`parts`] does the same for the parts of prompts that requests share.
//!
//! [`crate::suspects`] decides the same where a process beside each endpoint reports its crashes.

mod crash;
mod parts;
mod record;
mod trials;

use indexmap::IndexMap;
use rand::Rng;

use mulberry_protocol::heartbeat::MAX_SUSPECTS_PER_HEARTBEAT;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::SuspectDetail;
use mulberry_protocol::time::Millis;

use crate::crash_suspects::crash::Crash;
use crate::crash_suspects::parts::SoundPart;
use crate::crash_suspects::record::Record;
use crate::crash_suspects::trials::next_trial_at;
use crate::suspects::MAX_RECORDS;
use crate::suspects::SEND_CHANGES_MS;

pub use crash::CrashEvidence;
pub use crash::Run;
pub use parts::AnswerEnd;
pub use parts::RequestKeys;
pub use trials::MAX_TRIALS;

/// Crashes in a row that convict a request.
pub const CRASHES_TO_CONVICT: usize = 3;

/// Crashes in a row from which on a process leaves it to the caller whether the request is sent again:
/// one less than convict it, or more if the evidence is unclear.
const CRASHES_WITHOUT_RETRY: usize = CRASHES_TO_CONVICT - 1;

/// The same where endpoints only ended connections or fell silent.
const UNCLEAR_CRASHES_WITHOUT_RETRY: usize = 4;

/// Most suspects that a process publishes at a time.
const MAX_PUBLISHED_SUSPECTS: usize = 64;

/// Most convictions that are stored. More of them are hardly single requests at fault.
const MAX_STORED_CONVICTIONS: usize = 64;

/// The head of a heartbeat that carries suspects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectSender {
    /// Name of the sender.
    pub name: EntryName,
    /// Number drawn at the sender's start.
    pub incarnation: u64,
    /// Number that rises with each heartbeat of an incarnation.
    pub sequence: u64,
}

/// A suspect as one process tells it to another.
#[derive(Debug, Clone, PartialEq)]
pub struct ToldSuspect {
    /// What every build knows.
    pub suspect: Suspect,
    /// What the sender knows of its crashes; none from a build that does not tell them.
    pub detail: Option<SuspectDetail>,
    /// Whether it is a part of prompts, and no request.
    pub is_part: bool,
}

/// Joins suspects with their details, which are in the same order, and with the fingerprints of those that
/// are parts of prompts.
pub fn told_suspects(
    suspects: &[Suspect],
    details: &[SuspectDetail],
    parts: &[u64],
) -> Vec<ToldSuspect> {
    let mut details = details.iter().cloned();
    let told = suspects.iter().cloned().map(|suspect| {
        let is_part = parts.contains(&suspect.fingerprint);
        ToldSuspect { suspect, detail: details.next(), is_part }
    });
    told.collect()
}

/// What a crash or a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Crashes in a row that are known now.
    pub crashes: usize,
    /// Whether the request is convicted now, or will be without another crash, and was not before.
    pub newly_convicted: bool,
}

/// Whether a request may run, given the crashes that it was involved in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// The request may run.
    Run,
    /// The request may run once if that is claimed.
    Trial,
    /// The request may not run before this time.
    Refuse {
        /// When it may be sent again.
        until: Millis,
    },
}

/// The requests and the parts of prompts that one process suspects or knows to crash endpoints, by
/// fingerprint.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    records: IndexMap<u64, Record>,
    /// What the answers that this process got speak for each part.
    sound_parts: IndexMap<u64, SoundPart>,
    /// When each service last completed a run of this process.
    completed_at: IndexMap<ServiceName, Millis>,
    /// Incarnation and number of the last heartbeat of each peer that was merged.
    last_merged: IndexMap<EntryName, (u64, u64)>,
}

impl CrashSuspects {
    /// Returns whether an online request of the service may run.
    pub fn permission(&self, fingerprint: u64, service: &ServiceName, now: Millis) -> Permission {
        let Some(record) = self.live(fingerprint, now) else { return Permission::Run };
        let Some(convicted_until) = record.convicted_until(now) else { return Permission::Run };
        match next_trial_at(fingerprint, record, self.completed_at.get(service).copied()) {
            Some(at) if at <= now => Permission::Trial,
            Some(at) => Permission::Refuse { until: at.min(convicted_until) },
            None => Permission::Refuse { until: convicted_until },
        }
    }

    /// Returns whether the process itself may send the request to another endpoint after a break.
    /// Close to conviction, that is left to its caller.
    pub fn may_retry(&self, fingerprint: u64, now: Millis) -> bool {
        self.live(fingerprint, now).is_none_or(|r| {
            r.refused_crashes() < CRASHES_WITHOUT_RETRY
                && r.crashes.len() < UNCLEAR_CRASHES_WITHOUT_RETRY
                && r.convicted_until(now).is_none()
        })
    }

    /// Records that this process claimed a run of a convicted request, the `number`th one.
    pub fn begin_trial(&mut self, fingerprint: u64, number: u8, now: Millis) {
        let record = self.record_mut(fingerprint, now);
        record.trials = record.trials.max(number);
        record.last_trial_at = Some(now);
        record.changed_at = now;
    }

    /// Records that `number` runs of a convicted request were claimed before, the last one at an
    /// unknown time.
    pub fn record_trials(&mut self, fingerprint: u64, number: u8, now: Millis) {
        let record = self.record_mut(fingerprint, now);
        record.trials = record.trials.max(number);
        record.last_trial_at = record.last_trial_at.max(Some(now));
    }

    /// Records that a run broke, and what its endpoint did then. Returns none if that is of a crash which
    /// is known already.
    pub fn record_crash(
        &mut self,
        run: Run<'_>,
        evidence: CrashEvidence,
        now: Millis,
    ) -> Option<CrashVerdict> {
        let Run { fingerprint, service, .. } = run;
        let service_completed_at = self.completed_at.get(service).copied();
        let record = self.record_mut(fingerprint, now);
        let was_convicted = record.will_be_convicted(now);
        let last_crash_at = record.crashes.last().map(|c| c.at);
        if !record.add_crash(Crash::new(run, evidence, now), now) {
            return None;
        }
        record.is_proven |= last_crash_at.is_some_and(|at| service_completed_at > Some(at));
        let newly_convicted = record.will_be_convicted(now) && !was_convicted;
        Some(CrashVerdict { fingerprint, crashes: record.crashes.len(), newly_convicted })
    }

    /// Records that an endpoint ran the request to its end, which clears a suspect. Returns whether it
    /// was convicted, or would have been without another crash.
    pub fn record_completed(&mut self, run: Run<'_>, now: Millis) -> bool {
        let Run { fingerprint, service, .. } = run;
        match self.completed_at.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.completed_at.insert(service.clone(), now);
            }
        }
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.crashes.is_empty() && record.conviction.is_none() {
            return false;
        }
        let was_convicted = record.will_be_convicted(now);
        record.void_before(now, now);
        was_convicted
    }

    /// Merges the suspects in a peer's heartbeat, unless a later one was merged before. Returns those
    /// that are convicted from now on.
    pub fn merge(
        &mut self,
        sender: &SuspectSender,
        told: &[ToldSuspect],
        now: Millis,
    ) -> Vec<CrashVerdict> {
        let is_late = self.last_merged.get(&sender.name).is_some_and(|(incarnation, sequence)| {
            *incarnation == sender.incarnation && *sequence >= sender.sequence
        });
        if is_late {
            return Vec::new();
        }
        self.last_merged.insert(sender.name.clone(), (sender.incarnation, sender.sequence));
        let merged = told.iter().filter_map(|t| self.merge_one(t, false, now));
        merged.filter(|v| v.newly_convicted).collect()
    }

    /// Merges the suspects that a peer has just published. Returns those that are convicted from now on.
    pub fn merge_published(&mut self, told: &[ToldSuspect], now: Millis) -> Vec<CrashVerdict> {
        let merged = told.iter().filter_map(|t| self.merge_one(t, true, now));
        merged.filter(|v| v.newly_convicted).collect()
    }

    fn merge_one(
        &mut self,
        told: &ToldSuspect,
        is_rough: bool,
        now: Millis,
    ) -> Option<CrashVerdict> {
        let ToldSuspect { suspect, detail, is_part } = told;
        let says_nothing = |d: &SuspectDetail| d.crashes.is_empty() && d.trials == 0;
        let is_unknown = self.live(suspect.fingerprint, now).is_none();
        if is_unknown && !suspect.confirmed && detail.as_ref().is_none_or(says_nothing) {
            return None;
        }
        let record = match is_part {
            true => self.part_record_mut(suspect.fingerprint, now),
            false => self.record_mut(suspect.fingerprint, now),
        };
        let was_convicted = record.will_be_convicted(now);
        if let Some(detail) = detail {
            if let Some(completed_ms_ago) = detail.completed_ms_ago {
                record.void_before(now - u64::from(completed_ms_ago), now);
            }
            for seen in &detail.crashes {
                record.add_crash(Crash { is_rough, ..Crash::from_seen(seen, now) }, now);
            }
            record.is_proven |= detail.is_proven && !record.crashes.is_empty();
            record.merge_trials(detail, now);
        }
        if suspect.confirmed {
            record.tell_conviction(now);
        }
        let newly_convicted = record.will_be_convicted(now) && !was_convicted;
        let (fingerprint, crashes) = (suspect.fingerprint, record.crashes.len());
        Some(CrashVerdict { fingerprint, crashes, newly_convicted })
    }

    /// Returns the convictions to store, each with its end: those that are stored already, and new
    /// ones unless there are too many. A part that another suspect explains may be sound.
    pub fn convictions(&self, now: Millis) -> Vec<(u64, Millis)> {
        let convicted = self.records.iter().filter_map(|(fingerprint, record)| {
            let until = record.known_until().or(record.convicted_until(now))?;
            let is_new = record.known_until().is_none();
            let alone = RequestKeys { fingerprint: *fingerprint, parts: &[] };
            let is_doubtful = is_new && record.is_part;
            (!is_doubtful || !self.is_explained(*fingerprint, alone, now)).then_some((
                *fingerprint,
                until,
                is_new,
            ))
        });
        let (new, known): (Vec<_>, Vec<_>) = convicted.partition(|(_, _, is_new)| *is_new);
        let room = MAX_STORED_CONVICTIONS.saturating_sub(known.len());
        let kept = known.into_iter().chain(new.into_iter().take(room));
        kept.map(|(fingerprint, until, _)| (fingerprint, until)).collect()
    }

    /// Adds a conviction that is stored and ends at `until`. This process tells its peers from now on.
    pub fn add_conviction(&mut self, fingerprint: u64, until: Millis, now: Millis) {
        self.record_mut(fingerprint, now).store_conviction(until, now);
    }

    /// Takes over a conviction that another process has stored, with the runs that were claimed since.
    /// This process does not tell its peers, who can read it too. Returns the verdict if it is new here.
    pub fn read_conviction(
        &mut self,
        fingerprint: u64,
        until: Millis,
        trials: u8,
        now: Millis,
    ) -> Option<CrashVerdict> {
        let record = self.record_mut(fingerprint, now);
        let was_convicted = record.will_be_convicted(now);
        record.hear_conviction(until, now);
        if record.convicted_until(now).is_some() && trials > record.trials {
            record.trials = trials;
            record.last_trial_at = record.last_trial_at.max(Some(now));
        }
        let newly_convicted = record.will_be_convicted(now) && !was_convicted;
        let crashes = record.crashes.len();
        newly_convicted.then_some(CrashVerdict { fingerprint, crashes, newly_convicted })
    }

    /// Forgets a conviction that was deleted from the store, since the request has completed or its time
    /// was over, and the crashes before.
    pub fn forget_conviction(&mut self, fingerprint: u64) {
        if self.records.get(&fingerprint).is_some_and(|r| r.known_until().is_none()) {
            self.records.swap_remove(&fingerprint);
        }
    }

    /// Records that a conviction was stored which ends at `until`, unless the request has completed
    /// meanwhile.
    pub fn confirm_conviction(&mut self, fingerprint: u64, until: Millis, now: Millis) {
        if self.live(fingerprint, now).is_some_and(|r| r.convicted_until(now).is_some()) {
            self.add_conviction(fingerprint, until, now);
        }
    }

    /// Returns what to send to peers with the next heartbeat: what this process saw or was told lately,
    /// so that it outlasts who saw it, and what it read from the store. If there is too much for one
    /// heartbeat, recent changes of convicted requests and of those that crashed several endpoints go
    /// first, and others of each kind are drawn for each heartbeat.
    pub fn suspects_to_send(&self, rng: &mut impl Rng, now: Millis) -> Vec<ToldSuspect> {
        let is_recent = |r: &Record| now.since(r.changed_at) <= SEND_CHANGES_MS;
        let is_known = |r: &Record| r.known_until().is_some_and(|until| until >= now);
        let is_told = |r: &Record| is_known(r) || is_recent(r) && r.has_evidence();
        let (urgent, others): (Vec<_>, Vec<_>) =
            self.records.iter().filter(|(_, r)| is_told(r)).partition(|(_, r)| {
                let is_near = r.crashes.len() >= CRASHES_WITHOUT_RETRY && !r.is_part;
                // Who knows a part to be sound tells those who suspect it.
                is_recent(r) && (is_known(r) || is_near || r.is_part)
            });
        let mut sent = draw_suspects(&urgent, MAX_SUSPECTS_PER_HEARTBEAT, rng, now);
        let room = MAX_SUSPECTS_PER_HEARTBEAT - sent.len();
        sent.extend(draw_suspects(&others, room, rng, now));
        sent
    }

    /// Returns what to publish for peers that don't hear this process: what changed lately, the latest
    /// changes first. Nothing if all of that was published before.
    pub fn suspects_to_publish(
        &self,
        published_at: Option<Millis>,
        now: Millis,
    ) -> Vec<ToldSuspect> {
        let is_own = |r: &&Record| r.crashes.iter().any(|c| !c.is_rough) || r.trials > 0;
        let is_recent = |r: &&Record| now.since(r.changed_at) <= SEND_CHANGES_MS;
        let mut recent: Vec<_> =
            self.records.iter().filter(|(_, r)| is_recent(r) && is_own(r)).collect();
        if recent.iter().all(|(_, r)| Some(r.changed_at) < published_at) {
            return Vec::new();
        }
        recent.sort_by_key(|(_, r)| std::cmp::Reverse(r.changed_at));
        let latest = recent.into_iter().take(MAX_PUBLISHED_SUSPECTS);
        latest.map(|(fingerprint, record)| tell(*fingerprint, record, now)).collect()
    }

    /// Drops expired records.
    pub fn remove_expired(&mut self, now: Millis) {
        self.records.retain(|_, r| r.expires_at() >= now);
    }

    fn live(&self, fingerprint: u64, now: Millis) -> Option<&Record> {
        self.records.get(&fingerprint).filter(|r| r.expires_at() >= now)
    }

    fn record_mut(&mut self, fingerprint: u64, now: Millis) -> &mut Record {
        if self.records.get(&fingerprint).is_some_and(|r| r.expires_at() < now) {
            self.records.swap_remove(&fingerprint);
        }
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_RECORDS {
            // Suspects are evicted before convicted requests, the oldest first.
            let evicted = self.records.iter().min_by_key(|(_, r)| {
                (r.convicted_until(now).is_some(), r.crashes.len(), r.changed_at)
            });
            if let Some(evicted) = evicted.map(|(fingerprint, _)| *fingerprint) {
                self.records.swap_remove(&evicted);
            }
        }
        self.records.entry(fingerprint).or_insert_with(|| Record::new(now))
    }
}

/// Returns up to `count` of the records as suspects, starting at a random one.
fn draw_suspects(
    records: &[(&u64, &Record)],
    count: usize,
    rng: &mut impl Rng,
    now: Millis,
) -> Vec<ToldSuspect> {
    if records.is_empty() {
        return Vec::new();
    }
    let first = rng.random_range(0..records.len());
    let drawn = records.iter().cycle().skip(first).take(count.min(records.len()));
    drawn.map(|(fingerprint, record)| tell(**fingerprint, record, now)).collect()
}

/// Points that builds without details of crashes give for one.
const POINTS_PER_CRASH: u8 = 2;

fn tell(fingerprint: u64, record: &Record, now: Millis) -> ToldSuspect {
    let crashes = u8::try_from(record.crashes.len()).unwrap_or(u8::MAX);
    let is_recent = now.since(record.changed_at) <= SEND_CHANGES_MS;
    let suspect = Suspect {
        fingerprint,
        crashes: crashes.saturating_mul(POINTS_PER_CRASH),
        // Tells nothing between these processes.
        recent: false,
        confirmed: record.known_until().is_some(),
    };
    let detail = Some(record.to_detail(is_recent, now));
    ToldSuspect { suspect, detail, is_part: record.is_part }
}
