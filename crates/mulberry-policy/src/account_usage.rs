//! Counts what each client account uses at all entries: this process's own use exactly, that of its peers
//! as their heartbeats last reported it.
//!
//! A heartbeat names the accounts whose counts have changed lately and some of the others in turn, so that its
//! size follows what happens and not the number of accounts. Lost heartbeats do no harm, since the counts
//! of requests taken are totals since the process's start.

use std::ops::Range;

use indexmap::IndexMap;

use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::AccountUsage;
use mulberry_protocol::time::Millis;

/// Time for which a change is told, in milliseconds. Some heartbeats may get lost meanwhile.
const TELL_CHANGES_MS: u64 = 500;

/// Time within which each account is told of in turn, in milliseconds.
pub const TELL_ALL_MS: u64 = 3_000;

/// What one account uses at this process.
#[derive(Debug)]
struct OwnUsage {
    taken: u32,
    in_flight: u32,
    changed_at: Millis,
}

/// What a peer last reported.
#[derive(Debug)]
struct PeerUsage {
    incarnation: u64,
    sequence: u64,
    /// When its present incarnation was first heard.
    known_since: Millis,
    /// Whether its counts begin with the present incarnation, since an earlier one was heard.
    is_restarted: bool,
    /// When its requests in flight no longer count.
    stale_at: Millis,
    usages: IndexMap<u32, AccountUsage>,
}

/// The part of a peer's heartbeat that reports the use of accounts.
#[derive(Debug, Clone, Copy)]
pub struct UsageReport<'a> {
    /// Random number drawn at the peer's start.
    pub incarnation: u64,
    /// Number of the heartbeat, which rises within an incarnation.
    pub sequence: u64,
    /// Age of the report up to which its requests in flight count, in milliseconds.
    pub ttl_ms: u64,
    /// Accounts whose counts changed lately, and some of the others in turn.
    pub usages: &'a [AccountUsage],
}

/// Requests that a peer has taken for an account since its report before; negative if more were given
/// back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenByPeer {
    /// The account, as returned by [`mulberry_protocol::account::account_id`].
    pub account: u32,
    /// Number of requests.
    pub requests: i32,
}

/// The use of all accounts, as one process knows it.
#[derive(Debug, Default)]
pub struct AccountUsages {
    own: IndexMap<u32, OwnUsage>,
    peers: IndexMap<EntryName, PeerUsage>,
    /// Position of the account to tell of next among those that have not changed, and since when it is due.
    next_told: usize,
    told_at: Millis,
}

impl AccountUsages {
    /// Records that a request of this process begins.
    pub fn begin(&mut self, account: u32, now: Millis) {
        let own = self.own_mut(account, now);
        own.in_flight += 1;
    }

    /// Records that a request of this process has ended.
    pub fn end(&mut self, account: u32, now: Millis) {
        let own = self.own_mut(account, now);
        own.in_flight = own.in_flight.saturating_sub(1);
    }

    /// Counts a request against the account's rate at this process.
    pub fn take(&mut self, account: u32, now: Millis) {
        let own = self.own_mut(account, now);
        own.taken = own.taken.wrapping_add(1);
    }

    /// Gives a request back that this process has counted and that did not run.
    pub fn give_back(&mut self, account: u32, now: Millis) {
        let own = self.own_mut(account, now);
        own.taken = own.taken.wrapping_sub(1);
    }

    /// Records a peer's report, and returns what the peer has taken since its report before. One that is
    /// older than the last one of the same incarnation is ignored.
    pub fn record_report(
        &mut self,
        peer: &EntryName,
        report: UsageReport<'_>,
        now: Millis,
    ) -> Vec<TakenByPeer> {
        let is_late =
            |b: &PeerUsage| b.incarnation == report.incarnation && b.sequence >= report.sequence;
        if self.peers.get(peer).is_some_and(is_late) {
            return Vec::new();
        }
        let before = self.peers.swap_remove(peer);
        let was_heard = before.is_some();
        let same = before.filter(|b| b.incarnation == report.incarnation);
        let is_restarted = same.as_ref().map_or(was_heard, |b| b.is_restarted);
        let known_since = same.as_ref().map_or(now, |b| b.known_since);
        // What a peer took before it was first heard is unknown until it has told of all accounts.
        let is_complete = is_restarted || now.since(known_since) > TELL_ALL_MS;
        let mut usages = same.map(|b| b.usages).unwrap_or_default();
        let mut taken = Vec::new();
        for usage in report.usages {
            let earlier = usages.insert(usage.account, *usage).map(|e| e.taken);
            let Some(earlier) = earlier.or(is_complete.then_some(0)) else { continue };
            let requests = usage.taken.wrapping_sub(earlier) as i32;
            if requests != 0 {
                taken.push(TakenByPeer { account: usage.account, requests });
            }
        }
        let usage = PeerUsage {
            incarnation: report.incarnation,
            sequence: report.sequence,
            known_since,
            is_restarted,
            stale_at: now + report.ttl_ms,
            usages,
        };
        self.peers.insert(peer.clone(), usage);
        taken
    }

    /// Returns the online requests of an account in flight at this process.
    pub fn own_in_flight(&self, account: u32) -> u32 {
        self.own.get(&account).map_or(0, |own| own.in_flight)
    }

    /// Returns the online requests in flight at all processes, for each account that has any.
    pub fn in_flight(&self, now: Millis) -> IndexMap<u32, u32> {
        let mut sums: IndexMap<u32, u32> =
            self.own.iter().map(|(account, own)| (*account, own.in_flight)).collect();
        for peer in self.peers.values().filter(|p| now < p.stale_at) {
            for usage in peer.usages.values() {
                *sums.entry(usage.account).or_default() += u32::from(usage.in_flight);
            }
        }
        sums.retain(|_, sum| *sum > 0);
        sums
    }

    /// Returns what to tell peers with the next heartbeat.
    pub fn usages_to_send(&mut self, now: Millis) -> Vec<AccountUsage> {
        let in_turn = self.positions_in_turn(now);
        let is_told = |position: usize, own: &OwnUsage| {
            now.since(own.changed_at) < TELL_CHANGES_MS || in_turn.contains(&position)
        };
        let told =
            self.own.iter().enumerate().filter(|(position, (_, own))| is_told(*position, own));
        let told = told.map(|(_, (account, own))| AccountUsage {
            account: *account,
            taken: own.taken,
            in_flight: own.in_flight.min(u16::MAX.into()) as u16,
        });
        told.collect()
    }

    /// Returns the positions of the accounts to tell of whether they have changed or not, as many as the time
    /// since the last heartbeat asks for.
    fn positions_in_turn(&mut self, now: Millis) -> Range<usize> {
        let count = self.own.len();
        let elapsed_ms = now.since(self.told_at).min(TELL_ALL_MS);
        let due = (count as u64 * elapsed_ms / TELL_ALL_MS) as usize;
        if due == 0 {
            return 0..0;
        }
        self.told_at = now;
        let first = if self.next_told < count { self.next_told } else { 0 };
        self.next_told = first + due;
        first..first + due
    }

    fn own_mut(&mut self, account: u32, now: Millis) -> &mut OwnUsage {
        let fresh = OwnUsage { taken: 0, in_flight: 0, changed_at: now };
        let own = self.own.entry(account).or_insert(fresh);
        own.changed_at = now;
        own
    }
}
