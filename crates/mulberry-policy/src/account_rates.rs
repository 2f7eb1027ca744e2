//! Keeps the request rates of client accounts at all entries together, without a coordinator.
//!
//! Each entry has a replica of each account's token bucket and drains it by what other entries tell that
//! they have taken. While a bucket is well filled, an entry takes from its replica on its own, so few that
//! all entries together can't exceed the bounds before they hear of it. Otherwise it asks the account's
//! granting entry, whose replica lags only by those few.

use indexmap::IndexMap;

use mulberry_protocol::account_rate::RateDecision;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

use crate::endpoint_limits::OtherEntry;
use crate::endpoint_limits::first_by_hash;
use crate::rate_replica::RateBounds;
use crate::rate_replica::RateLimit;
use crate::rate_replica::RateReplica;
use crate::rate_replica::VIEW_AGE_MS;

/// Part of the allowed excess that entries may use for requests that the others don't know yet. The rest
/// covers what the granting entry admits meanwhile.
const UNKNOWN_PART: f64 = 0.5;

/// Part of the allowed overage by which an entry that does not hear all others exceeds its share, so that
/// the loss of one of many entries costs callers nothing.
const SHARE_OVERAGE: f64 = 0.5;

/// Time without a call after which the process must have been frozen, in milliseconds. It is far longer
/// than the interval of heartbeats, each of which makes a call.
const MAX_PAUSE_MS: u64 = 1_000;

/// Time beyond the interval of heartbeats after which an entry no longer counts as heard, in milliseconds.
/// Until then each side of a partition goes by the whole limit; but entries on small VMs pause for as long.
const MAX_HEARTBEAT_DELAY_MS: u64 = 200;

/// Time for which an entry that has just been found may be asked although it was not heard, in milliseconds. It
/// is the longest interval of heartbeats to entries that are not known to run.
const NEW_ENTRY_MS: u64 = 1_000;

/// Number of replicas from which full ones are dropped. A full one can be created anew at any time.
const MAX_REPLICAS: usize = 4_096;

/// The entries that one entry knows, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetView {
    /// Number of entries that may take requests.
    pub known: usize,
    /// Number of them that were heard lately.
    pub heard: usize,
}

impl FleetView {
    /// Returns the view of an entry, where entries send heartbeats to each other at an interval.
    pub fn new(others: &[OtherEntry<'_>], interval_ms: u64) -> Self {
        let fresh_ms = interval_ms + MAX_HEARTBEAT_DELAY_MS;
        let is_fresh = |o: &&OtherEntry<'_>| o.is_heard && o.silent_ms < fresh_ms;
        let known = others.iter().filter(|o| o.may_be_in_use()).count();
        Self { known: known + 1, heard: others.iter().filter(is_fresh).count() + 1 }
    }

    fn share(self, bounds: RateBounds) -> f64 {
        let part = self.heard as f64 / self.known.max(1) as f64;
        if self.heard >= self.known {
            1.0
        } else {
            part.mul_add(bounds.overage * SHARE_OVERAGE, part).min(1.0)
        }
    }
}

/// Returns the position of the granting entry of an account among the others; none if it is this one.
pub fn granting_entry(
    account: u32,
    own: &EntryName,
    others: &[OtherEntry<'_>],
    is_passed_over: impl Fn(&EntryName) -> bool,
) -> Option<usize> {
    // An entry that has just started does not hear all others yet, but they may hear its questions.
    let is_new = |o: &OtherEntry<'_>| o.silent_ms < NEW_ENTRY_MS;
    let candidates = others.iter().enumerate();
    let candidates =
        candidates.filter(|(_, o)| (o.is_heard || is_new(o)) && !is_passed_over(o.name));
    first_by_hash(&account.to_le_bytes(), Some(own), candidates)
}

/// What an entry that is not the granting one does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unasked {
    /// It has taken the request from its own replica.
    Taken,
    /// It asks the granting entry.
    Ask,
}

/// The replicas of one entry.
#[derive(Debug)]
pub struct AccountRates {
    bounds: RateBounds,
    /// Differs between entries.
    seed: u64,
    /// Since when it has heard all that was taken.
    began_at: Millis,
    /// Time of the last call.
    last_at: Millis,
    share: f64,
    known: usize,
    limits: IndexMap<u32, RateLimit>,
    replicas: IndexMap<u32, RateReplica>,
}

impl AccountRates {
    /// Returns the state of the entry `own` that starts.
    pub fn new(bounds: RateBounds, own: &EntryName, now: Millis) -> Self {
        Self {
            bounds,
            seed: stable_hash(own.as_str().as_bytes(), 0),
            began_at: now,
            last_at: now,
            share: 1.0,
            known: 1,
            limits: IndexMap::new(),
            replicas: IndexMap::new(),
        }
    }

    /// Applies the limits of a configuration, by account. Known buckets keep their level.
    pub fn set_limits(&mut self, limits: IndexMap<u32, RateLimit>, now: Millis) {
        self.replicas.retain(|account, _| limits.contains_key(account));
        for (account, replica) in &mut self.replicas {
            if let Some(limit) = limits.get(account).filter(|l| **l != replica.limit()) {
                replica.set_limit(*limit, now);
            }
        }
        self.limits = limits;
    }

    /// Returns whether the account's rate is limited.
    pub fn is_limited(&self, account: u32) -> bool {
        self.limits.contains_key(&account)
    }

    /// Records which entries are heard. Called with each heartbeat that is sent, and before decisions.
    pub fn observe(&mut self, view: FleetView, now: Millis) {
        let pause_ms = now.since(self.last_at);
        self.last_at = self.last_at.max(now);
        if pause_ms > MAX_PAUSE_MS {
            self.began_at = now;
            let bounds = self.bounds;
            let resume = |r: &mut RateReplica| r.resume(bounds.excess(r.limit()), now);
            self.replicas.values_mut().for_each(resume);
        }
        let share = view.share(self.bounds);
        self.known = view.known;
        if share != self.share {
            self.share = share;
            self.replicas.values_mut().for_each(|r| r.set_share(share, now));
        }
    }

    /// Decides about a request of which another entry is the granting one.
    pub fn take_unasked(&mut self, account: u32, now: Millis) -> Unasked {
        let max_unknown = self.max_unknown(account);
        let is_informed = now.since(self.began_at) >= VIEW_AGE_MS;
        let replica = self.replica(account, now);
        match replica.is_none_or(|r| is_informed && r.take_unasked(max_unknown, now)) {
            true => Unasked::Taken,
            false => Unasked::Ask,
        }
    }

    /// Decides as the granting entry.
    pub fn decide(&mut self, account: u32, now: Millis) -> RateDecision {
        let max_ms = self.bounds.window_ms;
        let unknown = self.unknown_elsewhere(account);
        match self.replica(account, now) {
            Some(replica) => match replica.take(now) {
                true => RateDecision::Granted,
                false => refuse(replica, unknown, 0, max_ms, now),
            },
            None => RateDecision::Granted,
        }
    }

    /// Decides about a request of which no granting entry answers. Until it shows which entries are not
    /// heard, each may admit as few as it may without asking.
    pub fn decide_alone(&mut self, account: u32, now: Millis) -> RateDecision {
        let max_ms = self.bounds.window_ms;
        let unknown = self.unknown_elsewhere(account);
        let max_unknown = self.max_unknown(account);
        match self.replica(account, now) {
            Some(replica) => {
                // Soon it shows who is not heard, or the others know what was taken.
                let min_ms = if replica.is_known(max_unknown, now) { 0 } else { VIEW_AGE_MS };
                match replica.take_alone(max_unknown, now) {
                    true => RateDecision::Granted,
                    false => refuse(replica, unknown, min_ms, max_ms, now),
                }
            }
            None => RateDecision::Granted,
        }
    }

    /// Counts requests that another entry has taken or, if negative, given back.
    pub fn record_taken(&mut self, account: u32, requests: i32, now: Millis) {
        let window_s = self.bounds.window_ms as f64 / 1_000.0;
        if let Some(replica) = self.replica(account, now) {
            // Bounds the harm of a count that is wrong.
            let max_debt = replica.limit().per_s * window_s + replica.limit().burst;
            replica.record_taken(requests, max_debt, now);
        }
    }

    /// Puts a request back that did not run.
    pub fn give_back(&mut self, account: u32, now: Millis) {
        if let Some(replica) = self.replica(account, now) {
            replica.give_back(now);
        }
    }

    /// Returns how many requests all entries may have taken without the others knowing.
    fn all_unknown(&self, account: u32) -> f64 {
        let Some(limit) = self.limits.get(&account) else { return 0.0 };
        (0.5 * limit.burst).min(UNKNOWN_PART * self.bounds.excess(*limit))
    }

    /// Returns how many requests the other entries may have taken without this one knowing.
    fn unknown_elsewhere(&self, account: u32) -> f64 {
        self.all_unknown(account) * (1.0 - 1.0 / self.known as f64)
    }

    /// Returns how many requests this entry may have taken without the others knowing.
    fn max_unknown(&self, account: u32) -> f64 {
        let each = self.all_unknown(account) / self.known as f64;
        // Where it is a part of a request, as many entries may take one as make up the sum.
        let rank = stable_hash(&account.to_le_bytes(), self.seed) as f64 / u64::MAX as f64;
        if rank < each.fract() { each.ceil() } else { each.floor() }
    }

    fn replica(&mut self, account: u32, now: Millis) -> Option<&mut RateReplica> {
        let limit = *self.limits.get(&account)?;
        if self.replicas.len() >= MAX_REPLICAS && !self.replicas.contains_key(&account) {
            self.replicas.retain(|_, r| !r.is_full(now));
        }
        let (share, bounds, began_at) = (self.share, self.bounds, self.began_at);
        Some(self.replicas.entry(account).or_insert_with(|| {
            // Nothing was taken since this entry began to listen.
            let filled = limit.per_s * now.since(began_at) as f64 / 1_000.0;
            let level = (bounds.excess(limit) + filled).min(limit.burst);
            RateReplica::new(limit, level, share, now)
        }))
    }
}

fn refuse(
    replica: &mut RateReplica,
    unknown: f64,
    min_ms: u64,
    max_ms: u64,
    now: Millis,
) -> RateDecision {
    let wait_ms = replica.next_place_ms(unknown, max_ms, now).max(min_ms);
    RateDecision::Refused { wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX) }
}
