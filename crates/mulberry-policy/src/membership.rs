//! Tracks which sides are alive, from their heartbeats, links and the platform's VM list.

use std::net::SocketAddr;

use indexmap::IndexMap;

use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::heartbeat::SideBeat;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::time::Millis;

use crate::subset::EndpointPlace;

/// Timing of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSettings {
    /// Milliseconds between heartbeats to one side.
    pub beat_ms: u64,
    /// Heartbeats without an answer after which a side is lost.
    pub max_missed: u64,
}

impl Default for HeartbeatSettings {
    fn default() -> Self {
        Self { beat_ms: 2_000, max_missed: 3 }
    }
}

/// One side that the VM list names.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedSide {
    /// Where it stands.
    pub place: EndpointPlace,
    /// Address of its link and heartbeats.
    pub address: SocketAddr,
    /// Whether the list says that the VM is leaving.
    pub leaving: bool,
}

/// What changed, for the caller to act on.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat.
    SendHeartbeat(SocketAddr),
    /// The side serves, for the first time or again.
    Joined(EndpointName),
    /// The side takes no new work.
    Leaving(EndpointName),
    /// The side no longer answers.
    Lost(EndpointName),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerState {
    Unheard,
    Live,
    Lost,
}

/// One side in the table.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What the VM list says of it.
    pub listed: ListedSide,
    /// Its last heartbeat.
    pub beat: Option<SideBeat>,
    heard_at: Millis,
    next_beat_at: Millis,
    on_list: bool,
    link_failed: bool,
    state: PeerState,
}

/// The sides of an entry's subset.
#[derive(Debug)]
pub struct Membership {
    settings: HeartbeatSettings,
    peers: IndexMap<EndpointName, Peer>,
}

impl Membership {
    /// Makes an empty table.
    pub fn new(settings: HeartbeatSettings) -> Self {
        Self { settings, peers: IndexMap::new() }
    }

    /// Takes the subset that the VM list gives. A side that is no longer listed but still answers
    /// is kept, since the list lags.
    pub fn apply_list(&mut self, list: Vec<ListedSide>, now: Millis) {
        for peer in self.peers.values_mut() {
            peer.on_list = false;
        }
        for listed in list {
            let name = listed.place.endpoint.clone();
            match self.peers.get_mut(&name) {
                Some(peer) => {
                    if peer.listed.address != listed.address {
                        peer.state = PeerState::Unheard;
                        peer.beat = None;
                    }
                    peer.listed = listed;
                    peer.on_list = true;
                }
                None => {
                    self.peers.insert(name, new_peer(listed, now));
                }
            }
        }
        self.peers.retain(|_, p| p.on_list || p.state == PeerState::Live);
    }

    /// Notes a heartbeat. Beats that arrive late or from a process before are ignored.
    pub fn note_heartbeat(&mut self, beat: SideBeat, now: Millis) -> Vec<MembershipAction> {
        let name = beat.endpoint.clone();
        let Some(peer) = self.peers.get_mut(&name) else {
            return Vec::new();
        };
        let stale = peer
            .beat
            .as_ref()
            .is_some_and(|b| b.incarnation == beat.incarnation && b.sequence >= beat.sequence);
        if stale {
            return Vec::new();
        }
        let served = peer.state == PeerState::Live && is_serving(peer);
        peer.heard_at = now;
        peer.state = PeerState::Live;
        peer.link_failed = false;
        peer.beat = Some(beat);
        let serves = is_serving(peer);
        match (served, serves) {
            (false, true) => vec![MembershipAction::Joined(name)],
            (true, false) => vec![MembershipAction::Leaving(name)],
            _ => Vec::new(),
        }
    }

    /// Notes that a connection to the side failed. The next heartbeat is sent at once, and a side
    /// that misses it too is lost.
    pub fn note_link_failure(&mut self, endpoint: &EndpointName, now: Millis) {
        if let Some(peer) = self.peers.get_mut(endpoint) {
            peer.link_failed = true;
            peer.next_beat_at = peer.next_beat_at.min(now);
        }
    }

    /// Makes the next heartbeat to every side due now, to spread news.
    pub fn schedule_heartbeats_now(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            peer.next_beat_at = peer.next_beat_at.min(now);
        }
    }

    /// Sends what is due and finds sides that no longer answer.
    pub fn tick(&mut self, now: Millis) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let settings = self.settings;
        for (name, peer) in &mut self.peers {
            if peer.next_beat_at <= now {
                peer.next_beat_at = now + settings.beat_ms;
                actions.push(MembershipAction::SendHeartbeat(peer.listed.address));
            }
            // A failed connection is a second witness, so that fewer missed beats are enough.
            let allowed = if peer.link_failed { 1 } else { settings.max_missed };
            let silent =
                now.since(peer.heard_at) > settings.beat_ms * allowed + settings.beat_ms / 2;
            if peer.state == PeerState::Live && silent {
                peer.state = PeerState::Lost;
                actions.push(MembershipAction::Lost(name.clone()));
            }
        }
        self.peers.retain(|_, p| p.on_list || p.state == PeerState::Live);
        actions
    }

    /// Lists the sides that may get new work.
    ///
    /// If most sides that ever answered seem lost, the observer is more likely at fault than they
    /// are, so that lost sides are listed too.
    pub fn routable(&self) -> Vec<&Peer> {
        let heard = self.peers.values().filter(|p| p.state != PeerState::Unheard).count();
        let lost = self.peers.values().filter(|p| p.state == PeerState::Lost).count();
        let doubt_self = lost * 2 > heard;
        self.peers
            .values()
            .filter(|p| p.state == PeerState::Live || (doubt_self && p.state == PeerState::Lost))
            .filter(|p| is_serving(p))
            .collect()
    }

    /// Lists every side of the table.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Tells whether the endpoint is in the table.
    pub fn contains(&self, endpoint: &EndpointName) -> bool {
        self.peers.contains_key(endpoint)
    }

    /// Returns the number of sides that answer.
    pub fn live_count(&self) -> usize {
        self.peers.values().filter(|p| p.state == PeerState::Live).count()
    }
}

impl Peer {
    /// Tells whether the side answers.
    pub fn is_live(&self) -> bool {
        self.state == PeerState::Live
    }
}

fn is_serving(peer: &Peer) -> bool {
    peer.beat.as_ref().is_some_and(|b| b.presence == Presence::Serving)
}

fn new_peer(listed: ListedSide, now: Millis) -> Peer {
    Peer {
        listed,
        beat: None,
        heard_at: now,
        next_beat_at: now,
        on_list: true,
        link_failed: false,
        state: PeerState::Unheard,
    }
}
