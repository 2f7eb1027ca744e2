//! Sends requests to endpoints that name a limit only with a permit, which one process gives for all.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::oneshot;

use mulberry_policy::endpoint_limits::EndpointLimits;
use mulberry_policy::endpoint_limits::OtherEntry;
use mulberry_policy::endpoint_limits::PermitGiver;
use mulberry_policy::endpoint_limits::own_share;
use mulberry_policy::endpoint_limits::permit_giver;
use mulberry_policy::heartbeat_interval::HeartbeatReceiver;
use mulberry_policy::heartbeat_interval::HeartbeatSender;
use mulberry_policy::heartbeat_interval::heartbeat_interval_ms;
use mulberry_policy::heartbeat_interval::load_ttl_ms;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::limit::LimitMessage;
use mulberry_protocol::limit::PermitClass;
use mulberry_protocol::limit::PermitDecision;
use mulberry_protocol::limit::SeenLimit;
use mulberry_protocol::limit::encode_limit_message;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::time::Millis;

use crate::endpoint_notice::NamedLimit;
use crate::shared::Peer;
use crate::shared::SharedState;
use crate::shared::lock;

/// Time for which a question waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time until an endpoint is asked for again after a question without an answer, in milliseconds.
const UNANSWERED_WAIT_MS: u64 = 100;

/// Unanswered questions in a row after which another process is asked.
const MAX_UNANSWERED: u32 = 2;

/// Time for which a process that does not answer is passed over, in milliseconds.
const PASS_OVER_MS: u64 = 1_000;

/// Most endpoints that one question names.
const MAX_ASKED_FOR: usize = 48;

/// Questions to a process that it has not answered, in a row.
#[derive(Debug, Clone, Copy, Default)]
struct Unanswered {
    count: u32,
    passed_over_until: Millis,
}

/// What this process knows of the limits of endpoints, and its open questions for permits.
#[derive(Debug, Default)]
pub struct LimitDesk {
    limits: Mutex<EndpointLimits>,
    questions: Mutex<IndexMap<u64, oneshot::Sender<PermitDecision>>>,
    unanswered: Mutex<IndexMap<EntryName, Unanswered>>,
}

/// The process that gives the permits for a service.
enum Giver {
    /// This one, with the part of each limit that it may give.
    Own(f64),
    Peer(EntryName, SocketAddr),
}

impl SharedState {
    /// Locks the limits of endpoints.
    pub fn limits(&self) -> MutexGuard<'_, EndpointLimits> {
        lock(&self.limit_desk.limits)
    }

    /// Records what an endpoint has just said in a response of its limit.
    pub fn record_named_limit(&self, endpoint: &EndpointRecord, named: NamedLimit) {
        let per_s = match named {
            NamedLimit::PerSecond(per_s) => Some(per_s),
            NamedLimit::None => None,
            NamedLimit::Unknown => return,
            NamedLimit::Unreadable => {
                self.metrics.count("direct.limits_unreadable");
                log_event!(debug, Event::EndpointLimitUnreadable, endpoint = %endpoint.name);
                return;
            }
        };
        let now = self.clock.now();
        if self.limits().record(endpoint.load_key(), per_s, now, now) {
            self.metrics.count_reason("direct.limits_changed", "own");
            log_event!(info, Event::EndpointLimitChanged, endpoint = %endpoint.name, per_s,
                source = "own");
        }
    }

    /// Records the limits of endpoints that a peer tells of.
    pub fn merge_limits(&self, peer: &EntryName, told: &[SeenLimit]) {
        if told.is_empty() {
            return;
        }
        let changed = self.limits().merge(told, self.clock.now());
        let endpoints = self.endpoints.load();
        for limit in changed {
            let named = endpoints.values().find(|e| e.load_key() == limit.endpoint);
            self.metrics.count_reason("direct.limits_changed", "peer");
            log_event!(info, Event::EndpointLimitChanged,
                endpoint = named.map_or("", |e| e.name.as_str()), per_s = limit.per_s,
                source = %peer, seen_ms_ago = limit.seen_ms_ago);
        }
    }

    /// Returns whether an item of a batch job may be sent to an endpoint now. Takes a permit if the
    /// endpoint has a limit.
    pub async fn may_send_item(&self, endpoint: &EndpointRecord) -> bool {
        let is_limited = self.limits().limit(endpoint.load_key()).is_some();
        !is_limited || self.take_permit(PermitClass::Batch, &[endpoint]).await.is_some()
    }

    /// Returns the position of the endpoint, the preferred ones first, to which a request of the class
    /// may be sent now, or none if all of them have had what their limits allow. They are of one service.
    pub async fn take_permit(
        &self,
        class: PermitClass,
        endpoints: &[&EndpointRecord],
    ) -> Option<usize> {
        let service = &endpoints.first()?.service;
        let keys: Vec<u64> = endpoints.iter().take(MAX_ASKED_FOR).map(|e| e.load_key()).collect();
        let decision = match self.permit_giver(service) {
            Giver::Own(share) => Some(self.limits().decide(&keys, class, share, self.clock.now())),
            Giver::Peer(name, address) => self.ask_for_permit(&name, address, class, &keys).await,
        };
        let now = self.clock.now();
        let outcome = match &decision {
            Some(PermitDecision { granted: Some(_), .. }) => "granted",
            Some(PermitDecision { granted: None, .. }) => "denied",
            None => "unanswered",
        };
        self.metrics.count_reason("direct.permits", outcome);
        let mut limits = self.limits();
        let Some(decision) = decision else {
            keys.iter().for_each(|key| limits.set_wait(*key, UNANSWERED_WAIT_MS, now));
            return None;
        };
        let waits = keys.iter().zip(&decision.waits_ms);
        waits.for_each(|(key, wait_ms)| limits.set_wait(*key, u64::from(*wait_ms), now));
        decision.granted.map(usize::from).filter(|position| *position < keys.len())
    }

    async fn ask_for_permit(
        &self,
        giver: &EntryName,
        address: SocketAddr,
        class: PermitClass,
        keys: &[u64],
    ) -> Option<PermitDecision> {
        let question = rand::rng().random();
        let (tx, rx) = oneshot::channel();
        lock(&self.limit_desk.questions).insert(question, tx);
        let now = self.clock.now();
        let endpoints = {
            let limits = self.limits();
            keys.iter().map(|key| limits.seen(*key, now)).collect()
        };
        let reply_to = self.settings.advertised;
        self.send_limit_message(
            address,
            &LimitMessage::Ask { question, reply_to, class, endpoints },
        );
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
        lock(&self.limit_desk.questions).swap_remove(&question);
        let decision = answered.ok().and_then(Result::ok);
        self.record_answer(giver, decision.is_some());
        decision
    }

    /// Records whether a process answered a question. One that does not is passed over for a while.
    fn record_answer(&self, giver: &EntryName, is_answered: bool) {
        let now = self.clock.now();
        let mut unanswered = lock(&self.limit_desk.unanswered);
        if is_answered {
            unanswered.swap_remove(giver);
            return;
        }
        let record = unanswered.entry(giver.clone()).or_default();
        record.count += 1;
        if record.count >= MAX_UNANSWERED {
            *record = Unanswered { count: 0, passed_over_until: now + PASS_OVER_MS };
            log_event!(info, Event::PermitsUnanswered, peer = %giver, span_ms = PASS_OVER_MS);
        }
    }

    /// Carries out a message of a peer.
    pub(crate) fn apply_limit_message(&self, message: LimitMessage) {
        match message {
            LimitMessage::Ask { question, reply_to, class, endpoints } => {
                let now = self.clock.now();
                let keys: Vec<u64> = endpoints.iter().map(|e| e.endpoint).collect();
                let is_passed_over = |name: &EntryName| self.is_passed_over(name);
                let share = self.with_other_entries(is_passed_over, |others, _| own_share(others));
                let decision = {
                    let mut limits = self.limits();
                    limits.merge(&endpoints, now);
                    limits.decide(&keys, class, share, now)
                };
                self.send_limit_message(reply_to, &LimitMessage::Answer { question, decision });
            }
            LimitMessage::Answer { question, decision } => {
                if let Some(tx) = lock(&self.limit_desk.questions).swap_remove(&question) {
                    // The question may just have been given up.
                    let _unread = tx.send(decision);
                }
            }
        }
    }

    fn permit_giver(&self, service: &ServiceName) -> Giver {
        let is_entry = self.settings.callers.is_some();
        let own = is_entry.then_some(&self.settings.name);
        let decide = |others: &[OtherEntry<'_>], addresses: &[SocketAddr]| match permit_giver(
            service, own, others,
        ) {
            PermitGiver::Own { share } => Giver::Own(share),
            PermitGiver::Other(position) => {
                Giver::Peer(others[position].name.clone(), addresses[position])
            }
        };
        self.with_other_entries(|name| self.is_passed_over(name), decide)
    }

    fn is_passed_over(&self, name: &EntryName) -> bool {
        let unanswered = lock(&self.limit_desk.unanswered);
        unanswered.get(name).is_some_and(|u| u.passed_over_until > self.clock.now())
    }

    /// Calls `decide` with the other entries that this process knows, and with the address of each. Those
    /// that are passed over count as not heard.
    pub(crate) fn with_other_entries<T>(
        &self,
        is_passed_over: impl Fn(&EntryName) -> bool,
        decide: impl FnOnce(&[OtherEntry<'_>], &[SocketAddr]) -> T,
    ) -> T {
        let now = self.clock.now();
        let peers = self.peers();
        let entries = || peers.values().filter(|p| p.member.role == PeerRole::Entry);
        let ttl_ms = heard_ttl_ms(entries().count());
        let other = |peer| {
            let Peer { member, heard_at, found_at, .. }: &Peer = peer;
            let is_recent = heard_at.is_some_and(|at| now.since(at) < ttl_ms);
            OtherEntry {
                name: &member.name,
                silent_ms: now.since(heard_at.unwrap_or(*found_at)),
                is_heard: is_recent && !is_passed_over(&member.name),
            }
        };
        let others: Vec<OtherEntry<'_>> = entries().map(other).collect();
        let addresses: Vec<SocketAddr> = entries().map(|p| p.member.address).collect();
        decide(&others, &addresses)
    }

    fn send_limit_message(&self, to: SocketAddr, message: &LimitMessage) {
        let (Some(socket), Some(secrets)) = (self.datagrams.get(), self.secrets.load_full()) else {
            return;
        };
        match encode_limit_message(message, &secrets) {
            // A datagram that can't be sent is treated like one lost on the way.
            Ok(datagram) => drop(socket.try_send_to(&datagram, to)),
            Err(e) => log_event!(error, Event::DatagramRefused, error = %e),
        }
    }
}

/// Returns the age up to which the last heartbeat of an entry shows that it is heard, where so many others
/// are known, in milliseconds.
pub(crate) fn heard_ttl_ms(other_entries: usize) -> u64 {
    load_ttl_ms(entry_interval_ms(other_entries))
}

/// Returns the longest interval of heartbeats between entries where each knows so many others, in
/// milliseconds.
pub(crate) fn entry_interval_ms(other_entries: usize) -> u64 {
    let role = PeerRole::Entry;
    let sender =
        HeartbeatSender { role, owns_jobs: false, entries: other_entries, near_entries: 0 };
    let receiver = HeartbeatReceiver { role, owns_jobs: false, is_near: false, silent_ms: Some(0) };
    heartbeat_interval_ms(sender, receiver)
}
