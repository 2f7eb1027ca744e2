//! Finds requests that crash endpoints, in deployments where no process sees everything that runs on
//! an endpoint.
//!
//! Each process gives points to a request that it sent when the endpoint ends the connection: two if
//! it refuses the next one too, one if it does not. It tells its peers. The points of three crashes in
//! a row convict the request, which is refused from then on; a completed run clears it. Requests that
//! ran beside it are hit by one of its crashes, but hardly by three.
//!
//! Three other causes must not convict a request. A process whose links fail refuses on its own
//! evidence alone; the others follow once a second process has seen a crash.
//!
//! An endpoint that breaks whatever it is sent is evidence against itself: its next break counts only
//! after it has completed a run.
//!
//! When endpoints of a service crash whatever they run, every request would be a suspect. From the third
//! crash on, one counts only if the service has completed another run since the one before.
//!
//! A conviction ends a fixed time after the crashes that caused it. So that restarts don't prolong
//! it, a process that was only told of it does not tell others.
//!
//! [`crate::suspects`] decides the same where a process beside each endpoint reports its crashes.

mod evidence;
mod record;

use indexmap::IndexMap;
use rand::Rng;

use mulberry_protocol::heartbeat::MAX_SUSPECTS_PER_HEARTBEAT;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

use crate::crash_suspects::evidence::CRASH_POINTS;
use crate::crash_suspects::evidence::EndpointHistory;
use crate::crash_suspects::record::Conviction;
use crate::crash_suspects::record::Observer;
use crate::crash_suspects::record::PeerPoints;
use crate::crash_suspects::record::Record;
use crate::crash_suspects::record::TOLD_TTL_MS;
use crate::suspects::CONFIRMED_TTL_MS;
use crate::suspects::MAX_RECORDS;
use crate::suspects::SEND_CHANGES_MS;
use crate::suspects::SUSPECT_TTL_MS;

pub use evidence::CrashEvidence;
pub use evidence::NotCounted;
pub use evidence::POINTS_TO_CONVICT;
pub use evidence::Run;

/// Points up to which crashes count even if the service completes nothing in between.
const POINTS_WITHOUT_PROOF: u8 = POINTS_TO_CONVICT - CRASH_POINTS;

/// Runs that an item of a batch job may still have once it is convicted. Its acceptance is a promise,
/// so that it gets other chances, spread over the time for which it is kept.
pub const MAX_LATE_ITEM_RUNS: u8 = 3;

/// Most requests that this process convicts. More of them are hardly single requests at fault.
const MAX_CONVICTIONS: usize = 64;

/// Time within which crashes that different processes report count as one, in milliseconds: they may
/// be the loss of several endpoints at the same moment.
const SAME_MOMENT_MS: u64 = 250;

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

/// What a crash or a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Points in a row that are known now.
    pub points: u8,
    /// Whether this process refuses the request from now on and did not before.
    pub newly_refused: bool,
}

/// Whether an item of a batch job may run, given the crashes that it was involved in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemPermission {
    /// The item may run.
    Run,
    /// The item may not run now.
    Wait,
    /// The item may not run any more, and the time for which it is kept is over.
    GiveUp,
}

/// The requests that one process suspects or knows to crash endpoints, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    records: IndexMap<u64, Record>,
    /// When each service last completed a run of this process.
    completed_at: IndexMap<ServiceName, Millis>,
    /// History of each endpoint by load key.
    endpoints: IndexMap<u64, EndpointHistory>,
    /// Incarnation and number of the last heartbeat of each peer that was merged.
    last_merged: IndexMap<EntryName, (u64, u64)>,
}

impl CrashSuspects {
    /// Returns until when the request is refused, or none if it may run.
    pub fn refused_until(&self, fingerprint: u64, now: Millis) -> Option<Millis> {
        self.live(fingerprint, now)?.refused_until(now)
    }

    /// Returns whether the process itself may send the request to another endpoint after a break. One
    /// crash from conviction, that is left to its caller.
    pub fn may_retry(&self, fingerprint: u64, now: Millis) -> bool {
        self.live(fingerprint, now).is_none_or(|r| r.points < POINTS_WITHOUT_PROOF)
    }

    /// Returns whether an item of a batch job may run that is kept until `kept_until`.
    pub fn item_permission(
        &self,
        fingerprint: u64,
        kept_until: Millis,
        now: Millis,
    ) -> ItemPermission {
        let convicted = |r: &&Record| r.points >= POINTS_TO_CONVICT;
        let Some(record) = self.live(fingerprint, now).filter(convicted) else {
            return ItemPermission::Run;
        };
        if now >= kept_until {
            return ItemPermission::GiveUp;
        }
        let late_runs = (record.points - POINTS_TO_CONVICT).div_ceil(CRASH_POINTS);
        let left_runs = MAX_LATE_ITEM_RUNS.saturating_sub(late_runs);
        let pause_ms = kept_until.since(record.last_crash_at) / (u64::from(left_runs) + 1);
        let is_due = left_runs > 0 && now.since(record.last_crash_at) >= pause_ms;
        if is_due { ItemPermission::Run } else { ItemPermission::Wait }
    }

    /// Records that the endpoint ended the connection of a run, and what it did then. Returns why, if
    /// that does not count: a request that was sent before the last known crash may have been hit by
    /// the same loss of several endpoints, and where nothing else completes, the endpoint or the
    /// service may be at fault.
    pub fn record_crash(
        &mut self,
        run: Run<'_>,
        evidence: CrashEvidence,
        now: Millis,
    ) -> Result<CrashVerdict, NotCounted> {
        let Run { fingerprint, service, endpoint, sent_at } = run;
        if !self.endpoints.entry(endpoint).or_default().record_break(sent_at, now) {
            return Err(NotCounted::EndpointAtFault);
        }
        let completed_at = self.completed_at.get(service).copied();
        let convicted_count = self.records.values().filter(|r| r.is_convicted(now)).count();
        let may_convict = convicted_count < MAX_CONVICTIONS;
        let record = self.record_mut(fingerprint, now);
        let was_refused = record.refused_until(now).is_some();
        let is_proven = completed_at.is_some_and(|at| at > record.last_crash_at);
        let is_same_moment = record.points > 0 && sent_at < record.last_crash_at;
        if is_same_moment {
            return Err(NotCounted::SameMoment);
        }
        if record.points >= POINTS_WITHOUT_PROOF && !is_proven {
            return Err(NotCounted::Unproven);
        }
        let points = evidence.points();
        record.is_reported = true;
        record.own_points = record.own_points.saturating_add(points);
        record.add_points(Observer::Own, points, now);
        if may_convict {
            record.convict_if_proven(now);
        }
        let newly_refused = record.refused_until(now).is_some() && !was_refused;
        Ok(CrashVerdict { fingerprint, points: record.points, newly_refused })
    }

    /// Records that the endpoint ran the request to its end, which clears a suspect.
    pub fn record_completed(&mut self, run: Run<'_>, now: Millis) {
        let Run { fingerprint, service, endpoint, .. } = run;
        self.endpoints.entry(endpoint).or_default().completed_at = Some(now);
        match self.completed_at.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.completed_at.insert(service.clone(), now);
            }
        }
        let record = self.records.get_mut(&fingerprint);
        if let Some(record) = record.filter(|r| r.conviction.is_none()) {
            record.clear(now);
        }
    }

    /// Merges the suspects in a peer's heartbeat, unless a later one was merged before. Returns those
    /// that this process refuses from now on.
    pub fn merge(
        &mut self,
        sender: &SuspectSender,
        suspects: &[Suspect],
        now: Millis,
    ) -> Vec<CrashVerdict> {
        let is_late = self.last_merged.get(&sender.name).is_some_and(|(incarnation, sequence)| {
            *incarnation == sender.incarnation && *sequence >= sender.sequence
        });
        if is_late {
            return Vec::new();
        }
        self.last_merged.insert(sender.name.clone(), (sender.incarnation, sender.sequence));
        let merged = suspects.iter().map(|s| self.merge_one(sender, s, now));
        merged.filter(|v| v.newly_refused).collect()
    }

    fn merge_one(
        &mut self,
        sender: &SuspectSender,
        suspect: &Suspect,
        now: Millis,
    ) -> CrashVerdict {
        let fingerprint = suspect.fingerprint;
        let record = self.record_mut(fingerprint, now);
        let was_refused = record.refused_until(now).is_some();
        let known = record.peers.entry(sender.name.clone()).or_default();
        if known.incarnation != sender.incarnation {
            *known = PeerPoints { incarnation: sender.incarnation, points: 0 };
        }
        let rise = suspect.crashes.saturating_sub(known.points);
        let is_cleared = suspect.crashes < known.points && record.conviction.is_none();
        known.points = suspect.crashes;
        if is_cleared {
            record.clear(now);
        }
        if rise > 0 {
            // A process counts its own crashes one after the other. Only the first of them can be of
            // the same moment as one that another process saw.
            let observer = Observer::Peer(sender.name.clone());
            let seen_by_other = record.last_observer.as_ref().is_some_and(|last| *last != observer);
            let is_same_moment = seen_by_other && now.since(record.last_crash_at) < SAME_MOMENT_MS;
            // What one peer has seen often enough, it has proven. Crashes of several peers don't add
            // up to a conviction: each may have seen one of endpoints that crash whatever they run.
            let is_proven = suspect.crashes >= POINTS_TO_CONVICT;
            let unproven = POINTS_WITHOUT_PROOF.saturating_sub(record.points);
            let rise = if is_same_moment { rise.saturating_sub(CRASH_POINTS) } else { rise };
            record.add_points(observer, if is_proven { rise } else { rise.min(unproven) }, now);
        }
        if suspect.confirmed && record.known_until().is_none() {
            record.conviction = Some(Conviction::Told { until: now + TOLD_TTL_MS });
            record.points = record.points.max(POINTS_TO_CONVICT);
        }
        let newly_refused = record.refused_until(now).is_some() && !was_refused;
        CrashVerdict { fingerprint, points: record.points, newly_refused }
    }

    /// Returns the convictions that this process knows at first hand or was told of, each with its
    /// end. One that it was told of has just been found, or is stored already.
    pub fn convictions(&self, now: Millis) -> Vec<(u64, Millis)> {
        let live = self.records.iter().filter(|(_, r)| r.is_convicted(now));
        let convictions = live.map(|(fingerprint, record)| {
            (*fingerprint, record.known_until().unwrap_or(now + CONFIRMED_TTL_MS))
        });
        convictions.collect()
    }

    /// Adds a conviction that is stored and ends at `until`. This process tells its peers from now on.
    pub fn add_conviction(&mut self, fingerprint: u64, until: Millis, now: Millis) {
        let record = self.record_mut(fingerprint, now);
        record.conviction = Some(Conviction::Known { until });
        record.points = record.points.max(POINTS_TO_CONVICT);
    }

    /// Returns what to send to peers with the next heartbeat: what this process saw and what is
    /// convicted. If there is too much for one heartbeat, recently convicted requests and those with
    /// several crashes go before others, and others of each kind are drawn for each heartbeat.
    pub fn suspects_to_send(&self, rng: &mut impl Rng, now: Millis) -> Vec<Suspect> {
        let is_recent = |r: &Record| now.since(r.changed_at) <= SEND_CHANGES_MS;
        let is_known = |r: &Record| r.known_until().is_some_and(|until| until >= now);
        let (urgent, others): (Vec<_>, Vec<_>) = self
            .records
            .iter()
            .filter(|(_, r)| is_known(r) || r.is_reported && is_recent(r))
            .partition(|(_, r)| is_recent(r) && (is_known(r) || r.points > CRASH_POINTS));
        let mut sent = draw_suspects(&urgent, MAX_SUSPECTS_PER_HEARTBEAT, rng);
        sent.extend(draw_suspects(&others, MAX_SUSPECTS_PER_HEARTBEAT - sent.len(), rng));
        sent
    }

    /// Drops expired records, and what is known of endpoints that broke and completed nothing lately.
    pub fn remove_expired(&mut self, now: Millis) {
        let is_recent = |at: Option<Millis>| at.is_some_and(|at| now.since(at) <= SUSPECT_TTL_MS);
        self.endpoints.retain(|_, e| is_recent(e.completed_at) || is_recent(e.broke_at));
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
            let evicted = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.conviction.is_some(), r.points, r.changed_at));
            if let Some(evicted) = evicted.map(|(fingerprint, _)| *fingerprint) {
                self.records.swap_remove(&evicted);
            }
        }
        self.records.entry(fingerprint).or_insert_with(|| Record::new(now))
    }
}

/// Returns up to `count` of the records as suspects, starting at a random one.
fn draw_suspects(records: &[(&u64, &Record)], count: usize, rng: &mut impl Rng) -> Vec<Suspect> {
    if records.is_empty() {
        return Vec::new();
    }
    let first = rng.random_range(0..records.len());
    let drawn = records.iter().cycle().skip(first).take(count.min(records.len()));
    let suspects = drawn.map(|(fingerprint, record)| Suspect {
        fingerprint: **fingerprint,
        crashes: record.own_points,
        // Tells nothing between these processes.
        recent: false,
        confirmed: record.known_until().is_some(),
    });
    suspects.collect()
}
