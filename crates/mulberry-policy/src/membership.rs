//! Tracks which sides are alive, by their heartbeats, their links and the platform's VM list.

use std::net::SocketAddr;

use indexmap::IndexMap;

use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::heartbeat::SideHeartbeat;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::time::Millis;

use crate::subset::EndpointPlace;

/// Interval of heartbeats and how many may be missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSettings {
    /// Milliseconds between heartbeats to one side.
    pub interval_ms: u64,
    /// Heartbeats in a row without a response after which a side counts as lost.
    pub max_missed: u64,
}

impl Default for HeartbeatSettings {
    fn default() -> Self {
        Self { interval_ms: 2_000, max_missed: 3 }
    }
}

/// A side that the VM list names.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedSide {
    /// Its endpoint, zone and service.
    pub place: EndpointPlace,
    /// Address of its link and heartbeats.
    pub address: SocketAddr,
    /// Whether the VM list marks the VM as leaving.
    pub leaving: bool,
}

/// A heartbeat to send or a change of a side that the caller must act on.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat to this address.
    SendHeartbeat(SocketAddr),
    /// The side accepts work, for the first time or again.
    Joined(EndpointName),
    /// The side answers but accepts no new work.
    Leaving(EndpointName),
    /// The side no longer answers heartbeats.
    Lost(EndpointName),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerState {
    /// No heartbeat arrived from its current address yet.
    Unconfirmed,
    Live,
    Lost,
}

/// A side in the membership table.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its entry in the VM list.
    pub listed: ListedSide,
    /// Its last heartbeat.
    pub heartbeat: Option<SideHeartbeat>,
    heard_at: Millis,
    next_heartbeat_at: Millis,
    on_list: bool,
    link_failed: bool,
    state: PeerState,
}

/// The sides that an entry sends work to, with their state.
#[derive(Debug)]
pub struct Membership {
    settings: HeartbeatSettings,
    peers: IndexMap<EndpointName, Peer>,
}

impl Membership {
    /// Creates an empty table.
    pub fn new(settings: HeartbeatSettings) -> Self {
        Self { settings, peers: IndexMap::new() }
    }

    /// Applies the entry's subset of the VM list. A side that is no longer listed but still answers
    /// is kept, since the list lags behind.
    pub fn apply_list(&mut self, list: Vec<ListedSide>, now: Millis) {
        for peer in self.peers.values_mut() {
            peer.on_list = false;
        }
        for listed in list {
            let name = listed.place.endpoint.clone();
            match self.peers.get_mut(&name) {
                Some(peer) => {
                    if peer.listed.address != listed.address {
                        peer.state = PeerState::Unconfirmed;
                        peer.heartbeat = None;
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

    /// Records a heartbeat from a side. One that is older than the last one of the same incarnation
    /// is ignored.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: SideHeartbeat,
        now: Millis,
    ) -> Vec<MembershipAction> {
        let name = heartbeat.endpoint.clone();
        let Some(peer) = self.peers.get_mut(&name) else {
            return Vec::new();
        };
        let stale = peer.heartbeat.as_ref().is_some_and(|h| {
            h.incarnation == heartbeat.incarnation && h.sequence >= heartbeat.sequence
        });
        if stale {
            return Vec::new();
        }
        let was_serving = peer.state == PeerState::Live && is_serving(peer);
        peer.heard_at = now;
        peer.state = PeerState::Live;
        peer.link_failed = false;
        peer.heartbeat = Some(heartbeat);
        let now_serving = is_serving(peer);
        match (was_serving, now_serving) {
            (false, true) => vec![MembershipAction::Joined(name)],
            (true, false) => vec![MembershipAction::Leaving(name)],
            _ => Vec::new(),
        }
    }

    /// Records that a connection to the side failed. The next heartbeat is sent at once, and a side
    /// that does not answer it either counts as lost.
    pub fn record_link_failure(&mut self, endpoint: &EndpointName, now: Millis) {
        if let Some(peer) = self.peers.get_mut(endpoint) {
            peer.link_failed = true;
            peer.next_heartbeat_at = peer.next_heartbeat_at.min(now);
        }
    }

    /// Makes the next heartbeat to every side due at `now`, so that sides learn of a change at
    /// once.
    pub fn schedule_heartbeats_now(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            peer.next_heartbeat_at = peer.next_heartbeat_at.min(now);
        }
    }

    /// Returns the heartbeats that are due and the sides that no longer answer.
    pub fn tick(&mut self, now: Millis) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let settings = self.settings;
        for (name, peer) in &mut self.peers {
            if peer.next_heartbeat_at <= now {
                peer.next_heartbeat_at = now + settings.interval_ms;
                actions.push(MembershipAction::SendHeartbeat(peer.listed.address));
            }
            // A failed connection also shows that the side may be lost, so one missed heartbeat is
            // enough.
            let max_missed = if peer.link_failed { 1 } else { settings.max_missed };
            let is_silent = now.since(peer.heard_at)
                > settings.interval_ms * max_missed + settings.interval_ms / 2;
            if peer.state == PeerState::Live && is_silent {
                peer.state = PeerState::Lost;
                actions.push(MembershipAction::Lost(name.clone()));
            }
        }
        self.peers.retain(|_, p| p.on_list || p.state == PeerState::Live);
        actions
    }

    /// Returns the sides that may get new work.
    ///
    /// If more than half of the sides that ever answered seem lost, the fault is more likely on
    /// this entry's end than on theirs, so lost sides are returned too.
    pub fn routable(&self) -> Vec<&Peer> {
        let seen = self.peers.values().filter(|p| p.state != PeerState::Unconfirmed).count();
        let lost = self.peers.values().filter(|p| p.state == PeerState::Lost).count();
        let suspect_own_fault = lost * 2 > seen;
        self.peers
            .values()
            .filter(|p| {
                p.state == PeerState::Live || (suspect_own_fault && p.state == PeerState::Lost)
            })
            .filter(|p| is_serving(p))
            .collect()
    }

    /// Returns every side in the table.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns whether the side of this endpoint is in the table.
    pub fn contains(&self, endpoint: &EndpointName) -> bool {
        self.peers.contains_key(endpoint)
    }

    /// Returns the number of sides that answer heartbeats.
    pub fn live_count(&self) -> usize {
        self.peers.values().filter(|p| p.state == PeerState::Live).count()
    }
}

impl Peer {
    /// Returns whether the side answers heartbeats.
    pub fn is_live(&self) -> bool {
        self.state == PeerState::Live
    }
}

fn is_serving(peer: &Peer) -> bool {
    peer.heartbeat.as_ref().is_some_and(|h| h.presence == Presence::Serving)
}

fn new_peer(listed: ListedSide, now: Millis) -> Peer {
    Peer {
        listed,
        heartbeat: None,
        heard_at: now,
        next_heartbeat_at: now,
        on_list: true,
        link_failed: false,
        state: PeerState::Unconfirmed,
    }
}
