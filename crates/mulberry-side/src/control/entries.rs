//! Messages on heartbeats from entries and on pulls of batch items from them.

use std::net::SocketAddr;

use actix::Handler;
use actix::Message;

use mulberry_protocol::heartbeat::EntryHeartbeat;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

use crate::control::EMPTY_PULL_DELAY_MS;
use crate::control::KnownEntry;
use crate::control::SideControl;

/// Records a heartbeat from an entry. It is answered with a heartbeat of the side.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct EntryHeartbeatReceived {
    pub heartbeat: EntryHeartbeat,
    pub from: SocketAddr,
}

impl Handler<EntryHeartbeatReceived> for SideControl {
    type Result = ();

    fn handle(&mut self, received: EntryHeartbeatReceived, _: &mut Self::Context) {
        let now = self.clock.now();
        let suspects_changed = self.suspects.merge(&received.heartbeat.suspects, now);
        if received.heartbeat.bundle > self.bundle.as_ref().map_or(0, |(number, _)| *number) {
            self.bundle_notify.notify_one();
        }
        let known = self.state.entries.get(&received.heartbeat.entry);
        let entry = KnownEntry {
            next_pull_at: known.map_or(Millis(0), |k| k.next_pull_at),
            pull_pending: known.is_some_and(|k| k.pull_pending),
            heartbeat: received.heartbeat,
            address: received.from,
            last_heartbeat_at: now,
        };
        self.state.entries.insert(entry.heartbeat.entry.clone(), entry);
        if suspects_changed {
            self.send_heartbeats();
        } else {
            self.send_heartbeat(received.from);
        }
    }
}

/// Records that a pull ended, and with how many items.
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
            let delay_ms = if ended.items == 0 { EMPTY_PULL_DELAY_MS } else { 0 };
            entry.next_pull_at = now + delay_ms;
        }
        // The offers of the items came through the mailbox before this message, so the admission
        // already counts them.
        self.request_pull(now);
    }
}
