//! What one process knows of one request.

use mulberry_protocol::peer::SuspectDetail;
use mulberry_protocol::time::Millis;

use crate::crash_suspects::CRASHES_TO_CONVICT;
use crate::crash_suspects::crash::Crash;
use crate::crash_suspects::crash::ms_ago;
use crate::suspects::CONFIRMED_TTL_MS;
use crate::suspects::SUSPECT_TTL_MS;

/// Crashes that convict a request at once, however unclear the evidence of each.
const MAX_UNCLEAR_CRASHES: usize = 6;

/// Time after the send that crashed the third endpoint for which a request with unclear evidence
/// still runs freely, in milliseconds. A spoilt response is then often followed by a good one.
const GRACE_MS: u64 = 2_000;

/// Time after the send that crashed the third endpoint for which requests with a part still run freely,
/// in milliseconds. Sound ones with it complete meanwhile.
const PART_GRACE_MS: u64 = 1_000;

/// Time within which crashes under a part are of one episode, in milliseconds: endpoints that end at the
/// same moment may have another cause.
const EPISODE_MS: u64 = 500;

/// Crashes of a part that are told at a time, those that begin an episode first.
const TOLD_PART_CRASHES: usize = 7;

/// Time after a completed run for which a part counts as sound though its service completes requests
/// without it between its crashes, in milliseconds. As long as the service does not, the part counts as
/// sound for good: endpoints may crash whatever they run.
pub(super) const KNOWN_SOUND_MS: u64 = 60_000;

/// Most crashes of one request that are kept; later ones replace the last.
const MAX_CRASHES: usize = 8;

/// The same of one part.
const MAX_PART_CRASHES: usize = 16;

/// Time for which a process that was told of a conviction refuses the request, unless it is told
/// again, in milliseconds.
const TOLD_TTL_MS: u64 = SUSPECT_TTL_MS;

/// Time after a completed run for which peers may still tell of the conviction before it, in
/// milliseconds.
const STALE_TELLING_MS: u64 = 10_000;

/// Where a process has a conviction from that does not follow from the crashes that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConvictionSource {
    /// The store.
    Store,
    /// A peer.
    Peer,
}

/// A conviction that does not follow from the crashes that this process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Conviction {
    pub(super) source: ConvictionSource,
    /// When this process first heard of it.
    pub(super) since: Millis,
    pub(super) until: Millis,
}

/// What is known of one request, or of one part of prompts.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) is_part: bool,
    /// Crashes in a row, the oldest first, from all processes.
    pub(super) crashes: Vec<Crash>,
    /// Whether the service completed another request between two of them.
    pub(super) is_proven: bool,
    /// When the request last completed somewhere.
    pub(super) completed_at: Option<Millis>,
    pub(super) conviction: Option<Conviction>,
    /// Runs that were claimed since the conviction, and when the last of them began.
    pub(super) trials: u8,
    pub(super) last_trial_at: Option<Millis>,
    pub(super) changed_at: Millis,
}

impl Record {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            is_part: false,
            crashes: Vec::new(),
            is_proven: false,
            completed_at: None,
            conviction: None,
            trials: 0,
            last_trial_at: None,
            changed_at: now,
        }
    }

    pub(super) fn expires_at(&self) -> Millis {
        let ttl_ms = if self.crashes.is_empty() { SUSPECT_TTL_MS } else { CONFIRMED_TTL_MS };
        let known_until = self.changed_at + ttl_ms;
        self.conviction.map_or(known_until, |c| c.until.max(known_until))
    }

    /// Returns until when the request runs only with a claim, or none if it runs freely.
    pub(super) fn convicted_until(&self, now: Millis) -> Option<Millis> {
        let told = self.conviction.map(|c| c.until);
        let last_crash_at = self.crashes.last().map(|c| c.at).filter(|_| self.is_convicting(now));
        let counted = last_crash_at.map(|at| at + CONFIRMED_TTL_MS);
        told.max(counted).filter(|until| *until >= now)
    }

    /// Returns whether the request is convicted now, or will be without another crash.
    pub(super) fn will_be_convicted(&self, now: Millis) -> bool {
        let is_sound = self.is_part && self.is_known_sound(now);
        self.has_convicting_crashes() && !is_sound || self.convicted_until(now).is_some()
    }

    /// Returns whether the known crashes convict the request.
    fn is_convicting(&self, now: Millis) -> bool {
        if self.is_part {
            let Some(last_to_convict) = self.episodes().nth(CRASHES_TO_CONVICT - 1) else {
                return false;
            };
            let grace_ms = if self.has_clear_evidence() { PART_GRACE_MS } else { GRACE_MS };
            return !self.is_known_sound(now) && now.since(last_to_convict.sent_at) >= grace_ms;
        }
        let Some(last_to_convict) = self.crashes.get(CRASHES_TO_CONVICT - 1) else { return false };
        self.has_clear_evidence()
            || self.crashes.len() >= MAX_UNCLEAR_CRASHES
            || now.since(last_to_convict.sent_at) >= GRACE_MS
    }

    /// Returns whether a request with the part has completed, and nothing speaks against it since.
    fn is_known_sound(&self, now: Millis) -> bool {
        self.completed_at.is_some_and(|at| !self.is_proven || now.since(at) < KNOWN_SOUND_MS)
    }

    /// Returns whether this is a part under which endpoints crashed and with which nothing completes.
    pub(super) fn is_suspect_part(&self, now: Millis) -> bool {
        self.is_part && !self.crashes.is_empty() && !self.is_known_sound(now)
    }

    /// Returns the crash that begins each episode.
    pub(super) fn episodes(&self) -> impl Iterator<Item = &Crash> {
        let mut last_began: Option<Millis> = None;
        self.crashes.iter().filter(move |crash| {
            let is_new = last_began.is_none_or(|at| crash.at.since(at) >= EPISODE_MS);
            if is_new {
                last_began = Some(crash.at);
            }
            is_new
        })
    }

    /// Returns whether endpoints refused connections often enough after it.
    fn has_clear_evidence(&self) -> bool {
        self.refused_crashes() >= CRASHES_TO_CONVICT
    }

    /// Returns after how many of the crashes the endpoint refused connections.
    pub(super) fn refused_crashes(&self) -> usize {
        self.crashes.iter().filter(|c| c.is_refused).count()
    }

    /// Returns whether the request itself is the likeliest cause of its crashes, and no single
    /// endpoint.
    pub(super) fn is_likely_cause(&self) -> bool {
        let first = self.crashes.first().map(|c| c.endpoint);
        let has_several = self.crashes.iter().any(|c| Some(c.endpoint) != first);
        self.is_proven && self.has_clear_evidence() && has_several
    }

    /// Returns when the request last ran, as far as is known.
    pub(super) fn last_run_at(&self) -> Millis {
        let last_crash_at = self.crashes.last().map(|c| c.at);
        last_crash_at.max(self.last_trial_at).unwrap_or_default()
    }

    /// Returns until when the conviction holds, if this process read it from the store.
    pub(super) fn known_until(&self) -> Option<Millis> {
        let stored = self.conviction.filter(|c| c.source == ConvictionSource::Store);
        stored.map(|c| c.until)
    }

    fn has_convicting_crashes(&self) -> bool {
        let count = if self.is_part { self.episodes().count() } else { self.crashes.len() };
        count >= CRASHES_TO_CONVICT
    }

    /// Adds a crash. Returns false if it is known already, or came before a completed run. Up to the
    /// third one, breaks at an endpoint that may still be down are of the same crash.
    pub(super) fn add_crash(&mut self, crash: Crash, now: Millis) -> bool {
        let is_cleared = self.completed_at.is_some_and(|at| crash.at <= at);
        let is_same =
            if self.has_convicting_crashes() { Crash::is_same_telling } else { Crash::is_same };
        if is_cleared || self.crashes.iter().any(|c| is_same(c, &crash)) {
            return false;
        }
        if self.is_part && self.crashes.len() >= MAX_PART_CRASHES {
            self.drop_from_episode();
        } else if !self.is_part && self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop();
        }
        let index = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(index, crash);
        self.changed_at = now;
        true
    }

    /// Drops the last crash that begins no episode, or the last one.
    fn drop_from_episode(&mut self) {
        let beginnings: Vec<Crash> = self.episodes().copied().collect();
        let dropped = self.crashes.iter().rposition(|c| !beginnings.contains(c));
        self.crashes.remove(dropped.unwrap_or(self.crashes.len() - 1));
    }

    /// Records that the request completed at this time: what was known of it before is void.
    pub(super) fn void_before(&mut self, completed_at: Millis, now: Millis) {
        self.completed_at = self.completed_at.max(Some(completed_at));
        let has_crashed = self.crashes.iter().any(|c| c.at <= completed_at);
        let was_tried = self.last_trial_at.is_some_and(|at| at <= completed_at);
        let was_convicted = self.conviction.is_some_and(|c| c.since <= completed_at);
        if has_crashed {
            self.crashes.retain(|c| c.at > completed_at);
            self.is_proven = false;
        }
        if was_tried {
            self.trials = 0;
            self.last_trial_at = None;
        }
        if was_convicted {
            self.conviction = None;
        }
        if has_crashed || was_tried || was_convicted {
            self.changed_at = now;
        }
    }

    /// Records a conviction that is in the store.
    pub(super) fn store_conviction(&mut self, until: Millis, now: Millis) {
        let source = ConvictionSource::Store;
        self.conviction = Some(Conviction { source, since: now, until });
    }

    /// Records that a peer said that the request is convicted. Ignored if it has just completed: the
    /// peer may not know that.
    pub(super) fn tell_conviction(&mut self, now: Millis) {
        self.hear_conviction(now + TOLD_TTL_MS, now);
    }

    /// Records that another process convicted the request until this time.
    pub(super) fn hear_conviction(&mut self, until: Millis, now: Millis) {
        let has_just_completed =
            self.completed_at.is_some_and(|at| now.since(at) < STALE_TELLING_MS);
        if has_just_completed || self.known_until().is_some() {
            return;
        }
        let since = self.conviction.map_or(now, |c| c.since);
        let source = ConvictionSource::Peer;
        let until = self.conviction.map_or(until, |c| c.until.max(until));
        self.conviction = Some(Conviction { source, since, until });
        if self.crashes.is_empty() {
            // Its last run is not known. The pause before the next one begins now.
            self.last_trial_at.get_or_insert(now);
        }
    }

    /// Takes over what a peer knows of trials.
    pub(super) fn merge_trials(&mut self, detail: &SuspectDetail, now: Millis) {
        let Some(began_ms_ago) = detail.last_trial_ms_ago else { return };
        let began_at = now - u64::from(began_ms_ago);
        if self.completed_at.is_some_and(|at| began_at <= at) {
            return;
        }
        self.trials = self.trials.max(detail.trials);
        self.last_trial_at = self.last_trial_at.max(Some(began_at));
    }

    /// Returns whether there is more to tell than that others told of a conviction.
    pub(super) fn has_evidence(&self) -> bool {
        !self.crashes.is_empty() || self.trials > 0 || self.completed_at.is_some()
    }

    /// Returns the crashes that convict a request, and the last one.
    fn told_crashes(&self) -> Vec<&Crash> {
        let (first, others) = self.crashes.split_at(self.crashes.len().min(CRASHES_TO_CONVICT));
        first.iter().chain(others.last()).collect()
    }

    /// Returns the crashes of a part that peers are told, in their order.
    fn told_part_crashes(&self) -> Vec<&Crash> {
        let beginnings: Vec<&Crash> = self.episodes().collect();
        let others = self.crashes.iter().filter(|c| !beginnings.contains(c));
        let all = beginnings.iter().copied().chain(others);
        let mut told: Vec<&Crash> = all.take(TOLD_PART_CRASHES).collect();
        told.sort_by_key(|c| c.at);
        told
    }

    /// Returns what peers are told besides the conviction. That says enough once the crashes are not
    /// recent any more.
    pub(super) fn to_detail(&self, with_crashes: bool, now: Millis) -> SuspectDetail {
        let told = if self.is_part { self.told_part_crashes() } else { self.told_crashes() };
        // Whoever reads what is published has read these too, with better times.
        let told = told.into_iter().filter(|c| with_crashes && !c.is_rough);
        SuspectDetail {
            crashes: told.map(|c| c.to_seen(now)).collect(),
            is_proven: self.is_proven,
            completed_ms_ago: self.completed_at.map(|at| ms_ago(at, now)),
            trials: self.trials,
            last_trial_ms_ago: self.last_trial_at.map(|at| ms_ago(at, now)),
        }
    }
}
