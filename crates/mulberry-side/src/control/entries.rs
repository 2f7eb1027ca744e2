//! Heartbeats of entries, and pulls of batch items from them.

use std::net::SocketAddr;

use actix::Handler;
use actix::Message;

use mulberry_protocol::heartbeat::EntryHeartbeat;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

use crate::control::EMPTY_PULL_WAIT_MS;
use crate::control::KnownEntry;
use crate::control::SideControl;

/// Reports a heartbeat from an entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct EntryBeatSeen {
    pub beat: EntryHeartbeat,
    pub from: SocketAddr,
}

impl Handler<EntryBeatSeen> for SideControl {
    type Result = ();

    fn handle(&mut self, seen: EntryBeatSeen, _: &mut Self::Context) {
        let now = self.clock.now();
        let news = self.suspects.merge(&seen.beat.suspects, now);
        if seen.beat.bundle > self.bundle.as_ref().map_or(0, |(number, _)| *number) {
            self.news.notify_one();
        }
        let known = self.state.entries.get(&seen.beat.entry);
        let entry = KnownEntry {
            pull_wait_until: known.map_or(Millis(0), |k| k.pull_wait_until),
            pull_pending: known.is_some_and(|k| k.pull_pending),
            beat: seen.beat,
            from: seen.from,
            heard_at: now,
        };
        self.state.entries.insert(entry.beat.entry.clone(), entry);
        if news {
            self.beat_all();
        } else {
            self.send_beat(seen.from);
        }
    }
}

/// Reports how a pull ended.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PullEnded {
    pub entry: EntryName,
    pub items: usize,
}

impl Handler<PullEnded> for SideControl {
    type Result = ();

    fn handle(&mut self, ended: PullEnded, _: &mut Self::Context) {
        let now = self.clock.now();
        if let Some(entry) = self.state.entries.get_mut(&ended.entry) {
            entry.pull_pending = false;
            let wait_ms = if ended.items == 0 { EMPTY_PULL_WAIT_MS } else { 0 };
            entry.pull_wait_until = now + wait_ms;
        }
        // The items are offered first; their offers are in the mailbox already.
        self.order_pull(now);
    }
}
