//! The requests of one service that wait at an entry, and whether one more can still be served.
//!
//! The endpoints are handed few requests beyond those that they run. The others wait at the entries, in
//! the order of the latest time at which each must begin to be answered while its caller waits. So a caller
//! in a hurry passes those who have time, and nobody is refused who can be served.
//!
//! What can't be served is refused at once. A line in which every request can just begin in time has no
//! room for one more, whoever sends it: one with more time would take the place that those with less time
//! need later on. Near that point requests are therefore refused by chance, whatever the time that their
//! callers have left. As the chance is the same for all, so is the part of them that is served.

use std::collections::BTreeMap;

use rand::Rng;

use mulberry_protocol::peer::WAITING_BOUNDS_MS;
use mulberry_protocol::peer::WaitingCounts;
use mulberry_protocol::time::Millis;

/// How far a line is filled, relative to the point at which nothing more fits, when the first requests are
/// refused by chance. What is left is for requests that other entries took unseen and for longer runs.
const REFUSE_FROM: f64 = 0.85;

/// Part of a run below which the time until a latest start says nothing of how far the line is filled: one
/// request that must begin at once is not a full line.
const SEEN_RUNS: f64 = 0.5;

/// What the endpoints of a service do, and what they have to do already.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Mean time of a run, in milliseconds.
    pub run_ms: f64,
    /// Requests that the endpoints run at once; one that takes twice as long counts half.
    pub slots: f64,
    /// Online requests that they have, running and queued there.
    pub in_flight: f64,
}

impl Capacity {
    /// Returns the time until the last of so many requests begins, in milliseconds.
    pub fn wait_ms(&self, requests: f64) -> f64 {
        let behind = (self.in_flight + requests - self.slots).max(0.0);
        behind * self.run_ms / self.slots.max(f64::MIN_POSITIVE)
    }
}

/// What other entries have waiting, by the time that is left until the latest start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ElsewhereCounts {
    counts: [f64; WAITING_BOUNDS_MS.len()],
}

impl ElsewhereCounts {
    /// Adds what one entry has reported.
    pub fn add(&mut self, counts: &WaitingCounts) {
        self.counts.iter_mut().zip(counts).for_each(|(sum, count)| *sum += f64::from(*count));
    }

    /// Returns the number of requests.
    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Returns how many requests must begin within this time, in milliseconds.
    fn within(&self, left_ms: f64) -> f64 {
        let part = |i: usize| {
            let from = if i == 0 { 0.0 } else { WAITING_BOUNDS_MS[i - 1] as f64 };
            ((left_ms - from) / (WAITING_BOUNDS_MS[i] as f64 - from)).clamp(0.0, 1.0)
        };
        (0..self.counts.len()).map(|i| self.counts[i] * part(i)).sum()
    }

    /// Returns the times, in milliseconds, by which the reported requests must have begun.
    fn bounds(&self) -> impl Iterator<Item = f64> {
        let filled = self.counts.iter().zip(WAITING_BOUNDS_MS).filter(|(count, _)| **count > 0.0);
        filled.map(|(_, bound)| bound as f64)
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LineRefusal {
    /// It could not begin in time behind those that must begin before it.
    TooLate {
        /// Time until it would begin, in milliseconds.
        wait_ms: u64,
    },
    /// The line is nearly full, and the chance went against it.
    Full {
        /// How far the line is filled; nothing more fits at one.
        filled: f64,
    },
}

/// Place of a waiting request: the latest time at which it must begin, and the order of arrival.
pub type Place = (Millis, u64);

/// The requests of one service that wait at this entry.
#[derive(Debug)]
pub struct WaitingLine<T> {
    waiting: BTreeMap<Place, T>,
    next_number: u64,
}

impl<T> Default for WaitingLine<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_number: 0 }
    }
}

impl<T> WaitingLine<T> {
    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns why a request that must begin by `start_by` is not taken into the line, if it isn't.
    pub fn refusal(
        &self,
        start_by: Millis,
        capacity: Capacity,
        elsewhere: &ElsewhereCounts,
        rng: &mut impl Rng,
        now: Millis,
    ) -> Option<LineRefusal> {
        let left_ms = start_by.since(now) as f64;
        let before = self.waiting.range(..(start_by, u64::MAX)).count() as f64;
        let wait_ms = capacity.wait_ms(before + elsewhere.within(left_ms) + 1.0);
        if wait_ms > left_ms {
            return Some(LineRefusal::TooLate { wait_ms: wait_ms as u64 });
        }
        let filled = self.filled(start_by, capacity, elsewhere, now);
        let chance = (filled - REFUSE_FROM) / (1.0 - REFUSE_FROM);
        (rng.random::<f64>() < chance).then_some(LineRefusal::Full { filled })
    }

    /// Returns how far the line is filled with one more request: the longest wait relative to the time in
    /// which it must be over.
    fn filled(
        &self,
        start_by: Millis,
        capacity: Capacity,
        elsewhere: &ElsewhereCounts,
        now: Millis,
    ) -> f64 {
        let part = |requests: f64, left_ms: f64| {
            let wait_ms = capacity.wait_ms(requests + elsewhere.within(left_ms) + 1.0);
            wait_ms / left_ms.max(capacity.run_ms * SEEN_RUNS)
        };
        let left_ms = |at: Millis| at.since(now) as f64;
        let own = self.waiting.keys().enumerate();
        let own = own.map(|(i, (at, _))| part((i + 1) as f64, left_ms(*at)));
        let before = |left_ms: f64| {
            let until = now + left_ms as u64;
            self.waiting.range(..=(until, u64::MAX)).count() as f64
        };
        let bounds = elsewhere.bounds().chain([left_ms(start_by)]);
        own.chain(bounds.map(|bound| part(before(bound), bound))).fold(0.0, f64::max)
    }

    /// Adds a request that must begin by `start_by`.
    pub fn join(&mut self, start_by: Millis, request: T) -> Place {
        self.next_number += 1;
        let place = (start_by, self.next_number);
        self.waiting.insert(place, request);
        place
    }

    /// Takes a request out of the line.
    pub fn leave(&mut self, place: Place) -> Option<T> {
        self.waiting.remove(&place)
    }

    /// Returns the request whose turn it is.
    pub fn first(&self) -> Option<(Place, &T)> {
        self.waiting.first_key_value().map(|(place, request)| (*place, request))
    }

    /// Returns what waits, to report it to the other entries.
    pub fn counts(&self, now: Millis) -> WaitingCounts {
        let mut counts = WaitingCounts::default();
        for (start_by, _) in self.waiting.keys() {
            let left_ms = start_by.since(now);
            let last = counts.len() - 1;
            let bucket =
                WAITING_BOUNDS_MS.iter().position(|bound| left_ms < *bound).unwrap_or(last);
            counts[bucket] = counts[bucket].saturating_add(1);
        }
        counts
    }
}

/// Requests of one service at one entry or at all of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InProgress {
    /// Online requests at the endpoints.
    pub in_flight: f64,
    /// Requests that wait at the entries.
    pub waiting: f64,
}

/// Returns whether an entry has less than its part at the endpoints, which together are handed `max_online`
/// online requests. Others fill each slot that becomes free before the entry hears of it, so that it is to
/// send on where there seems to be no room.
pub fn is_behind(own: InProgress, elsewhere: InProgress, max_online: u32) -> bool {
    let demand = own.in_flight + own.waiting;
    let all = demand + elsewhere.in_flight + elsewhere.waiting;
    own.in_flight < demand / all.max(1.0) * f64::from(max_online)
}

/// Shortest and longest part of the time left after which a refused caller comes again: while there is time
/// to wait once more and to be served.
const RETURN_PART: (f64, f64) = (1.0 / 6.0, 1.0 / 3.0);

/// Returns the time after which a refused caller may come again, in milliseconds, where the cause is likely
/// to be over after `cause_ms`: no later than the caller, with `left_ms` left, would heed it.
pub fn usable_return_ms(cause_ms: u32, left_ms: u64) -> u32 {
    cause_ms.min((left_ms as f64 * RETURN_PART.1) as u32)
}

/// Returns the time after which a refused caller may come again, in milliseconds, if `left_ms` are left to
/// serve it. It is spread by `draw`, which is uniform from zero to one, so that callers don't all come at
/// once.
pub fn return_after_ms(left_ms: u64, draw: f64) -> u32 {
    let (shortest, longest) = RETURN_PART;
    (left_ms as f64 * (shortest + (longest - shortest) * draw)) as u32
}
