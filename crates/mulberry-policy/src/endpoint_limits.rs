//! Keeps the limits that endpoints name in their responses: how many requests a second each of them takes
//! from all processes together.
//!
//! Each process notes the limits that it sees and tells its peers of changes. For each service, one process
//! gives the permits, the first one by a hash of the service among those that are heard: it alone
//! counts, so that neither the number of processes nor the way callers spread over them matters. Whoever
//! hears only a part of the processes gives that part of the limit.
//!
//! An endpoint whose limit is very low still gets a request now and then, since only its response tells
//! when the limit ends.

use indexmap::IndexMap;

use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::limit::PermitClass;
use mulberry_protocol::limit::PermitDecision;
use mulberry_protocol::limit::SeenLimit;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

use crate::token_bucket::TokenBucket;

/// Fewest permits a second for all processes together, whatever the limit.
pub const MIN_RATE_PER_S: f64 = 0.4;

/// Permits that are saved up while none is asked for, in seconds of the limit, and one more.
pub const BURST_S: f64 = 1.5;

/// One in so many permits may go to an item of a batch job while online requests use the others.
pub const BATCH_INTERVAL: f64 = 20.0;

/// Age of the last response from which an endpoint with a limit is chosen like any other, so that the end
/// of its limit is noticed, in milliseconds.
pub const RENEWAL_AGE_MS: u64 = 2_000;

/// Time for which a change is told to peers, in milliseconds.
const TELL_MS: u64 = 1_000;

/// Time for which the end of a limit is remembered, so that an older report does not bring the limit
/// back, in milliseconds.
const ENDED_TTL_MS: u64 = 10_000;

/// Time for which a process that was heard of but is silent counts as one that may use the limit, in
/// milliseconds.
const SILENT_PEER_TTL_MS: u64 = 600_000;

/// Largest number of endpoints whose limits are kept; the first ones are dropped first.
const MAX_LIMITS: usize = 4_096;

/// Largest number of changes told with one heartbeat.
const MAX_TOLD: usize = 24;

/// What is known of the limit of one endpoint.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    per_s: Option<f64>,
    /// When the endpoint said so.
    seen_at: Millis,
    /// When this process learned of the present value.
    changed_at: Millis,
    /// When the next permit may be had, as last told by who gives them.
    next_at: Millis,
}

/// The permits for one endpoint.
#[derive(Debug)]
struct Permits {
    bucket: TokenBucket,
    rate_per_s: f64,
    last_batch_at: Option<Millis>,
}

impl Permits {
    fn new(rate_per_s: f64, now: Millis) -> Self {
        let burst = burst(rate_per_s);
        let mut bucket = TokenBucket::new(rate_per_s, burst, now);
        // Another process may just have used them up.
        bucket.take(burst, now);
        Self { bucket, rate_per_s, last_batch_at: None }
    }

    fn set_rate(&mut self, rate_per_s: f64, now: Millis) {
        if self.rate_per_s != rate_per_s {
            self.bucket.take(0.0, now);
            self.bucket.set_rate(rate_per_s, burst(rate_per_s));
            self.rate_per_s = rate_per_s;
        }
    }

    /// Takes a permit of the class. Returns the time until one may be had otherwise, in milliseconds.
    fn take(&mut self, class: PermitClass, now: Millis) -> Result<(), u64> {
        if class == PermitClass::Online {
            return match self.bucket.take(1.0, now) {
                true => Ok(()),
                false => Err(self.bucket.wait_ms(1.0, 0.0, now).max(1)),
            };
        }
        let interval_ms = (BATCH_INTERVAL / self.rate_per_s * 1_000.0) as u64;
        let turn_at = self.last_batch_at.map(|at| at + interval_ms);
        let is_turn = turn_at.is_none_or(|at| at <= now);
        let reserve = if is_turn { 0.0 } else { burst(self.rate_per_s) - 1.0 };
        if self.bucket.take_above(1.0, reserve, now) {
            self.last_batch_at = Some(now);
            return Ok(());
        }
        let wait_ms = self.bucket.wait_ms(1.0, reserve, now).max(1);
        Err(turn_at.map_or(wait_ms, |at| wait_ms.min(at.since(now).max(1))))
    }
}

fn burst(rate_per_s: f64) -> f64 {
    1.0 + rate_per_s * BURST_S
}

/// The limits that one process knows, and the permits that it gives.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    known: IndexMap<u64, KnownLimit>,
    permits: IndexMap<u64, Permits>,
}

impl EndpointLimits {
    /// Records what an endpoint said at a time, unless something later is known. Returns whether its
    /// limit has changed.
    pub fn record(
        &mut self,
        endpoint: u64,
        per_s: Option<f64>,
        seen_at: Millis,
        now: Millis,
    ) -> bool {
        let Some(known) = self.known.get_mut(&endpoint) else {
            if per_s.is_none() {
                return false;
            }
            if self.known.len() >= MAX_LIMITS {
                self.known.shift_remove_index(0);
            }
            let limit = KnownLimit { per_s, seen_at, changed_at: now, next_at: now };
            self.known.insert(endpoint, limit);
            return true;
        };
        if seen_at < known.seen_at {
            return false;
        }
        known.seen_at = seen_at;
        let is_changed = known.per_s != per_s;
        if is_changed {
            *known = KnownLimit { per_s, seen_at, changed_at: now, next_at: now };
        }
        if per_s.is_none() {
            self.permits.swap_remove(&endpoint);
        }
        is_changed
    }

    /// Records what a peer tells. Returns what has changed.
    pub fn merge(&mut self, told: &[SeenLimit], now: Millis) -> Vec<SeenLimit> {
        let mut changed = Vec::new();
        for limit in told {
            let seen_at = now - u64::from(limit.seen_ms_ago);
            if self.record(limit.endpoint, limit.per_s, seen_at, now) {
                changed.push(limit.clone());
            }
        }
        changed
    }

    /// Returns the limit of an endpoint, in requests a second, or none if it has none.
    pub fn limit(&self, endpoint: u64) -> Option<f64> {
        self.known.get(&endpoint)?.per_s
    }

    /// Returns the time until a permit for the endpoint may be had, in milliseconds; zero if it has no
    /// limit.
    pub fn wait_ms(&self, endpoint: u64, now: Millis) -> u64 {
        let limited = self.known.get(&endpoint).filter(|k| k.per_s.is_some());
        limited.map_or(0, |k| k.next_at.since(now))
    }

    /// Records how long it takes until a permit for the endpoint may be had.
    pub fn set_wait(&mut self, endpoint: u64, wait_ms: u64, now: Millis) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.next_at = now + wait_ms;
        }
    }

    /// Returns whether an endpoint with a limit is chosen after others: its last response is recent.
    pub fn is_spared(&self, endpoint: u64, now: Millis) -> bool {
        let limited = self.known.get(&endpoint).filter(|k| k.per_s.is_some());
        limited.is_some_and(|k| now.since(k.seen_at) < RENEWAL_AGE_MS)
    }

    /// Returns what is known of an endpoint, to tell a peer.
    pub fn seen(&self, endpoint: u64, now: Millis) -> SeenLimit {
        let known = self.known.get(&endpoint);
        let seen_ms_ago = known.map_or(0, |k| now.since(k.seen_at));
        SeenLimit {
            endpoint,
            per_s: known.and_then(|k| k.per_s),
            seen_ms_ago: u32::try_from(seen_ms_ago).unwrap_or(u32::MAX),
        }
    }

    /// Returns the changes to tell with the next heartbeat, the latest first, and forgets limits that
    /// ended long ago.
    pub fn limits_to_tell(&mut self, now: Millis) -> Vec<SeenLimit> {
        self.known.retain(|_, k| k.per_s.is_some() || now.since(k.seen_at) < ENDED_TTL_MS);
        let recent = self.known.iter().filter(|(_, k)| now.since(k.changed_at) < TELL_MS);
        let mut recent: Vec<(u64, Millis)> = recent.map(|(e, k)| (*e, k.changed_at)).collect();
        recent.sort_by_key(|(_, changed_at)| std::cmp::Reverse(*changed_at));
        recent.truncate(MAX_TOLD);
        recent.into_iter().map(|(endpoint, _)| self.seen(endpoint, now)).collect()
    }

    /// Forgets the endpoints for which `is_registered` returns false.
    pub fn retain(&mut self, is_registered: impl Fn(u64) -> bool) {
        self.known.retain(|endpoint, _| is_registered(*endpoint));
        self.permits.retain(|endpoint, _| is_registered(*endpoint));
    }

    /// Gives a permit for the first of the endpoints that may get a request now. `share` is the part of
    /// the limits that this process may give.
    pub fn decide(
        &mut self,
        endpoints: &[u64],
        class: PermitClass,
        share: f64,
        now: Millis,
    ) -> PermitDecision {
        let mut waits_ms = Vec::with_capacity(endpoints.len());
        for (position, endpoint) in endpoints.iter().enumerate() {
            let Some(limit) = self.limit(*endpoint) else {
                let granted = u8::try_from(position).ok();
                return PermitDecision { granted, waits_ms };
            };
            let rate_per_s = limit.max(MIN_RATE_PER_S) * share;
            let permits =
                self.permits.entry(*endpoint).or_insert_with(|| Permits::new(rate_per_s, now));
            permits.set_rate(rate_per_s, now);
            match permits.take(class, now) {
                Ok(()) => {
                    let granted = u8::try_from(position).ok();
                    return PermitDecision { granted, waits_ms };
                }
                Err(wait_ms) => waits_ms.push(u32::try_from(wait_ms).unwrap_or(u32::MAX)),
            }
        }
        PermitDecision { granted: None, waits_ms }
    }
}

/// An entry other than this process, as this process knows it.
#[derive(Debug, Clone, Copy)]
pub struct OtherEntry<'a> {
    /// Name of the entry.
    pub name: &'a EntryName,
    /// Time since it was last heard or, if it never was, first heard of, in milliseconds.
    pub silent_ms: u64,
    /// Whether it is heard now.
    pub is_heard: bool,
}

impl OtherEntry<'_> {
    /// Returns whether it may use a limit: it is heard, or fell silent not long ago.
    pub fn may_be_in_use(&self) -> bool {
        self.is_heard || self.silent_ms < SILENT_PEER_TTL_MS
    }
}

/// Who gives the permits for a service.
#[derive(Debug, Clone, PartialEq)]
pub enum PermitGiver {
    /// This process, this part of each limit.
    Own {
        /// Part of the limits that it may give.
        share: f64,
    },
    /// The entry with this position among the others.
    Other(usize),
}

/// Returns who gives the permits for a service. `own` is the name of this process if it is an entry;
/// other processes give permits only if they hear no entry.
pub fn permit_giver(
    service: &ServiceName,
    own: Option<&EntryName>,
    others: &[OtherEntry<'_>],
) -> PermitGiver {
    let heard = others.iter().enumerate().filter(|(_, o)| o.is_heard);
    match first_by_hash(service.as_str().as_bytes(), own, heard) {
        Some(position) => PermitGiver::Other(position),
        None => PermitGiver::Own { share: own_share(others) },
    }
}

/// Returns the position of the first entry by a hash of the key among the candidates; none if it is this
/// process, which is one only if `own` names it, or if there are no candidates.
pub fn first_by_hash<'a>(
    key: &[u8],
    own: Option<&EntryName>,
    candidates: impl Iterator<Item = (usize, &'a OtherEntry<'a>)>,
) -> Option<usize> {
    let seed = stable_hash(key, 0);
    let rank = |name: &EntryName| stable_hash(name.as_str().as_bytes(), seed);
    let (position, first) = candidates.max_by_key(|(_, o)| rank(o.name))?;
    let is_own = own.is_some_and(|own| rank(first.name) <= rank(own));
    (!is_own).then_some(position)
}

/// Returns the part of the limits that this process may give if it gives permits: that of the processes
/// that it hears, among those that it knows.
pub fn own_share(others: &[OtherEntry<'_>]) -> f64 {
    let heard = others.iter().filter(|o| o.is_heard).count() + 1;
    let known = others.iter().filter(|o| o.may_be_in_use()).count() + 1;
    heard as f64 / known as f64
}
