//! Heartbeats between processes that dispatch to endpoints without sides. They tell which processes
//! run, which one owns the batch jobs, and how many requests each has in flight at each endpoint.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use crate::auth::SecretKeyring;
use crate::closed_set;
use crate::error::ProtocolError;
use crate::heartbeat::Suspect;
use crate::limit::SeenLimit;
use crate::name::EntryName;
use crate::name::ZoneName;
use crate::value_type;

closed_set! {
    /// The role of a process.
    pub enum PeerRole {
        /// The process takes callers' requests.
        Entry,
        /// The process may take the lease on the batch jobs.
        Owner,
    }
}

value_type! {
    /// The load that one process puts on one endpoint.
    pub struct EndpointLoad {
        /// Key of the endpoint, as returned by [`crate::endpoint::load_key`].
        pub endpoint: u64,
        /// Online requests in flight.
        pub online: u16,
        /// Batch items in flight.
        pub batch: u16,
    }
}

value_type! {
    /// The lease on the batch jobs, as the process that holds it announces it.
    pub struct OwnerClaim {
        /// Term of the lease; each new owner has a higher one.
        pub term: u64,
        /// Revision of the lease at its last renewal.
        pub revision: u64,
        /// Time since the last renewal, in milliseconds.
        pub renewed_ms_ago: u64,
        /// Whether the process has loaded the jobs and answers calls on them.
        pub serving: bool,
    }
}

value_type! {
    /// A process, with the address at which its peers reach it.
    pub struct Member {
        /// Name of the process.
        pub name: EntryName,
        /// Role of the process.
        pub role: PeerRole,
        /// Address for datagrams and links.
        pub address: SocketAddr,
    }
}

value_type! {
    /// A heartbeat, sent as one datagram.
    pub struct PeerHeartbeat {
        /// The sender.
        pub member: Member,
        /// Number drawn at the sender's start, which tells a restart from the process before it.
        pub incarnation: u64,
        /// Number that rises with each datagram of one incarnation.
        pub sequence: u64,
        /// Time until the sender's next datagram to the same receiver, in milliseconds.
        pub next_ms: u64,
        /// Version of the configuration in force at the sender; zero if there is none yet.
        pub version: u64,
        /// Number of times that the store answered the sender again after an outage.
        #[serde(rename = "store_returns")]
        pub store_recoveries: u64,
        /// Lease on the batch jobs; `None` if the sender does not hold it.
        pub owner: Option<OwnerClaim>,
        /// Load of the sender by endpoint; endpoints without load are left out.
        pub loads: Vec<EndpointLoad>,
        /// Requests suspected of crashing endpoints.
        pub suspects: Vec<Suspect>,
    }
}

value_type! {
    /// A crash of an endpoint under a request, as one process knows it.
    pub struct SeenCrash {
        /// The low half of the endpoint's key, as returned by [`crate::endpoint::load_key`].
        pub endpoint: u32,
        /// Time since the request was sent there, in milliseconds.
        pub sent_ms_ago: u32,
        /// Time since the run broke, in milliseconds.
        pub broke_ms_ago: u32,
        /// Whether the endpoint refused connections then.
        pub is_refused: bool,
    }
}

value_type! {
    /// What the sender of a heartbeat knows of one of its suspects.
    pub struct SuspectDetail {
        /// Crashes in a row, the oldest first.
        pub crashes: Vec<SeenCrash>,
        /// Whether the service completed another request between two of them.
        pub is_proven: bool,
        /// Time since the request last completed somewhere, in milliseconds.
        pub completed_ms_ago: Option<u32>,
        /// Runs that were claimed since the request was convicted.
        pub trials: u8,
        /// Time since the last of them began, in milliseconds.
        pub last_trial_ms_ago: Option<u32>,
    }
}

value_type! {
    /// Where the sender of a heartbeat runs, and what it has seen there of the store.
    pub struct PeerPlace {
        /// Availability zone of its VM.
        pub zone: ZoneName,
        /// Revision of the last change of endpoints that its watch brought; zero before the first.
        pub endpoints_changed: u64,
    }
}

value_type! {
    #[derive(Copy)]
    /// What the callers of one client account use at the sender of a heartbeat.
    pub struct AccountUsage {
        /// The account, as returned by [`crate::account::account_id`].
        pub account: u32,
        /// Requests of the account that the sender has counted against the rate since its start, less
        /// those that were given back. It wraps around.
        pub taken: u32,
        /// Online requests of the account in progress at the sender.
        pub in_flight: u16,
    }
}

value_type! {
    #[derive(Copy)]
    /// Requests of one client account that the sender of a heartbeat has refused for its fair share.
    pub struct AccountRefusals {
        /// Low half of the stable hash of the service's name.
        pub service: u32,
        /// The account, as returned by [`crate::account::account_id`].
        pub account: u32,
        /// Refused requests that would be in flight now.
        pub requests: u16,
    }
}

value_type! {
    #[derive(Copy)]
    /// How slow the sender of a heartbeat has seen an endpoint to be since it last told it.
    pub struct EndpointSlowness {
        /// The endpoint, as returned by [`crate::endpoint::EndpointRecord::speed_key`].
        pub endpoint: u32,
        /// Natural logarithm of the time that it took, relative to the other endpoints of its service,
        /// in hundredths.
        pub log: i8,
        /// Number of responses seen.
        pub weight: u8,
    }
}

/// Times until the latest start by which waiting requests are counted, in milliseconds; the last one is
/// longer than callers wait.
pub const WAITING_BOUNDS_MS: [u64; 8] = [125, 250, 500, 1_000, 2_000, 4_000, 8_000, 64_000];

/// Numbers of waiting requests, each of those that must begin before its bound and not before the last one.
pub type WaitingCounts = [u16; WAITING_BOUNDS_MS.len()];

value_type! {
    #[derive(Copy)]
    /// Requests of one service that wait at the sender of a heartbeat for an endpoint with room.
    pub struct ServiceWaiting {
        /// Low half of the stable hash of the service's name.
        pub service: u32,
        /// How many must begin by when.
        pub counts: WaitingCounts,
    }
}

/// A heartbeat and what stands behind it in the same datagram, which earlier builds don't read.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerDatagram {
    /// The heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// Details of the heartbeat's suspects, in their order. Empty from earlier builds.
    pub details: Vec<SuspectDetail>,
    /// Fingerprints of those suspects that are parts of prompts. Empty from earlier builds.
    pub parts: Vec<u64>,
    /// Limits of endpoints that have changed lately. Empty from earlier builds.
    pub limits: Vec<SeenLimit>,
    /// Where the sender runs. `None` from earlier builds.
    pub place: Option<PeerPlace>,
    /// Client accounts whose use changed lately, and some of the others in turn. Empty from earlier builds.
    pub accounts: Vec<AccountUsage>,
    /// Client accounts with requests refused lately. Empty from earlier builds.
    pub refused: Vec<AccountRefusals>,
    /// Speeds of a few endpoints. Empty from earlier builds.
    pub slowness: Vec<EndpointSlowness>,
    /// What waits at the sender. Empty from earlier builds.
    pub waiting: Vec<ServiceWaiting>,
}

/// Encodes and signs a heartbeat as a datagram.
pub fn encode_peer_datagram(
    datagram: &PeerDatagram,
    secrets: &SecretKeyring,
) -> Result<Vec<u8>, ProtocolError> {
    let mut payload = postcard::to_stdvec(&datagram.heartbeat)?;
    let PeerDatagram {
        details, parts, limits, place, accounts, refused, slowness, waiting, ..
    } = datagram;
    // A list is written if one behind it is, since lists are told apart by their position.
    let has_slowness = !(slowness.is_empty() && waiting.is_empty());
    let has_refused = has_slowness || !refused.is_empty();
    let has_accounts = has_refused || !accounts.is_empty();
    let has_places = has_accounts || place.is_some();
    let has_lists = !(details.is_empty() && parts.is_empty() && limits.is_empty());
    if has_places || has_lists {
        payload.extend(postcard::to_stdvec(details)?);
        payload.extend(postcard::to_stdvec(parts)?);
        payload.extend(postcard::to_stdvec(limits)?);
    }
    if has_places {
        let places: Vec<&PeerPlace> = place.iter().collect();
        payload.extend(postcard::to_stdvec(&places)?);
    }
    if has_accounts {
        payload.extend(postcard::to_stdvec(accounts)?);
    }
    if has_refused {
        payload.extend(postcard::to_stdvec(refused)?);
    }
    if has_slowness {
        payload.extend(postcard::to_stdvec(slowness)?);
    }
    if !waiting.is_empty() {
        payload.extend(postcard::to_stdvec(waiting)?);
    }
    Ok(secrets.sign_datagram(&payload))
}

/// Verifies and decodes a heartbeat.
pub fn decode_peer_datagram(
    datagram: &[u8],
    secrets: &SecretKeyring,
) -> Result<PeerDatagram, ProtocolError> {
    let payload = secrets.verify_datagram(datagram)?;
    let (heartbeat, rest) = postcard::take_from_bytes(payload)?;
    let (details, rest) = take_list(rest)?;
    let (parts, rest) = take_list(rest)?;
    let (limits, rest) = take_list(rest)?;
    let (mut places, rest): (Vec<PeerPlace>, _) = take_list(rest)?;
    let (accounts, rest) = take_list(rest)?;
    let (refused, rest) = take_list(rest)?;
    let (slowness, rest) = take_list(rest)?;
    let (waiting, _later) = take_list(rest)?;
    let place = places.pop();
    Ok(PeerDatagram {
        heartbeat,
        details,
        parts,
        limits,
        place,
        accounts,
        refused,
        slowness,
        waiting,
    })
}

/// Decodes a list and returns what stands behind it. Where an earlier build ends, the list is empty.
fn take_list<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Vec<T>, &[u8]), ProtocolError> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    Ok(postcard::take_from_bytes(bytes)?)
}
