//! One entry's replica of a client account's token bucket.
//!
//! The bucket holds what all entries together may still take. What other entries take is drained when their
//! heartbeats tell it, so that the level may fall below zero for a while.

use std::collections::VecDeque;

use mulberry_protocol::time::Millis;

/// Time within which what an entry takes is known to the others, in milliseconds.
pub const VIEW_AGE_MS: u64 = 400;

/// Time within which a share that fell and rises again counts as not having changed, in milliseconds.
const RESTORE_MS: u64 = 1_000;

/// Time within which an entry notices that others are not heard, in milliseconds.
const NOTICE_MS: u64 = 1_000;

/// Share down to which what was taken before the fall was noticed is covered by the allowed overage. Heartbeats of
/// a few entries are lost now and then.
const COVERED_SHARE: f64 = 0.95;

/// Width of the spans by which recent amounts are summed up, in milliseconds.
const SPAN_MS: u64 = 50;

/// The rate of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in requests a second.
    pub per_s: f64,
    /// Requests that may exceed it at once.
    pub burst: f64,
}

impl RateLimit {
    /// Returns a limit. A burst below one would admit no request at all.
    pub fn new(per_s: f64, burst: f64) -> Self {
        Self { per_s, burst: burst.max(1.0) }
    }
}

/// What may go beyond a rate in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBounds {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Share of a limit by which it may be exceeded.
    pub overage: f64,
    /// Number of requests by which it may be exceeded besides.
    pub slack: f64,
}

impl RateBounds {
    /// Returns the number of requests in a window by which the limit may be exceeded.
    pub fn excess(&self, limit: RateLimit) -> f64 {
        let window_s = self.window_ms as f64 / 1_000.0;
        self.overage * (limit.per_s * window_s + limit.burst) + self.slack
    }
}

/// The sum of the amounts of the last `span_ms`.
#[derive(Debug)]
struct RecentSum {
    span_ms: u64,
    spans: VecDeque<(Millis, f64)>,
    sum: f64,
}

impl RecentSum {
    fn new(span_ms: u64) -> Self {
        Self { span_ms, spans: VecDeque::new(), sum: 0.0 }
    }

    fn add(&mut self, amount: f64, now: Millis) {
        self.expire(now);
        self.sum += amount;
        match self.spans.back_mut() {
            Some((at, sum)) if now.since(*at) < SPAN_MS => *sum += amount,
            Some(_) | None => self.spans.push_back((now, amount)),
        }
    }

    fn sum(&mut self, now: Millis) -> f64 {
        self.expire(now);
        self.sum
    }

    /// Removes an amount, the latest first.
    fn remove(&mut self, amount: f64) {
        let mut left = amount;
        while left > 0.0 {
            let Some((_, sum)) = self.spans.back_mut() else { break };
            let part = left.min(*sum);
            *sum -= part;
            left -= part;
            self.sum -= part;
            if *sum <= 0.0 {
                self.spans.pop_back();
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, sum)) = self.spans.front().copied() {
            if now.since(at) < self.span_ms {
                return;
            }
            self.sum -= sum;
            self.spans.pop_front();
        }
        self.sum = 0.0;
    }
}

/// The replica of one account's bucket.
#[derive(Debug)]
pub struct RateReplica {
    limit: RateLimit,
    /// Part of the limit that this entry goes by.
    share: f64,
    level: f64,
    filled_at: Millis,
    /// Requests by which the bucket lately ran over.
    overflow: RecentSum,
    /// Requests that this entry has taken.
    taken: RecentSum,
    /// Those of them taken without asking the granting entry.
    unasked: RecentSum,
    /// What falls of the share took away, by how much it fell, and when.
    withheld: f64,
    withheld_share: f64,
    withheld_at: Millis,
    /// Since when the level is below half of the burst, if it is.
    low_since: Option<Millis>,
    /// The latest time at which a refused caller was told to return, in milliseconds.
    last_place_ms: f64,
}

impl RateReplica {
    /// Returns a replica with a level.
    pub fn new(limit: RateLimit, level: f64, share: f64, now: Millis) -> Self {
        let mut replica = Self {
            limit,
            share,
            level: 0.0,
            filled_at: now,
            overflow: RecentSum::new(VIEW_AGE_MS),
            taken: RecentSum::new(NOTICE_MS),
            unasked: RecentSum::new(VIEW_AGE_MS),
            withheld: 0.0,
            withheld_share: 0.0,
            withheld_at: now,
            low_since: None,
            last_place_ms: 0.0,
        };
        replica.level = (level * share).min(replica.cap());
        replica
    }

    /// Returns the limit that it keeps.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Changes the limit. The level is kept, up to the new burst.
    pub fn set_limit(&mut self, limit: RateLimit, now: Millis) {
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(self.cap());
        self.last_place_ms = 0.0;
    }

    /// Changes the part of the limit that this entry goes by. A smaller part takes the level down with it,
    /// since other entries that this one does not hear use the rest.
    pub fn set_share(&mut self, share: f64, now: Millis) {
        self.fill(now);
        // What was taken while the fall went unnoticed was taken from the larger part.
        let unnoticed = if share < COVERED_SHARE { self.taken.sum(now) } else { 0.0 };
        let whole = (self.level + unnoticed).max(0.0);
        if share < self.share {
            let lost = whole * (1.0 - share / self.share);
            self.level -= lost;
            self.withheld += lost;
            self.withheld_share += self.share - share;
            self.withheld_at = now;
        } else if share > self.share {
            if now.since(self.withheld_at) < RESTORE_MS && self.withheld_share > 0.0 {
                let part = ((share - self.share) / self.withheld_share).min(1.0);
                self.level += self.withheld * part;
            }
            self.forget_withheld();
        }
        self.share = share;
        self.level = self.level.min(self.cap());
    }

    /// Goes on after a time of which nothing is known. The bucket is not filled for it.
    pub fn resume(&mut self, max_level: f64, now: Millis) {
        self.filled_at = now;
        self.level = self.level.min(max_level);
        self.forget_withheld();
    }

    fn forget_withheld(&mut self) {
        self.withheld = 0.0;
        self.withheld_share = 0.0;
    }

    /// Takes a request. Returns whether the level allowed it.
    pub fn take(&mut self, now: Millis) -> bool {
        self.fill(now);
        // The tolerance absorbs rounding errors of the level.
        let is_allowed = self.level + 1e-6 >= 1.0;
        if is_allowed {
            self.level -= 1.0;
            self.record_low(now);
            self.taken.add(1.0, now);
        }
        is_allowed
    }

    /// Takes a request without asking the granting entry, if more than half of the burst is left and the
    /// others know all but `max_unknown` of such requests. Returns whether it did.
    pub fn take_unasked(&mut self, max_unknown: f64, now: Millis) -> bool {
        self.fill(now);
        let is_allowed = self.level > 0.5 * self.cap() && self.is_known(max_unknown, now);
        is_allowed && self.take_alone(max_unknown, now)
    }

    /// Takes a request although the granting entry doesn't answer, if the others know all but
    /// `max_unknown` of such requests. Returns whether it did.
    pub fn take_alone(&mut self, max_unknown: f64, now: Millis) -> bool {
        let is_taken = self.is_known(max_unknown, now) && self.take(now);
        if is_taken {
            self.unasked.add(1.0, now);
        }
        is_taken
    }

    /// Returns whether the others know all but `max_unknown` requests taken without asking, this one included.
    pub fn is_known(&mut self, max_unknown: f64, now: Millis) -> bool {
        self.unasked.sum(now) + 1.0 <= max_unknown
    }

    /// Counts requests that another entry has taken or, if negative, given back.
    pub fn record_taken(&mut self, requests: i32, max_debt: f64, now: Millis) {
        self.fill(now);
        let requests = f64::from(requests);
        // They were taken a while ago: what has run over since then would have been needed for them.
        let covered = self.overflow.sum(now).min(requests).max(0.0);
        self.overflow.remove(covered);
        self.level = (self.level - requests + covered).clamp(-max_debt, self.cap());
        self.record_low(now);
    }

    /// Puts a request back that did not run.
    pub fn give_back(&mut self, now: Millis) {
        self.fill(now);
        self.level = (self.level + 1.0).min(self.cap());
    }

    /// Returns the time after which a refused caller may return, in milliseconds. Callers are given
    /// successive times up to `max_ms`, so that the rate admits each of them. `unknown` is the number of
    /// requests that other entries may take without asking before this one knows.
    pub fn next_place_ms(&mut self, unknown: f64, max_ms: u64, now: Millis) -> u64 {
        self.fill(now);
        // Others stop to take without asking as soon as they know that the level is low.
        let is_known = self.low_since.is_some_and(|since| now.since(since) >= VIEW_AGE_MS);
        let level = if is_known { self.level } else { self.level - unknown };
        let interval_ms = 1_000.0 / (self.limit.per_s * self.share);
        let now_ms = now.0 as f64;
        let first = now_ms + (1.0 - level).max(0.0) * interval_ms;
        let next = (self.last_place_ms + interval_ms).min(now_ms + max_ms as f64);
        self.last_place_ms = first.max(next);
        (self.last_place_ms - now_ms).ceil().max(1.0) as u64
    }

    /// Returns whether the bucket is full.
    pub fn is_full(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.level >= self.cap()
    }

    /// The share of a burst may be less than a request, which would admit none.
    fn cap(&self) -> f64 {
        (self.limit.burst * self.share).max(1.0)
    }

    fn record_low(&mut self, now: Millis) {
        match self.level > 0.5 * self.cap() {
            true => self.low_since = None,
            false => drop(self.low_since.get_or_insert(now)),
        }
    }

    fn fill(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.filled_at);
        if elapsed_ms == 0 {
            return;
        }
        self.filled_at = now;
        let per_ms = self.limit.per_s * self.share / 1_000.0;
        let level = self.level + elapsed_ms as f64 * per_ms;
        self.level = level.min(self.cap());
        let overflow = (level - self.level).min(VIEW_AGE_MS as f64 * per_ms);
        if overflow > 0.0 {
            self.overflow.add(overflow, now);
        }
        self.record_low(now);
        if self.low_since.is_none() {
            // The callers that were told to return later have not come.
            self.last_place_ms = 0.0;
        }
    }
}
