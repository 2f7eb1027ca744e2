//! Remembers which software version began each stream, and chooses the processes that are told.
//!
//! A caller may take a stream up at any process, also after the one that began it is gone. That one
//! tells a few others, which all processes choose alike. What none of them knows is not guessed.

use std::collections::VecDeque;

use indexmap::IndexMap;

use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::stream_origin::OriginAnswer;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::time::Millis;

/// Time for which an origin is remembered, in milliseconds. No caller waits longer for a stream, whatever
/// its route's timeout, which may have been another one when the stream began.
pub const ORIGIN_TTL_MS: u64 = 60_000;

/// Largest number of origins that a process remembers; the oldest are dropped first.
pub const MAX_ORIGINS: usize = 65_536;

/// Number of processes that are told of each stream: one of each role, since all of one role may be
/// killed at once.
pub const REGISTRARS: usize = 2;

/// Number of processes up to which all are asked for an origin. Beyond it the first ones are, in the
/// order in which they are told, by turns of each role.
pub const MAX_ASKED: usize = 24;

/// What is known of one stream.
#[derive(Debug, Clone, PartialEq)]
enum OriginState {
    /// This process has begun it, most likely at this origin, and does not know it for certain yet.
    Pending(StreamOrigin),
    /// It began at this origin.
    Known(StreamOrigin),
    /// The version can't be told.
    Unknown,
}

/// The origins that one process knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    states: IndexMap<u64, OriginState>,
    /// Streams by age, each with the time at which it was first heard of.
    ages: VecDeque<(Millis, u64)>,
}

impl StreamOrigins {
    /// Records that this process has begun a stream, most likely at this origin.
    pub fn begin(&mut self, stream: u64, origin: StreamOrigin, now: Millis) {
        self.make_room(now);
        if self.states.insert(stream, OriginState::Pending(origin)).is_none() {
            self.ages.push_back((now, stream));
        }
    }

    /// Records the origin of a stream. One that contradicts an earlier one makes it unknown.
    pub fn record(&mut self, stream: u64, origin: StreamOrigin, now: Millis) {
        self.make_room(now);
        match self.states.get_mut(&stream) {
            None => {
                self.states.insert(stream, OriginState::Known(origin));
                self.ages.push_back((now, stream));
            }
            Some(OriginState::Known(known)) if *known == origin => {}
            Some(state @ OriginState::Pending(_)) => *state = OriginState::Known(origin),
            Some(state) => *state = OriginState::Unknown,
        }
    }

    /// Records that the origin of a stream can't be told.
    pub fn give_up(&mut self, stream: u64) {
        if let Some(state) = self.states.get_mut(&stream) {
            *state = OriginState::Unknown;
        }
    }

    /// Returns what is known of a stream.
    pub fn find(&self, stream: u64) -> OriginAnswer {
        match self.states.get(&stream) {
            Some(OriginState::Known(origin)) => OriginAnswer::Known(origin.clone()),
            Some(OriginState::Pending(origin)) => OriginAnswer::Pending(origin.clone()),
            Some(OriginState::Unknown) | None => OriginAnswer::Unknown,
        }
    }

    fn make_room(&mut self, now: Millis) {
        while let Some((at, stream)) = self.ages.front().copied() {
            if now.since(at) < ORIGIN_TTL_MS && self.ages.len() < MAX_ORIGINS {
                break;
            }
            self.ages.pop_front();
            self.states.swap_remove(&stream);
        }
    }
}

/// A process that may be told of streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registrar {
    /// Name of the process.
    pub name: EntryName,
    /// Role of the process.
    pub role: PeerRole,
}

/// Returns the indices of `processes`, those first that are told of the stream, by turns an entry and
/// an owner. Every process computes the same order for the same processes, and one more or less changes
/// little.
pub fn rank_registrars(stream: u64, processes: &[Registrar]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..processes.len()).collect();
    ranked.sort_by_key(|i| {
        std::cmp::Reverse(stable_hash(processes[*i].name.as_str().as_bytes(), stream))
    });
    let (entries, owners): (Vec<usize>, Vec<usize>) =
        ranked.into_iter().partition(|i| processes[*i].role == PeerRole::Entry);
    let turns = entries.len().max(owners.len());
    (0..turns).flat_map(|turn| [entries.get(turn), owners.get(turn)]).flatten().copied().collect()
}
