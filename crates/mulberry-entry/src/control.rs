//! The actor that holds the entry's control state: the sides of its subset and the bundle in force.
//! It publishes the state as immutable snapshots, which the traffic threads read.

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

/// Interval at which the actor sends the heartbeats that are due and checks for lost sides.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Tracks the sides of the entry's subset and the bundle in force.
pub(crate) struct EntryControl {
    shared: Shared,
    /// Sends heartbeats.
    socket: Arc<UdpSocket>,
    /// Address at which sides open links to pull batch items, sent in each heartbeat.
    owner_link: SocketAddr,
    membership: Membership,
    bundle_order: BundleOrder,
    bundle: Option<LoadedBundle>,
    /// Online requests in flight at each endpoint, shared with the snapshots.
    in_flight_counters: IndexMap<EndpointName, Arc<AtomicU32>>,
    /// Service behind each side's address, for the backlog in heartbeats.
    services_by_address: IndexMap<SocketAddr, ServiceName>,
    /// Sequence number of the last heartbeat sent.
    last_sequence: u64,
}

impl EntryControl {
    pub fn new(shared: Shared, socket: Arc<UdpSocket>, owner_link: SocketAddr) -> Self {
        let membership = Membership::new(shared.settings.heartbeat_timing());
        Self {
            shared,
            socket,
            owner_link,
            membership,
            bundle_order: BundleOrder::default(),
            bundle: None,
            in_flight_counters: IndexMap::new(),
            services_by_address: IndexMap::new(),
            last_sequence: 0,
        }
    }

    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Sends the heartbeats that are due and records the time, by which traffic threads detect a
    /// stall.
    fn tick(&mut self) {
        let now = self.now();
        self.shared.control_tick_ms.store(now.0, Ordering::Relaxed);
        let actions = self.membership.tick(now);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<MembershipAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::SendHeartbeat(address) => self.send_heartbeat(address),
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
            self.publish_snapshot();
        }
    }

    fn send_heartbeat(&mut self, address: SocketAddr) {
        self.last_sequence += 1;
        let now = self.now();
        let suspects = self.shared.policies.suspects().suspects_to_send(now);
        let backlog = self
            .services_by_address
            .get(&address)
            .and_then(|service| self.shared.backlog.load().get(service).copied());
        let leaving = self.shared.is_leaving();
        let heartbeat = Heartbeat::Entry(EntryHeartbeat {
            entry: self.shared.settings.entry.clone(),
            sequence: self.last_sequence,
            owner_link: self.owner_link,
            bundle: self.bundle_order.number(),
            backlog: backlog.unwrap_or(0).min(u64::from(u32::MAX)) as u32,
            presence: if leaving { Presence::Leaving } else { Presence::Serving },
            suspects,
        });
        if let Ok(datagram) = encode_heartbeat(&heartbeat, &self.shared.secrets) {
            self.shared.metrics.add("entry.beat_bytes_sent", datagram.len() as u64);
            // A failed send is not repeated: the next heartbeat carries the same state.
            let _result = self.socket.send_to(&datagram, address);
        }
    }

    /// Publishes the routes, the bundle in force and the readiness for the traffic threads.
    fn publish_snapshot(&mut self) {
        let mut routes: IndexMap<ServiceName, Vec<EndpointRoute>> = IndexMap::new();
        let routable = self.membership.routable();
        for peer in routable {
            let Some(route) = build_route(peer, &mut self.in_flight_counters, &self.shared) else {
                continue;
            };
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

/// Returns the route to a side's endpoint, or none before its first heartbeat.
fn build_route(
    peer: &Peer,
    in_flight_counters: &mut IndexMap<EndpointName, Arc<AtomicU32>>,
    shared: &Shared,
) -> Option<EndpointRoute> {
    let heartbeat = peer.heartbeat.as_ref()?;
    let endpoint = heartbeat.endpoint.clone();
    let in_flight = in_flight_counters.entry(endpoint.clone()).or_default().clone();
    Some(EndpointRoute {
        name_hash: stable_hash(endpoint.as_str().as_bytes(), 0),
        near: heartbeat.zone == shared.settings.zone,
        models: heartbeat.models.clone(),
        load: heartbeat.load.clone(),
        address: peer.listed.address,
        endpoint,
        in_flight,
    })
}

impl Actor for EntryControl {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(65_536);
        cx.run_interval(TICK_INTERVAL, |control, _| control.tick());
    }
}

/// Records a heartbeat from a side.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SideHeartbeatReceived {
    pub heartbeat: SideHeartbeat,
}

impl Handler<SideHeartbeatReceived> for EntryControl {
    type Result = ();

    fn handle(&mut self, message: SideHeartbeatReceived, _: &mut Self::Context) {
        let now = self.now();
        let has_new_suspects =
            self.shared.policies.suspects().merge(&message.heartbeat.suspects, now);
        self.bundle_order.record_known_number(message.heartbeat.bundle);
        self.shared.heartbeat_received.store(true, Ordering::Relaxed);
        if self.bundle_order.is_behind() {
            self.shared.bundle_refresh.notify_one();
        }
        let actions = self.membership.record_heartbeat(message.heartbeat, now);
        self.apply_actions(actions);
        if has_new_suspects {
            self.membership.schedule_heartbeats_now(now);
            self.tick();
        }
        // Most heartbeats change a load or a model list, so the snapshot is always published.
        self.publish_snapshot();
    }
}

/// Applies a new VM list: chooses the entry's subset of the endpoints again.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct VmListChanged {
    pub vms: Vec<Vm>,
}

impl Handler<VmListChanged> for EntryControl {
    type Result = ();

    fn handle(&mut self, message: VmListChanged, _: &mut Self::Context) {
        let own_place = EntryPlace {
            entry: self.shared.settings.entry.clone(),
            zone: self.shared.settings.zone.clone(),
        };
        let entries = live_entries(&message.vms);
        let mut places = Vec::new();
        let mut sides = Vec::new();
        for vm in message.vms.into_iter().filter(|vm| vm.role == VmRole::Endpoint) {
            let Some(service) = vm.service else { continue };
            let place =
                EndpointPlace { endpoint: EndpointName::new(vm.name), zone: vm.zone, service };
            let leaving = vm.state == VmState::Leaving;
            places.push(place.clone());
            sides.push(ListedSide { place, address: vm.address, leaving });
        }
        let chosen =
            choose_subset(&own_place, &entries, &places, self.shared.settings.subset_sizes());
        let subset: Vec<ListedSide> = chosen.into_iter().map(|i| sides[i].clone()).collect();
        self.services_by_address =
            subset.iter().map(|s| (s.address, s.place.service.clone())).collect();
        let now = self.now();
        self.membership.apply_list(subset, now);
        self.in_flight_counters.retain(|name, _| self.membership.contains(name));
        self.shared.policies.ejector().retain(|name| self.membership.contains(name));
        self.publish_snapshot();
    }
}

/// Returns the entries whose VMs are live.
pub(crate) fn live_entries(vms: &[Vm]) -> Vec<EntryPlace> {
    vms.iter()
        .filter(|vm| vm.role == VmRole::Entry && vm.state == VmState::Live)
        .map(|vm| EntryPlace { entry: EntryName::new(&vm.name), zone: vm.zone.clone() })
        .collect()
}

/// Records that a link to a side failed and sends it a heartbeat at once. A side that does not
/// answer that one either is lost.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkFailureReported {
    pub endpoint: EndpointName,
}

impl Handler<LinkFailureReported> for EntryControl {
    type Result = ();

    fn handle(&mut self, message: LinkFailureReported, _: &mut Self::Context) {
        let now = self.now();
        self.membership.record_link_failure(&message.endpoint, now);
        self.tick();
    }
}

/// Passes on suspects that a traffic thread or an owner link received: sends them to every side.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SuspectsReported {
    pub suspects: Vec<Suspect>,
}

impl Handler<SuspectsReported> for EntryControl {
    type Result = ();

    fn handle(&mut self, message: SuspectsReported, _: &mut Self::Context) {
        let now = self.now();
        // The result of the merge is ignored: the reporter merges the suspects itself before it
        // retries, so the table usually holds them already, but the sides have not been told.
        self.shared.policies.suspects().merge(&message.suspects, now);
        self.membership.schedule_heartbeats_now(now);
        self.tick();
    }
}

/// Sends a heartbeat to every side without waiting for the interval, and publishes the snapshot.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SendHeartbeatsNow;

impl Handler<SendHeartbeatsNow> for EntryControl {
    type Result = ();

    fn handle(&mut self, _: SendHeartbeatsNow, _: &mut Self::Context) {
        let now = self.now();
        self.membership.schedule_heartbeats_now(now);
        self.tick();
        self.publish_snapshot();
    }
}

/// Asks whether a bundle that the store reports is to be loaded, skipped or rejected.
#[derive(Message)]
#[rtype(result = "BundleVerdict")]
pub(crate) struct ClassifyBundle {
    pub seen: BundleVersion,
}

impl Handler<ClassifyBundle> for EntryControl {
    type Result = MessageResult<ClassifyBundle>;

    fn handle(&mut self, message: ClassifyBundle, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.bundle_order.classify(&message.seen))
    }
}

/// Puts a loaded bundle in force unless a newer one already is. Returns whether it was put in
/// force.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct ActivateBundle {
    pub loaded: LoadedBundle,
}

impl Handler<ActivateBundle> for EntryControl {
    type Result = bool;

    fn handle(&mut self, message: ActivateBundle, _: &mut Self::Context) -> bool {
        let loaded = message.loaded;
        let seen = BundleVersion { number: loaded.number, digest: loaded.digest.clone() };
        if !self.bundle_order.put_in_force(seen) {
            log_event!(info, Event::BundleStale, number = loaded.number);
            return false;
        }
        let now = self.now();
        log_event!(info, Event::BundleInForce, number = loaded.number, digest = %loaded.digest);
        self.shared.policies.client_rate_limiter().apply_bundle(&loaded.bundle, now);
        self.bundle = Some(loaded);
        self.membership.schedule_heartbeats_now(now);
        self.tick();
        self.publish_snapshot();
        true
    }
}

/// Requests the state of every side, for operators.
#[derive(Message)]
#[rtype(result = "Vec<SideView>")]
pub(crate) struct ListSides;

/// State of one side as the entry last saw it, shown on the status page.
#[derive(Debug, Clone, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct SideView {
    pub endpoint: EndpointName,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub live: bool,
    /// None before the first heartbeat.
    pub presence: Option<Presence>,
    /// Highest bundle number known to the side.
    pub bundle: u64,
    /// Highest bundle number that the endpoint has carried out.
    pub bundle_done: u64,
    /// Online requests that the endpoint has admitted or queued.
    pub online: u16,
    /// Batch items that run at the endpoint.
    pub batch: u16,
    /// Concurrency limit of the endpoint.
    pub limit: u16,
    /// Whether the VM list shows the VM as leaving.
    pub vm_leaving: bool,
}

impl Handler<ListSides> for EntryControl {
    type Result = MessageResult<ListSides>;

    fn handle(&mut self, _: ListSides, _: &mut Self::Context) -> Self::Result {
        let views = self.membership.peers().map(|peer| {
            let heartbeat = peer.heartbeat.as_ref();
            SideView {
                endpoint: peer.listed.place.endpoint.clone(),
                service: peer.listed.place.service.clone(),
                address: peer.listed.address,
                live: peer.is_live(),
                presence: heartbeat.map(|h| h.presence),
                bundle: heartbeat.map_or(0, |h| h.bundle),
                bundle_done: heartbeat.map_or(0, |h| h.bundle_done),
                online: heartbeat.map_or(0, |h| h.load.online),
                batch: heartbeat.map_or(0, |h| h.load.batch),
                limit: heartbeat.map_or(0, |h| h.load.limit),
                vm_leaving: peer.listed.leaving,
            }
        });
        MessageResult(views.collect())
    }
}
