//! Discovers the other processes through the platform's store and exchanges heartbeats with them
//! as UDP datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
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
use mulberry_policy::account_usage::UsageReport;
use mulberry_policy::crash_suspects::SuspectSender;
use mulberry_policy::crash_suspects::ToldSuspect;
use mulberry_policy::crash_suspects::told_suspects;
use mulberry_policy::heartbeat_interval::HeartbeatReceiver;
use mulberry_policy::heartbeat_interval::HeartbeatSender;
use mulberry_policy::heartbeat_interval::MIN_HEARTBEAT_INTERVAL_MS;
use mulberry_policy::heartbeat_interval::heartbeat_interval_ms;
use mulberry_policy::heartbeat_interval::load_ttl_ms;
use mulberry_policy::occupancy::LoadReport;
use mulberry_policy::store_budget::CallClass;
use mulberry_policy::watch_renewal::Known;
use mulberry_policy::watch_renewal::StoreReport;
use mulberry_protocol::account_rate::RateMessage;
use mulberry_protocol::account_rate::decode_rate_message;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::error::ProtocolError;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::MAX_DATAGRAM_BYTES;
use mulberry_protocol::limit::LimitMessage;
use mulberry_protocol::limit::decode_limit_message;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::Member;
use mulberry_protocol::peer::OwnerClaim;
use mulberry_protocol::peer::PeerDatagram;
use mulberry_protocol::peer::PeerHeartbeat;
use mulberry_protocol::peer::PeerPlace;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::peer::decode_peer_datagram;
use mulberry_protocol::peer::encode_peer_datagram;
use mulberry_protocol::stream_origin::StreamMessage;
use mulberry_protocol::stream_origin::decode_stream_message;

use crate::shared::Peer;
use crate::shared::SharedState;

/// Interval at which the members are listed from the store, in milliseconds.
const RELIST_INTERVAL_MS: u64 = 30_000;

/// Delay after a failed call to the store, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;

/// Store key of the secret that all peers share.
const SECRET_KEY: &str = "secrets/peers";

/// Prefix of the store keys under which processes register themselves.
const MEMBER_PREFIX: &str = "members/";

/// Length of the shared secret, in bytes.
const SECRET_BYTES: usize = 24;

/// Returns the record under which peers find this process.
pub fn own_member(shared: &SharedState, role: PeerRole) -> Member {
    Member { name: shared.settings.name.clone(), role, address: shared.settings.advertised }
}

/// Loads or creates the shared secret, registers the process, and then keeps the table of peers up
/// to date until the process stops.
pub async fn maintain_membership(shared: Arc<SharedState>, store: Store, role: PeerRole) {
    let retry = Duration::from_millis(RETRY_DELAY_MS);
    while let Err(e) = load_or_create_secret(&shared, &store).await {
        log_event!(debug, Event::StoreFailed, error = %e, what = "secret");
        tokio::time::sleep(retry).await;
    }
    let own = own_member(&shared, role);
    while let Err(e) = register_member(&store, &own).await {
        log_event!(debug, Event::StoreFailed, error = %e, what = "member");
        tokio::time::sleep(retry).await;
    }
    loop {
        let listed = store.list_all(CallClass::Lease, MEMBER_PREFIX, true).await;
        let delay_ms = match listed {
            Ok((objects, _)) => {
                for object in &objects {
                    match parse_json::<Member>(object) {
                        Ok(member) => add_peer(&shared, member),
                        Err(e) => log_event!(warn, Event::PeerUnreadable, error = %e),
                    }
                }
                shared.has_listed_members.store(true, Ordering::Relaxed);
                RELIST_INTERVAL_MS
            }
            Err(_) => RETRY_DELAY_MS,
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn load_or_create_secret(shared: &SharedState, store: &Store) -> Result<(), PlatformError> {
    let found = store.read_json::<String>(CallClass::Lease, SECRET_KEY).await?;
    let text = match found {
        Some((text, _)) => text,
        None => {
            let random: [u8; SECRET_BYTES] = rand::rng().random();
            let text: String = random.iter().map(|b| format!("{b:02x}")).collect();
            match store.create(CallClass::Lease, SECRET_KEY, to_json(&text)?).await? {
                WriteOutcome::Written(_) => text,
                WriteOutcome::Conflict(Some(object)) => parse_json(&object)?,
                WriteOutcome::Conflict(None) => {
                    let detail = "the shared secret was deleted while it was created".to_owned();
                    return Err(PlatformError::BadAnswer { call: "read", detail });
                }
            }
        }
    };
    let keyring = SecretKeyring::parse(&text)
        .map_err(|e| PlatformError::BadAnswer { call: "read", detail: e.to_string() })?;
    shared.secrets.store(Some(Arc::new(keyring)));
    Ok(())
}

async fn register_member(store: &Store, own: &Member) -> Result<(), PlatformError> {
    let key = format!("{MEMBER_PREFIX}{}", own.name);
    let value: Bytes = to_json(own)?;
    match store.create(CallClass::Lease, &key, value.clone()).await? {
        WriteOutcome::Conflict(Some(object)) if object.value != value => {
            store.update(CallClass::Lease, &key, value, object.version).await.map(|_| ())
        }
        _ => Ok(()),
    }
}

fn add_peer(shared: &SharedState, member: Member) {
    if member.name == shared.settings.name {
        return;
    }
    let mut peers = shared.peers();
    if peers.get(&member.name).is_some_and(|p| p.member == member) {
        return;
    }
    log_event!(info, Event::PeerFound, peer = %member.name, address = %member.address);
    let found_at = shared.clock.now();
    let peer = Peer { member: member.clone(), zone: None, found_at, heard_at: None, owner: None };
    peers.insert(member.name, peer);
}

/// Receives heartbeats until the process stops, and passes each claim to own the batch jobs to
/// `on_claim`.
pub async fn receive_heartbeats(
    shared: Arc<SharedState>,
    socket: Arc<UdpSocket>,
    mut on_claim: impl FnMut(&OwnerClaim),
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
    let _set_before = shared.datagrams.set(socket.clone());
    loop {
        // A receive error only reports that an earlier outgoing datagram was not delivered.
        let Ok((bytes, from)) = socket.recv_from(&mut buf).await else { continue };
        let Some(secrets) = shared.secrets.load_full() else { continue };
        match decode_datagram(&buf[..bytes], &secrets) {
            Ok(Datagram::Heartbeat(datagram)) => {
                apply_heartbeat(&shared, &datagram);
                if let Some(claim) = &datagram.heartbeat.owner {
                    on_claim(claim);
                }
            }
            Ok(Datagram::Stream(message)) => shared.apply_stream_message(message),
            Ok(Datagram::Limit(message)) => shared.apply_limit_message(message),
            Ok(Datagram::Rate(message)) => shared.apply_rate_message(message),
            Err(e) => {
                shared.metrics.count_reason("direct.datagrams_refused", "invalid");
                log_event!(debug, Event::DatagramRefused, %from, error = %e);
            }
        }
    }
}

/// A datagram of a peer.
enum Datagram {
    Heartbeat(PeerDatagram),
    Stream(StreamMessage),
    Limit(LimitMessage),
    Rate(RateMessage),
}

fn decode_datagram(bytes: &[u8], secrets: &SecretKeyring) -> Result<Datagram, ProtocolError> {
    let payload = secrets.verify_datagram(bytes)?;
    if let Some(message) = decode_stream_message(payload)? {
        return Ok(Datagram::Stream(message));
    }
    if let Some(message) = decode_limit_message(payload)? {
        return Ok(Datagram::Limit(message));
    }
    if let Some(message) = decode_rate_message(payload)? {
        return Ok(Datagram::Rate(message));
    }
    Ok(Datagram::Heartbeat(decode_peer_datagram(bytes, secrets)?))
}

fn apply_heartbeat(shared: &SharedState, datagram: &PeerDatagram) {
    let now = shared.clock.now();
    let heartbeat = &datagram.heartbeat;
    add_peer(shared, heartbeat.member.clone());
    let name = &heartbeat.member.name;
    let was_heard = shared.is_heard(name);
    let (incarnation, recoveries, version) =
        (heartbeat.incarnation, heartbeat.store_recoveries, heartbeat.version);
    let endpoints = datagram.place.as_ref().map_or(0, |p| p.endpoints_changed);
    let known = Known { version, endpoints };
    shared.record_store_report(name, StoreReport { incarnation, recoveries, known });
    let sender = SuspectSender { name: name.clone(), incarnation, sequence: heartbeat.sequence };
    let told = told_suspects(&heartbeat.suspects, &datagram.details, &datagram.parts);
    shared.merge_suspects(&sender, &told);
    shared.merge_limits(name, &datagram.limits);
    shared.merge_view(datagram);
    let report = LoadReport {
        incarnation,
        sequence: heartbeat.sequence,
        ttl_ms: load_ttl_ms(heartbeat.next_ms),
        loads: &heartbeat.loads,
    };
    shared.occupancy().record_report(name, report, now);
    let report = UsageReport {
        incarnation,
        sequence: heartbeat.sequence,
        ttl_ms: load_ttl_ms(heartbeat.next_ms),
        usages: &datagram.accounts,
    };
    shared.record_fair_share_refusals(
        name,
        &datagram.refused,
        now + load_ttl_ms(heartbeat.next_ms),
    );
    shared.record_waiting_of_peer(name, &datagram.waiting, now + load_ttl_ms(heartbeat.next_ms));
    shared.call_waiting();
    let taken = shared.account_usages().record_report(name, report, now);
    shared.record_taken_by_peer(&taken, was_heard);
    if let Some(peer) = shared.peers().get_mut(name) {
        peer.heard_at = Some(now);
        peer.zone = datagram.place.as_ref().map(|p| p.zone.clone());
        peer.owner = heartbeat.owner.clone();
    }
}

/// Sends heartbeats until the process stops. `claim` returns this process's claim to own the batch
/// jobs, if it has one.
pub async fn send_heartbeats(
    shared: Arc<SharedState>,
    store: Store,
    socket: Arc<UdpSocket>,
    role: PeerRole,
    claim: impl Fn() -> Option<OwnerClaim>,
) {
    let member = own_member(&shared, role);
    let incarnation = rand::rng().random();
    let mut sequence = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(MIN_HEARTBEAT_INTERVAL_MS)).await;
        shared.observe_entries();
        let (recoveries, version) = (store.recoveries(), shared.version());
        let endpoints_changed = shared.endpoints_changed();
        let known = Known { version, endpoints: endpoints_changed };
        shared.record_store_report(&member.name, StoreReport { incarnation, recoveries, known });
        let Some(secrets) = shared.secrets.load_full() else { continue };
        sequence += 1;
        let told = suspects_to_send(&shared);
        let heartbeat = PeerHeartbeat {
            member: member.clone(),
            incarnation,
            sequence,
            next_ms: MIN_HEARTBEAT_INTERVAL_MS,
            version,
            store_recoveries: recoveries,
            owner: claim(),
            loads: shared.occupancy().own_loads(),
            suspects: told.iter().map(|t| t.suspect.clone()).collect(),
        };
        let parts = told.iter().filter(|t| t.is_part).map(|t| t.suspect.fingerprint).collect();
        let details = told.into_iter().filter_map(|t| t.detail).collect();
        let limits = shared.limits().limits_to_tell(shared.clock.now());
        let place = PeerPlace { zone: shared.settings.zone.clone(), endpoints_changed };
        let place = Some(place);
        let accounts = shared.account_usages().usages_to_send(shared.clock.now());
        let refused = shared.fair_share_refusals();
        let slowness = shared.slowness_to_tell(&heartbeat);
        let waiting = shared.waiting_to_tell();
        let mut datagram = PeerDatagram {
            heartbeat,
            details,
            parts,
            limits,
            place,
            accounts,
            refused,
            slowness,
            waiting,
        };
        for (next_ms, addresses) in due_addresses_by_interval(&shared, &datagram.heartbeat) {
            datagram.heartbeat.next_ms = next_ms;
            match encode_peer_datagram(&datagram, &secrets) {
                Ok(datagram) => addresses.into_iter().for_each(|address| {
                    // A datagram that can't be sent is treated like one lost on the way.
                    let _unsent = socket.try_send_to(&datagram, address);
                }),
                Err(e) => log_event!(error, Event::DatagramRefused, error = %e),
            }
        }
    }
}

/// Returns the suspects for the next heartbeat, and forgets expired ones.
fn suspects_to_send(shared: &SharedState) -> Vec<ToldSuspect> {
    let now = shared.clock.now();
    let mut suspects = shared.crash_suspects();
    suspects.remove_expired(now);
    suspects.suspects_to_send(&mut rand::rng(), now)
}

/// Returns the addresses that receive this heartbeat, grouped by the interval in milliseconds until
/// their next one.
fn due_addresses_by_interval(
    shared: &SharedState,
    heartbeat: &PeerHeartbeat,
) -> IndexMap<u64, Vec<SocketAddr>> {
    let now = shared.clock.now();
    let peers = shared.peers();
    let is_near = |p: &Peer| p.zone.as_ref() == Some(&shared.settings.zone);
    let entries = || peers.values().filter(|p| p.member.role == PeerRole::Entry);
    let sender = HeartbeatSender {
        role: heartbeat.member.role,
        owns_jobs: heartbeat.owner.is_some(),
        entries: entries().count(),
        near_entries: entries().filter(|p| is_near(p)).count(),
    };
    let mut due: IndexMap<u64, Vec<SocketAddr>> = IndexMap::new();
    for (index, peer) in peers.values().enumerate() {
        let receiver = HeartbeatReceiver {
            role: peer.member.role,
            owns_jobs: peer.owner.is_some(),
            is_near: is_near(peer),
            silent_ms: peer.heard_at.map(|at| now.since(at)),
        };
        let interval_ms = heartbeat_interval_ms(sender, receiver);
        // The index staggers peers with the same interval over different heartbeats.
        if (heartbeat.sequence + index as u64)
            .is_multiple_of(interval_ms / MIN_HEARTBEAT_INTERVAL_MS)
        {
            due.entry(interval_ms).or_default().push(peer.member.address);
        }
    }
    due
}

/// Age at which a peer's claim to own the batch jobs is ignored, in milliseconds.
const OWNER_CLAIM_TTL_MS: u64 = 1_200;

/// Age of the last heartbeat at which a standby is no longer chosen to keep copies, in
/// milliseconds.
const STANDBY_TTL_MS: u64 = 1_000;

/// Returns the address of the standby that follows this process in the circular order of names.
pub fn find_standby(shared: &SharedState) -> Option<SocketAddr> {
    let now = shared.clock.now();
    let peers = shared.peers();
    let own = &shared.settings.name;
    let is_recent = |p: &&Peer| p.heard_at.is_some_and(|at| now.since(at) < STANDBY_TTL_MS);
    let standbys = peers.values().filter(is_recent).filter(|p| p.member.role == PeerRole::Owner);
    let next = standbys.min_by_key(|p| (p.member.name < *own, p.member.name.clone()))?;
    Some(next.member.address)
}

/// Returns the name and address of the peer that owns and serves the batch jobs. If several claim
/// it, the one with the highest term wins.
pub fn find_owner(shared: &SharedState) -> Option<(EntryName, SocketAddr)> {
    let now = shared.clock.now();
    let peers = shared.peers();
    let is_recent = |p: &&Peer| p.heard_at.is_some_and(|at| now.since(at) < OWNER_CLAIM_TTL_MS);
    let owner = peers
        .values()
        .filter(is_recent)
        .filter(|p| p.owner.as_ref().is_some_and(|o| o.serving))
        .max_by_key(|p| p.owner.as_ref().map(|o| o.term))?;
    Some((owner.member.name.clone(), owner.member.address))
}
