//! Finds the other processes by the platform's store and exchanges datagrams with them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use rand::Rng;
use tokio::net::UdpSocket;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::Store;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::heartbeat_interval::HeartbeatReceiver;
use mulberry_policy::heartbeat_interval::HeartbeatSender;
use mulberry_policy::heartbeat_interval::MIN_HEARTBEAT_INTERVAL_MS;
use mulberry_policy::heartbeat_interval::heartbeat_interval_ms;
use mulberry_policy::heartbeat_interval::load_ttl_ms;
use mulberry_policy::occupancy::LoadReport;
use mulberry_policy::store_budget::CallClass;
use mulberry_policy::watch_renewal::StoreReport;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::MAX_DATAGRAM_BYTES;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::Member;
use mulberry_protocol::peer::OwnerClaim;
use mulberry_protocol::peer::PeerHeartbeat;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::peer::decode_peer_heartbeat;
use mulberry_protocol::peer::encode_peer_heartbeat;

use crate::shared::Peer;
use crate::shared::SharedState;

/// Time between lists of the members, in milliseconds.
const RELIST_MS: u64 = 30_000;

/// Wait after a failed call, in milliseconds.
const RETRY_MS: u64 = 300;

/// Key of the secret that peers share.
const SECRET_KEY: &str = "secrets/peers";

/// Start of the keys of members.
const MEMBER_PREFIX: &str = "members/";

/// Bytes of the shared secret.
const SECRET_BYTES: usize = 24;

/// Returns this process as peers reach it.
pub fn own_member(fleet: &SharedState, role: PeerRole) -> Member {
    Member { name: fleet.settings.name.clone(), role, address: fleet.settings.advertised }
}

/// Registers the process and keeps the list of its peers, until the process stops.
pub async fn join_peers(fleet: Arc<SharedState>, store: Store, role: PeerRole) {
    let retry = Duration::from_millis(RETRY_MS);
    while let Err(e) = read_secret(&fleet, &store).await {
        log_event!(debug, Event::StoreFailed, error = %e, what = "secret");
        tokio::time::sleep(retry).await;
    }
    let own = own_member(&fleet, role);
    while let Err(e) = register(&store, &own).await {
        log_event!(debug, Event::StoreFailed, error = %e, what = "member");
        tokio::time::sleep(retry).await;
    }
    loop {
        let listed = store.list_all(CallClass::Lease, MEMBER_PREFIX, true).await;
        let wait_ms = match listed {
            Ok((objects, _)) => {
                for object in &objects {
                    match parse_json::<Member>(object) {
                        Ok(member) => note_member(&fleet, member),
                        Err(e) => log_event!(warn, Event::PeerUnreadable, error = %e),
                    }
                }
                RELIST_MS
            }
            Err(_) => RETRY_MS,
        };
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

async fn read_secret(fleet: &SharedState, store: &Store) -> Result<(), PlatformError> {
    let found = store.read_json::<String>(CallClass::Lease, SECRET_KEY).await?;
    let text = match found {
        Some((text, _)) => text,
        None => {
            let drawn: [u8; SECRET_BYTES] = rand::rng().random();
            let text: String = drawn.iter().map(|b| format!("{b:02x}")).collect();
            match store.create(CallClass::Lease, SECRET_KEY, to_json(&text)?).await? {
                WriteOutcome::Written(_) => text,
                WriteOutcome::Conflict(Some(object)) => parse_json(&object)?,
                WriteOutcome::Conflict(None) => {
                    let detail = "the secret vanished".to_owned();
                    return Err(PlatformError::BadAnswer { call: "read", detail });
                }
            }
        }
    };
    let ring = SecretKeyring::parse(&text)
        .map_err(|e| PlatformError::BadAnswer { call: "read", detail: e.to_string() })?;
    fleet.secrets.store(Some(Arc::new(ring)));
    Ok(())
}

async fn register(store: &Store, own: &Member) -> Result<(), PlatformError> {
    let key = format!("{MEMBER_PREFIX}{}", own.name);
    let value: Bytes = to_json(own)?;
    match store.create(CallClass::Lease, &key, value.clone()).await? {
        WriteOutcome::Conflict(Some(object)) if object.value != value => {
            store.update(CallClass::Lease, &key, value, object.version).await.map(|_| ())
        }
        _ => Ok(()),
    }
}

fn note_member(fleet: &SharedState, member: Member) {
    if member.name == fleet.settings.name {
        return;
    }
    let mut peers = fleet.peers();
    if peers.get(&member.name).is_some_and(|p| p.member == member) {
        return;
    }
    log_event!(info, Event::PeerFound, peer = %member.name, address = %member.address);
    let peer = Peer { member: member.clone(), heard_at: None, owner: None };
    peers.insert(member.name, peer);
}

/// Receives datagrams until the process stops; `tell` gets each claim to own the batch jobs.
pub async fn receive_beats(
    fleet: Arc<SharedState>,
    socket: Arc<UdpSocket>,
    mut tell: impl FnMut(&OwnerClaim),
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
    loop {
        // An error reports an earlier datagram that did not arrive.
        let Ok((bytes, from)) = socket.recv_from(&mut buf).await else { continue };
        let Some(secrets) = fleet.secrets.load_full() else { continue };
        match decode_peer_heartbeat(&buf[..bytes], &secrets) {
            Ok(beat) => {
                take_beat(&fleet, &beat);
                if let Some(claim) = &beat.owner {
                    tell(claim);
                }
            }
            Err(e) => {
                fleet.metrics.count_reason("direct.datagrams_refused", "invalid");
                log_event!(debug, Event::DatagramRefused, %from, error = %e);
            }
        }
    }
}

fn take_beat(fleet: &SharedState, beat: &PeerHeartbeat) {
    let now = fleet.clock.now();
    note_member(fleet, beat.member.clone());
    let name = &beat.member.name;
    let (incarnation, returns, version) = (beat.incarnation, beat.store_recoveries, beat.version);
    fleet.note_store_told(name, StoreReport { incarnation, returns, version });
    let told = LoadReport {
        incarnation,
        sequence: beat.sequence,
        ttl_ms: load_ttl_ms(beat.next_ms),
        loads: &beat.loads,
    };
    fleet.occupancy().note_report(name, told, now);
    if let Some(peer) = fleet.peers().get_mut(name) {
        peer.heard_at = Some(now);
        peer.owner = beat.owner.clone();
    }
}

/// Sends datagrams until the process stops; `claim` tells what to say of the batch jobs.
pub async fn send_beats(
    fleet: Arc<SharedState>,
    store: Store,
    socket: Arc<UdpSocket>,
    role: PeerRole,
    claim: impl Fn() -> Option<OwnerClaim>,
) {
    let member = own_member(&fleet, role);
    let incarnation = rand::rng().random();
    let mut sequence = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(MIN_HEARTBEAT_INTERVAL_MS)).await;
        let (returns, version) = (store.recoveries(), fleet.version());
        fleet.note_store_told(&member.name, StoreReport { incarnation, returns, version });
        let Some(secrets) = fleet.secrets.load_full() else { continue };
        sequence += 1;
        let mut beat = PeerHeartbeat {
            member: member.clone(),
            incarnation,
            sequence,
            next_ms: MIN_HEARTBEAT_INTERVAL_MS,
            version,
            store_recoveries: returns,
            owner: claim(),
            loads: fleet.occupancy().own_loads(),
            suspects: Vec::new(),
        };
        for (next_ms, addresses) in due_receivers(&fleet, &beat) {
            beat.next_ms = next_ms;
            match encode_peer_heartbeat(&beat, &secrets) {
                Ok(datagram) => addresses.into_iter().for_each(|address| {
                    // A datagram that can't be sent is like one that is lost.
                    let _unsent = socket.try_send_to(&datagram, address);
                }),
                Err(e) => log_event!(error, Event::DatagramRefused, error = %e),
            }
        }
    }
}

/// Returns the peers that get this datagram, by the time until their next one.
fn due_receivers(fleet: &SharedState, beat: &PeerHeartbeat) -> IndexMap<u64, Vec<SocketAddr>> {
    let now = fleet.clock.now();
    let peers = fleet.peers();
    let sender = HeartbeatSender {
        role: beat.member.role,
        owns_jobs: beat.owner.is_some(),
        entries: peers.values().filter(|p| p.member.role == PeerRole::Entry).count(),
    };
    let mut due: IndexMap<u64, Vec<SocketAddr>> = IndexMap::new();
    for (index, peer) in peers.values().enumerate() {
        let receiver = HeartbeatReceiver {
            role: peer.member.role,
            owns_jobs: peer.owner.is_some(),
            silent_ms: peer.heard_at.map(|at| now.since(at)),
        };
        let interval_ms = heartbeat_interval_ms(sender, receiver);
        // Peers with the same interval take turns.
        if (beat.sequence + index as u64).is_multiple_of(interval_ms / MIN_HEARTBEAT_INTERVAL_MS) {
            due.entry(interval_ms).or_default().push(peer.member.address);
        }
    }
    due
}

/// Age from which a claim to own the batch jobs is not followed, in milliseconds.
const CLAIM_TTL_MS: u64 = 1_200;

/// Age from which a process that stands by is not trusted to keep copies, in milliseconds.
const STANDBY_TTL_MS: u64 = 1_000;

/// Returns the process that stands by after this one, in the order of their names.
pub fn find_standby(fleet: &SharedState) -> Option<SocketAddr> {
    let now = fleet.clock.now();
    let peers = fleet.peers();
    let own = &fleet.settings.name;
    let heard = |p: &&Peer| p.heard_at.is_some_and(|at| now.since(at) < STANDBY_TTL_MS);
    let standbys = peers.values().filter(heard).filter(|p| p.member.role == PeerRole::Owner);
    let next = standbys.min_by_key(|p| (p.member.name < *own, p.member.name.clone()))?;
    Some(next.member.address)
}

/// Returns the peer that owns the batch jobs and serves them.
pub fn find_owner(fleet: &SharedState) -> Option<(EntryName, SocketAddr)> {
    let now = fleet.clock.now();
    let peers = fleet.peers();
    let fresh = |p: &&Peer| p.heard_at.is_some_and(|at| now.since(at) < CLAIM_TTL_MS);
    let owner = peers
        .values()
        .filter(fresh)
        .filter(|p| p.owner.as_ref().is_some_and(|o| o.serving))
        .max_by_key(|p| p.owner.as_ref().map(|o| o.term))?;
    Some((owner.member.name.clone(), owner.member.address))
}
