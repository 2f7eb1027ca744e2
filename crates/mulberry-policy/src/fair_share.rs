//! Decides which requests a service takes when it can't take all: each client account gets its weighted
//! max-min fair share of the requests that may be in flight.
//!
//! The demand of an account is what it has in flight at all entries plus what it would have in flight if
//! nothing had been refused. While the demands together fit, nothing is refused here. Otherwise an account
//! whose demand is within its share loses nothing, and of each other one every entry takes the same part
//! of the requests that it receives. That part follows from sums over all entries, so that counts that are
//! some hundred milliseconds old don't make the entries open and close together.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::Rng;

use mulberry_protocol::time::Millis;

/// Part of the waiting places that the shares may fill. The others take what accounts within their shares
/// send in bursts, and what entries take at the same time without knowing of each other.
const FILLED_WAITING_PART: f64 = 0.75;

/// Least part of its demand that an account is served, relative to what all are served on average, so that
/// nobody is starved: less than a quarter counts as that. The rest is for demands that are known late.
const MIN_SERVED_PART: f64 = 0.3;

/// Time for which shares hold before they are derived again, in milliseconds; a small part of the age of
/// what peers report.
const REFRESH_MS: u64 = 20;

/// Part of the room that may be let through before the shares are derived again, so that a burst within
/// [`REFRESH_MS`] does not take the whole of it.
const REFRESH_PART: f64 = 0.05;

/// Longest age of a report for which this process keeps what it had itself then, in milliseconds.
const MAX_VIEW_AGE_MS: u64 = 1_000;

/// Part of the room that this process must use, relative to an even part of it, before its own rise is
/// taken to show that of the others. Below it, the service has room for what is not yet reported.
const RISE_FROM_PART: f64 = 0.8;

/// Standard deviations by which an account's demand must have risen here before it counts as risen
/// everywhere. With less, accounts within their shares are refused for chance.
const CERTAIN_DEVIATIONS: f64 = 1.2;

/// Time in flight that is assumed before any request has ended, in milliseconds.
const DEFAULT_HELD_MS: f64 = 500.0;

/// Weight of a request in the moving average of the time in flight.
const HELD_WEIGHT: f64 = 0.02;

/// Shortest and longest time after which a refused caller is told to come back, in milliseconds.
const RETRY_AFTER_MS: (f64, f64) = (250.0, 5_000.0);

/// Demand below which an account is forgotten, in requests in flight.
const NEGLIGIBLE: f64 = 0.01;

/// Steps of the search for the level up to which demands are filled.
const SEARCH_STEPS: u32 = 30;

/// The online requests that a service can have in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Requests that its endpoints run at once.
    pub slots: u32,
    /// Requests that they may have running and waiting, so that each can still begin in time.
    pub places: u32,
}

impl Room {
    /// Returns the requests in flight that the shares add up to.
    fn shared(self) -> f64 {
        let slots = f64::from(self.slots.min(self.places));
        slots + (f64::from(self.places) - slots) * FILLED_WAITING_PART
    }
}

/// What is known of an account besides its requests at this process.
#[derive(Debug, Clone, Copy)]
pub struct AccountView {
    /// The account, as returned by [`mulberry_protocol::account::account_id`].
    pub account: u32,
    /// Its weight; shares are proportional to the weights.
    pub weight: f64,
    /// Its priority; zero is the most urgent.
    pub priority: u32,
    /// Requests at all other entries: in flight, and refused ones that would be in flight.
    pub elsewhere: f64,
}

/// What is known of a service and its demand besides the requests at this process.
#[derive(Debug, Clone, Copy)]
pub struct ServiceView<'a> {
    /// The requests that the service can have in flight.
    pub room: Room,
    /// Number of other entries.
    pub other_entries: usize,
    /// Age of what the other entries reported, in milliseconds.
    pub age_ms: u64,
    /// All accounts with requests here or elsewhere.
    pub accounts: &'a [AccountView],
}

/// Why a request is refused, and when to send it again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverShare {
    /// Requests in flight that the account may have at all entries.
    pub share: f64,
    /// Requests in flight that it would have if nothing were refused.
    pub demand: f64,
    /// Requests in flight that all accounts may have together.
    pub room: f64,
    /// Time after which the account's share is likely to have room for the request, in milliseconds.
    pub retry_after_ms: u32,
}

/// What one account asks of this process.
#[derive(Debug)]
struct OwnDemand {
    in_flight: u32,
    /// Refused requests that would still be in flight.
    refused: f64,
    decayed_at: Millis,
    /// Demands at earlier times, the oldest first.
    history: VecDeque<(Millis, f64)>,
}

impl OwnDemand {
    fn new(now: Millis) -> Self {
        Self { in_flight: 0, refused: 0.0, decayed_at: now, history: VecDeque::new() }
    }

    fn decay(&mut self, held_ms: f64, now: Millis) {
        let elapsed_ms = now.since(self.decayed_at) as f64;
        self.refused *= (-elapsed_ms / held_ms).exp();
        self.decayed_at = now;
    }

    fn total(&self) -> f64 {
        f64::from(self.in_flight) + self.refused
    }

    /// Records the demand of now, and forgets those that no report is as old as.
    fn keep_history(&mut self, now: Millis) {
        while self.history.front().is_some_and(|(at, _)| now.since(*at) > MAX_VIEW_AGE_MS) {
            self.history.pop_front();
        }
        self.history.push_back((now, self.total()));
    }

    /// Returns the demand that this process had at a time.
    fn total_at(&self, time: Millis) -> f64 {
        let earlier = self.history.iter().rev().find(|(at, _)| *at <= time);
        earlier.map_or(0.0, |(_, total)| *total)
    }

    fn is_negligible(&self) -> bool {
        self.total() < NEGLIGIBLE && self.history.iter().all(|(_, total)| *total < NEGLIGIBLE)
    }
}

/// Demand of one account at all entries, with what its share depends on.
#[derive(Debug, Clone, Copy)]
struct Demand {
    account: u32,
    weight: f64,
    priority: u32,
    requests: f64,
    /// The same with the whole rise here, of which a part may be chance.
    likely: f64,
    /// Requests in flight that it may have at least.
    floor: f64,
}

impl Demand {
    /// Returns what the account gets if demands are filled up to `level` times the weight.
    fn filled(&self, level: f64) -> f64 {
        let share = self.weight * level;
        if self.requests <= tolerated(share) { self.requests } else { self.floor.max(share) }
    }
}

/// Returns the demand up to which an account counts as within its share. Numbers of independent requests
/// vary by the root of their mean, and a single request is always within it.
fn tolerated(share: f64) -> f64 {
    share + 2.0 * share.sqrt() + 1.0
}

/// The share of an account whose demand is larger.
#[derive(Debug, Clone, Copy)]
struct Share {
    requests: f64,
    demand: f64,
}

/// The fair shares of one service, at one process.
#[derive(Debug)]
pub struct FairShare {
    own: IndexMap<u32, OwnDemand>,
    /// Accounts that get less than they demand; the others get all of it.
    limited: IndexMap<u32, Share>,
    room: f64,
    demand: f64,
    held_ms: f64,
    refreshed_at: Option<Millis>,
    /// Requests let through since then.
    let_through: u32,
}

impl Default for FairShare {
    fn default() -> Self {
        Self {
            own: IndexMap::new(),
            limited: IndexMap::new(),
            room: f64::INFINITY,
            demand: 0.0,
            held_ms: DEFAULT_HELD_MS,
            refreshed_at: None,
            let_through: 0,
        }
    }
}

impl FairShare {
    /// Returns whether the shares are so old that [`Self::refresh`] is due.
    pub fn is_due(&self, now: Millis) -> bool {
        let is_old = self.refreshed_at.is_none_or(|at| now.since(at) >= REFRESH_MS);
        is_old || f64::from(self.let_through) > self.room * REFRESH_PART
    }

    /// Derives the shares from what is known now of the room and of the accounts.
    pub fn refresh(&mut self, view: ServiceView<'_>, now: Millis) {
        self.refreshed_at = Some(now);
        self.let_through = 0;
        self.room = view.room.shared();
        self.limited.clear();
        let (mut demands, unassigned) = self.demands(&view, now);
        self.demand = demands.iter().map(|d| d.requests).sum::<f64>() + unassigned;
        if self.demand <= self.room {
            return;
        }
        let floor_part = MIN_SERVED_PART * self.room / self.demand;
        demands.iter_mut().for_each(|d| d.floor = d.requests * floor_part);
        demands.sort_by_key(|d| d.priority);
        self.fill(&demands, unassigned);
    }

    /// Lets a request through, or refuses it. One that is let through counts until [`Self::end`].
    pub fn decide(
        &mut self,
        account: u32,
        rng: &mut impl Rng,
        now: Millis,
    ) -> Result<(), OverShare> {
        let held_ms = self.held_ms;
        let own = self.own.entry(account).or_insert_with(|| OwnDemand::new(now));
        own.decay(held_ms, now);
        let Some(share) = self.limited.get(&account) else {
            own.in_flight += 1;
            self.let_through += 1;
            return Ok(());
        };
        let part = share.requests / share.demand;
        // The draw rounds a share of this process that is not a whole number.
        let draw: f64 = rng.random();
        if f64::from(own.in_flight) + draw < part * (own.total() + 1.0) {
            own.in_flight += 1;
            self.let_through += 1;
            return Ok(());
        }
        own.refused += 1.0;
        // With nothing else sent, the account's share would take this long for what it demands now.
        let (shortest, longest) = RETRY_AFTER_MS;
        let wait_ms = held_ms / part * (0.75 + rng.random::<f64>());
        let retry_after_ms = wait_ms.clamp(shortest, longest) as u32;
        let (share, demand) = (share.requests, share.demand);
        Err(OverShare { share, demand, room: self.room, retry_after_ms })
    }

    /// Records that a request which was let through has ended, `held_ms` milliseconds after that.
    pub fn end(&mut self, account: u32, held_ms: u64) {
        self.held_ms += (held_ms.max(1) as f64 - self.held_ms) * HELD_WEIGHT;
        self.leave(account);
    }

    /// Records that a request which was let through got no endpoint. It counts as demand.
    pub fn end_unserved(&mut self, account: u32, now: Millis) {
        let held_ms = self.held_ms;
        self.leave(account);
        if let Some(own) = self.own.get_mut(&account) {
            own.decay(held_ms, now);
            own.refused += 1.0;
        }
    }

    /// Returns, for each account with requests that were refused here lately, how many of them would be
    /// in flight now.
    pub fn refused(&self, now: Millis) -> impl Iterator<Item = (u32, f64)> {
        let left = move |own: &OwnDemand| {
            own.refused * (-(now.since(own.decayed_at) as f64) / self.held_ms).exp()
        };
        self.own.iter().map(move |(account, own)| (*account, left(own))).filter(|(_, n)| *n >= 0.5)
    }

    /// Returns the requests of each account in flight that this process let through.
    pub fn own_in_flight(&self) -> impl Iterator<Item = (u32, u32)> {
        self.own.iter().map(|(account, own)| (*account, own.in_flight)).filter(|(_, n)| *n > 0)
    }

    /// Returns the accounts with requests at this process, now or lately.
    pub fn own_accounts(&self) -> impl Iterator<Item = u32> {
        self.own.keys().copied()
    }

    /// Returns whether an account gets less than it asks for.
    pub fn is_limited(&self, account: u32) -> bool {
        self.limited.contains_key(&account)
    }

    /// Returns the demand of all accounts relative to the room; above one, not everybody fits.
    pub fn utilization(&self) -> f64 {
        self.demand / self.room
    }

    fn leave(&mut self, account: u32) {
        if let Some(own) = self.own.get_mut(&account) {
            own.in_flight = own.in_flight.saturating_sub(1);
        }
    }

    /// Returns the demand of each account at all entries, and that of accounts that can't be told apart.
    fn demands(&mut self, view: &ServiceView<'_>, now: Millis) -> (Vec<Demand>, f64) {
        let held_ms = self.held_ms;
        let reported_at = now - view.age_ms;
        let (mut total, mut earlier_total) = (0.0, 0.0);
        for own in self.own.values_mut() {
            own.decay(held_ms, now);
            total += own.total();
            earlier_total += own.total_at(reported_at);
        }
        let others = view.other_entries as f64;
        let is_rise_seen = total > RISE_FROM_PART * self.room / (others + 1.0);
        let others = if is_rise_seen { others } else { 0.0 };
        let mut unassigned = others * (total - earlier_total).max(0.0);
        let mut demands = Vec::with_capacity(view.accounts.len());
        for account in view.accounts {
            let own = self.own.get(&account.account);
            let (own, earlier) = own.map_or((0.0, 0.0), |o| (o.total(), o.total_at(reported_at)));
            let rise = others * certain_rise(earlier, own);
            unassigned -= rise;
            demands.push(Demand {
                account: account.account,
                weight: account.weight,
                priority: account.priority,
                requests: own + account.elsewhere + rise,
                likely: own + account.elsewhere + others * (own - earlier).max(0.0),
                floor: 0.0,
            });
        }
        self.own.values_mut().for_each(|own| own.keep_history(now));
        self.own.retain(|_, own| !own.is_negligible());
        demands.retain(|d| d.requests > 0.0);
        (demands, unassigned.max(0.0))
    }

    /// Divides the room, one priority after the other. Each leaves the less urgent ones their floor.
    /// Room for demand that can't be assigned to accounts is kept free, but is not taken from what an
    /// account would have if all of its priority asked for more than their shares.
    fn fill(&mut self, demands: &[Demand], unassigned: f64) {
        let mut left = self.room;
        let mut later_floors: f64 = demands.iter().map(|d| d.floor).sum();
        for class in demands.chunk_by(|a, b| a.priority == b.priority) {
            later_floors -= class.iter().map(|d| d.floor).sum::<f64>();
            let room = (left - later_floors).max(0.0);
            let weights: f64 = class.iter().map(|d| d.weight).sum();
            let guaranteed = (room / weights).min(find_level(class, room));
            let level = find_level(class, room - unassigned).max(guaranteed);
            for demand in class {
                let filled = demand.filled(level);
                left -= filled;
                if filled < demand.requests {
                    let share = Share { requests: filled, demand: demand.likely };
                    self.limited.insert(demand.account, share);
                }
            }
        }
    }
}

/// Returns by how much the demand of an account has certainly risen: less what independent requests vary
/// by, and less one request.
fn certain_rise(earlier: f64, now: f64) -> f64 {
    (now - earlier - CERTAIN_DEVIATIONS * (now + earlier).sqrt() - 1.0).max(0.0)
}

/// Returns the highest level at which the accounts together get no more than `room`.
fn find_level(class: &[Demand], room: f64) -> f64 {
    let full_level = |d: &Demand| d.requests / d.weight;
    let mut high = class.iter().map(full_level).fold(0.0, f64::max);
    let fits = |level: f64| class.iter().map(|d| d.filled(level)).sum::<f64>() <= room;
    if fits(high) {
        return high;
    }
    let mut low = 0.0;
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
