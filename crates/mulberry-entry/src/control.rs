//! The entry's control state: sides, subset, bundle in force. Publishes snapshots for traffic.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use indexmap::IndexMap;

use mulberry_platform::vm_list::Vm;
use mulberry_platform::vm_list::VmRole;
use mulberry_platform::vm_list::VmState;
use mulberry_policy::bundle_order::BundleOrder;
use mulberry_policy::bundle_order::BundleVerdict;
use mulberry_policy::bundle_order::BundleVersion;
use mulberry_policy::membership::ListedSide;
use mulberry_policy::membership::Membership;
use mulberry_policy::membership::MembershipAction;
use mulberry_policy::membership::Peer;
use mulberry_policy::subset::EndpointPlace;
use mulberry_policy::subset::EntryPlace;
use mulberry_policy::subset::choose_subset;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::EntryHeartbeat;
use mulberry_protocol::heartbeat::Heartbeat;
use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::heartbeat::SideHeartbeat;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::heartbeat::encode_heartbeat;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

use crate::shared::Shared;
use crate::snapshot::EndpointRoute;
use crate::snapshot::LoadedBundle;
use crate::snapshot::Snapshot;

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// The control state.
pub(crate) struct EntryControl {
    shared: Shared,
    socket: Arc<UdpSocket>,
    owner_link: SocketAddr,
    membership: Membership,
    order: BundleOrder,
    bundle: Option<LoadedBundle>,
    gauges: IndexMap<EndpointName, Arc<AtomicU32>>,
    services: IndexMap<SocketAddr, ServiceName>,
    next_sequence: u64,
}

impl EntryControl {
    pub fn new(shared: Shared, socket: Arc<UdpSocket>, owner_link: SocketAddr) -> Self {
        let membership = Membership::new(shared.settings.beats());
        Self {
            shared,
            socket,
            owner_link,
            membership,
            order: BundleOrder::default(),
            bundle: None,
            gauges: IndexMap::new(),
            services: IndexMap::new(),
            next_sequence: 0,
        }
    }

    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    fn tick(&mut self) {
        let now = self.now();
        self.shared.control_tick_ms.store(now.0, Ordering::Relaxed);
        let actions = self.membership.tick(now);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<MembershipAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::SendHeartbeat(address) => self.send_beat(address),
                MembershipAction::Joined(endpoint) => {
                    changed = true;
                    log_event!(info, Event::SideJoined, %endpoint);
                }
                MembershipAction::Leaving(endpoint) => {
                    changed = true;
                    log_event!(info, Event::SideLeaving, %endpoint);
                }
                MembershipAction::Lost(endpoint) => {
                    changed = true;
                    self.shared.metrics.count("entry.sides_lost");
                    log_event!(warn, Event::SideLost, %endpoint);
                }
            }
        }
        if changed {
            self.publish();
        }
    }

    fn send_beat(&mut self, address: SocketAddr) {
        self.next_sequence += 1;
        let now = self.now();
        let suspects = self.shared.guards.suspects().suspects_to_send(now);
        let backlog = self
            .services
            .get(&address)
            .and_then(|service| self.shared.backlog.load().get(service).copied());
        let leaving = self.shared.is_leaving();
        let beat = Heartbeat::Entry(EntryHeartbeat {
            entry: self.shared.settings.entry.clone(),
            sequence: self.next_sequence,
            owner_link: self.owner_link,
            bundle: self.order.number(),
            backlog: backlog.unwrap_or(0).min(u64::from(u32::MAX)) as u32,
            presence: if leaving { Presence::Leaving } else { Presence::Serving },
            suspects,
        });
        if let Ok(datagram) = encode_heartbeat(&beat, &self.shared.secrets) {
            self.shared.metrics.add("entry.beat_bytes_sent", datagram.len() as u64);
            // A lost datagram is made up for by the next one.
            let _lost = self.socket.send_to(&datagram, address);
        }
    }

    fn publish(&mut self) {
        let mut routes: IndexMap<ServiceName, Vec<EndpointRoute>> = IndexMap::new();
        let live = self.membership.routable();
        for peer in live {
            let Some(route) = route_of(peer, &mut self.gauges, &self.shared) else { continue };
            routes.entry(peer.listed.place.service.clone()).or_default().push(route);
        }
        let ready = self.bundle.is_some() && !routes.is_empty() && !self.shared.is_leaving();
        let snapshot = Snapshot {
            bundle: self.bundle.clone(),
            routes,
            known_endpoints: self.membership.peers().count(),
            ready,
        };
        self.shared.snapshot.store(Arc::new(snapshot));
    }
}

fn route_of(
    peer: &Peer,
    gauges: &mut IndexMap<EndpointName, Arc<AtomicU32>>,
    shared: &Shared,
) -> Option<EndpointRoute> {
    let beat = peer.beat.as_ref()?;
    let endpoint = beat.endpoint.clone();
    let in_flight = gauges.entry(endpoint.clone()).or_default().clone();
    Some(EndpointRoute {
        name_hash: stable_hash(endpoint.as_str().as_bytes(), 0),
        near: beat.zone == shared.settings.zone,
        models: beat.models.clone(),
        load: beat.load.clone(),
        address: peer.listed.address,
        endpoint,
        in_flight,
    })
}

impl Actor for EntryControl {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(65_536);
        cx.run_interval(TICK, |control, _| control.tick());
    }
}

/// Reports a heartbeat from a side.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SideBeatSeen {
    pub beat: SideHeartbeat,
}

impl Handler<SideBeatSeen> for EntryControl {
    type Result = ();

    fn handle(&mut self, seen: SideBeatSeen, _: &mut Self::Context) {
        let now = self.now();
        let news = self.shared.guards.suspects().merge(&seen.beat.suspects, now);
        self.order.note_known_number(seen.beat.bundle);
        self.shared.heard_side.store(true, Ordering::Relaxed);
        if self.order.is_behind() {
            self.shared.refresh_bundle.notify_one();
        }
        let actions = self.membership.note_heartbeat(seen.beat, now);
        self.carry_out(actions);
        if news {
            self.membership.schedule_heartbeats_now(now);
            self.tick();
        }
        // Loads and models change with most beats.
        self.publish();
    }
}

/// Reports the VM list.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct VmListSeen {
    pub vms: Vec<Vm>,
}

impl Handler<VmListSeen> for EntryControl {
    type Result = ();

    fn handle(&mut self, seen: VmListSeen, _: &mut Self::Context) {
        let own = EntryPlace {
            entry: self.shared.settings.entry.clone(),
            zone: self.shared.settings.zone.clone(),
        };
        let entries = list_entries(&seen.vms);
        let mut places = Vec::new();
        let mut sides = Vec::new();
        for vm in seen.vms.into_iter().filter(|vm| vm.role == VmRole::Endpoint) {
            let Some(service) = vm.service else { continue };
            let place =
                EndpointPlace { endpoint: EndpointName::new(vm.name), zone: vm.zone, service };
            let leaving = vm.state == VmState::Leaving;
            places.push(place.clone());
            sides.push(ListedSide { place, address: vm.address, leaving });
        }
        let chosen = choose_subset(&own, &entries, &places, self.shared.settings.subset());
        let subset: Vec<ListedSide> = chosen.into_iter().map(|i| sides[i].clone()).collect();
        self.services = subset.iter().map(|s| (s.address, s.place.service.clone())).collect();
        let now = self.now();
        self.membership.apply_list(subset, now);
        self.gauges.retain(|name, _| self.membership.contains(name));
        self.shared.guards.ejector().retain(|name| self.membership.contains(name));
        self.publish();
    }
}

pub(crate) fn list_entries(vms: &[Vm]) -> Vec<EntryPlace> {
    vms.iter()
        .filter(|vm| vm.role == VmRole::Entry && vm.state == VmState::Live)
        .map(|vm| EntryPlace { entry: EntryName::new(&vm.name), zone: vm.zone.clone() })
        .collect()
}

/// Reports that a link to a side failed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkFailureSeen {
    pub endpoint: EndpointName,
}

impl Handler<LinkFailureSeen> for EntryControl {
    type Result = ();

    fn handle(&mut self, seen: LinkFailureSeen, _: &mut Self::Context) {
        let now = self.now();
        self.membership.note_link_failure(&seen.endpoint, now);
        self.tick();
    }
}

/// Reports suspects that a traffic thread or an owner link heard of.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SuspectsSeen {
    pub suspects: Vec<Suspect>,
}

impl Handler<SuspectsSeen> for EntryControl {
    type Result = ();

    fn handle(&mut self, seen: SuspectsSeen, _: &mut Self::Context) {
        let now = self.now();
        // The table may hold them already, since the reporter merges before it tries again.
        self.shared.guards.suspects().merge(&seen.suspects, now);
        self.membership.schedule_heartbeats_now(now);
        self.tick();
    }
}

/// Sends a heartbeat to every side at once.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Hurry;

impl Handler<Hurry> for EntryControl {
    type Result = ();

    fn handle(&mut self, _: Hurry, _: &mut Self::Context) {
        let now = self.now();
        self.membership.schedule_heartbeats_now(now);
        self.tick();
        self.publish();
    }
}

/// Asks what to do with a bundle that the store reports.
#[derive(Message)]
#[rtype(result = "BundleVerdict")]
pub(crate) struct JudgeBundle {
    pub seen: BundleVersion,
}

impl Handler<JudgeBundle> for EntryControl {
    type Result = MessageResult<JudgeBundle>;

    fn handle(&mut self, judge: JudgeBundle, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.order.classify(&judge.seen))
    }
}

/// Puts a loaded bundle in force, unless a newer one came first. Returns whether it did.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct PutBundle {
    pub loaded: LoadedBundle,
}

impl Handler<PutBundle> for EntryControl {
    type Result = bool;

    fn handle(&mut self, put: PutBundle, _: &mut Self::Context) -> bool {
        let loaded = put.loaded;
        let seen = BundleVersion { number: loaded.number, digest: loaded.digest.clone() };
        if !self.order.put_in_force(seen) {
            log_event!(info, Event::BundleStale, number = loaded.number);
            return false;
        }
        let now = self.now();
        log_event!(info, Event::BundleInForce, number = loaded.number, digest = %loaded.digest);
        self.shared.guards.fair_share().apply_bundle(&loaded.bundle, now);
        self.bundle = Some(loaded);
        self.membership.schedule_heartbeats_now(now);
        self.tick();
        self.publish();
        true
    }
}

/// Asks for the sides, for operators.
#[derive(Message)]
#[rtype(result = "Vec<SideView>")]
pub(crate) struct AskSides;

/// A side as the entry sees it.
#[derive(Debug, Clone, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct SideView {
    pub endpoint: EndpointName,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub live: bool,
    pub presence: Option<Presence>,
    pub bundle: u64,
    pub bundle_done: u64,
    pub online: u16,
    pub batch: u16,
    pub limit: u16,
    pub vm_leaving: bool,
}

impl Handler<AskSides> for EntryControl {
    type Result = MessageResult<AskSides>;

    fn handle(&mut self, _: AskSides, _: &mut Self::Context) -> Self::Result {
        let views = self.membership.peers().map(|peer| {
            let beat = peer.beat.as_ref();
            SideView {
                endpoint: peer.listed.place.endpoint.clone(),
                service: peer.listed.place.service.clone(),
                address: peer.listed.address,
                live: peer.is_live(),
                presence: beat.map(|b| b.presence),
                bundle: beat.map_or(0, |b| b.bundle),
                bundle_done: beat.map_or(0, |b| b.bundle_done),
                online: beat.map_or(0, |b| b.load.online),
                batch: beat.map_or(0, |b| b.load.batch),
                limit: beat.map_or(0, |b| b.load.limit),
                vm_leaving: peer.listed.leaving,
            }
        });
        MessageResult(views.collect())
    }
}
