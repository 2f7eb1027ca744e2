//! Finds out which software version began a stream that is to go on, also when another process began
//! it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::mpsc;

use mulberry_policy::endpoint_continuity::END_NOTICE_MS;
use mulberry_policy::endpoint_continuity::certain_in_ms;
use mulberry_policy::stream_origins::MAX_ASKED;
use mulberry_policy::stream_origins::REGISTRARS;
use mulberry_policy::stream_origins::Registrar;
use mulberry_policy::stream_origins::StreamOrigins;
use mulberry_policy::stream_origins::rank_registrars;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::stream_origin::OriginAnswer;
use mulberry_protocol::stream_origin::StreamMessage;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::stream_origin::encode_stream_message;
use mulberry_protocol::time::Millis;

use crate::connection::ConnectionPool;
use crate::shared::Peer;
use crate::shared::SharedState;
use crate::shared::lock;

/// Age of the last heartbeat at which a peer is no longer told or asked, in milliseconds.
const PEER_TTL_MS: u64 = 3_000;

/// Time for which one question waits for its answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of questions after which the peers that have not answered are taken to be gone.
const MAX_QUESTIONS: u32 = 3;

/// Pause before a process that is not certain yet is asked again.
const PENDING_PAUSE: Duration = Duration::from_millis(60);

/// Longest time for which an origin that is not certain yet is waited for, in milliseconds.
const MAX_PENDING_MS: u64 = 1_000;

/// Interval at which a stream that has begun looks whether its origin is certain, in milliseconds.
const CERTAINTY_POLL_MS: u64 = 100;

/// Time after which an origin that is not certain is given up, in milliseconds: two watches of endpoints have
/// been answered by then.
const MAX_UNCERTAIN_MS: u64 = 10_000;

/// What this process knows of the origins of streams, and its open questions to others.
#[derive(Debug, Default)]
pub struct OriginDesk {
    origins: Mutex<StreamOrigins>,
    questions: Mutex<IndexMap<u64, mpsc::UnboundedSender<OriginAnswer>>>,
}

/// Returns the origin of the streams that begin at an endpoint.
pub fn origin_of(endpoint: &EndpointRecord) -> StreamOrigin {
    StreamOrigin { service: endpoint.service.clone(), software: endpoint.software.clone() }
}

/// Waits until the process behind the connections to an endpoint is certain to be the one of its
/// record, and returns for how long they have been held then, in milliseconds. Fails if it can't be
/// certain soon.
pub async fn make_certain(
    shared: &SharedState,
    pool: &ConnectionPool,
    endpoint: &EndpointRecord,
) -> Result<u64, Refusal> {
    let not_ready = |detail: &str| Refusal::not_run(RefusalReason::NotReady, detail);
    let held = pool.hold(endpoint.address).await;
    held.map_err(|e| Refusal::not_run(RefusalReason::LinkFailed, e.to_string()))?;
    loop {
        let held_ms = pool.held_ms(endpoint.address);
        let held_ms = held_ms.ok_or_else(|| not_ready("the endpoint ended its connections"))?;
        let wait_ms = certain_in_ms(held_ms, shared.endpoints_unconfirmed_ms());
        if !shared.is_current_record(endpoint) {
            return Err(not_ready("the endpoint has restarted or is gone"));
        }
        if !shared.takes_requests(endpoint) {
            return Err(not_ready("the endpoint leaves"));
        }
        if wait_ms == 0 {
            return Ok(held_ms);
        }
        if shared.endpoints_stale_ms() > 0 {
            return Err(not_ready("the endpoint's version may be out of date"));
        }
        if certain_in_ms(held_ms, 0) == 0 {
            shared.ask_for_endpoints();
        }
        tokio::time::sleep(Duration::from_millis(wait_ms.min(END_NOTICE_MS))).await;
    }
}

/// What the peers said of a stream in one round of questions.
enum Round {
    Known(StreamOrigin),
    Pending(StreamOrigin),
    /// All of them have not heard of it.
    Unknown,
    /// Some of them did not answer.
    Unanswered,
}

impl SharedState {
    fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.origins.origins)
    }

    /// Records that the first event of a stream has come from an endpoint, and tells other processes as
    /// soon as the endpoint's version is certain. `held_ms` is how long connections to it had been held
    /// when the request was sent.
    pub fn begin_stream(self: &Arc<Self>, stream: u64, endpoint: &EndpointRecord, held_ms: u64) {
        if self.certain_in(held_ms) == 0 && self.is_current_record(endpoint) {
            return self.settle_stream(stream, origin_of(endpoint));
        }
        let began = self.clock.now();
        self.origins().begin(stream, origin_of(endpoint), began);
        let (shared, endpoint) = (self.clone(), endpoint.clone());
        actix_rt::spawn(async move {
            if shared.becomes_certain(&endpoint, held_ms, began).await {
                shared.settle_stream(stream, origin_of(&endpoint));
            } else {
                shared.metrics.count("direct.origins_uncertain");
                shared.origins().give_up(stream);
            }
        });
    }

    /// Returns the time after which the process that answered on a connection, held for `held_ms` now, is certain
    /// to be the registered one, in milliseconds.
    pub(crate) fn certain_in(&self, held_ms: u64) -> u64 {
        certain_in_ms(held_ms, self.endpoints_unconfirmed_ms())
    }

    /// Waits until it is certain which process an endpoint was that answered at `began`, on a connection that had
    /// been held for `held_ms`. Returns false if it is not known to be that of the record.
    async fn becomes_certain(
        &self,
        endpoint: &EndpointRecord,
        held_ms: u64,
        began: Millis,
    ) -> bool {
        loop {
            let waited_ms = self.clock.now().since(began);
            let is_known = self.endpoints_stale_ms() == 0 && self.is_current_record(endpoint);
            if !is_known || waited_ms > MAX_UNCERTAIN_MS {
                return false;
            }
            let wait_ms = self.certain_in(held_ms + waited_ms);
            if wait_ms == 0 {
                return true;
            }
            // Where a service runs one version only, nobody needs the origin for as long as that is so.
            if certain_in_ms(held_ms + waited_ms, 0) == 0 && !self.runs_one_version(endpoint) {
                self.ask_for_endpoints();
            }
            tokio::time::sleep(Duration::from_millis(wait_ms.min(CERTAINTY_POLL_MS))).await;
        }
    }

    fn runs_one_version(&self, endpoint: &EndpointRecord) -> bool {
        let now = self.clock.now();
        self.version_history().only_version(&endpoint.service, 0, now).is_some()
    }

    fn settle_stream(&self, stream: u64, origin: StreamOrigin) {
        self.origins().record(stream, origin.clone(), self.clock.now());
        let peers = self.ranked_peers(stream);
        let registrars = &peers[..peers.len().min(REGISTRARS)];
        self.send_stream_message(registrars, &StreamMessage::Begun { stream, origin });
    }

    /// Returns the origin of a stream that this process has begun, or `None` if it can't be told.
    pub async fn own_origin(&self, stream: u64) -> Option<StreamOrigin> {
        let began = self.clock.now();
        loop {
            match self.origins().find(stream) {
                OriginAnswer::Known(origin) => return Some(origin),
                OriginAnswer::Unknown => return None,
                OriginAnswer::Pending(_) => self.ask_for_endpoints(),
            }
            if self.clock.now().since(began) >= MAX_PENDING_MS {
                return None;
            }
            tokio::time::sleep(PENDING_PAUSE).await;
        }
    }

    /// Returns the origin of the stream that the request `resumes` began, here or elsewhere, or `None`
    /// if nobody knows it. Calls `on_likely` each time that it is likely but not certain yet. `request` is
    /// the ID of the request that is to continue it, for the log.
    pub async fn find_origin(
        &self,
        request: &str,
        resumes: &str,
        stream: u64,
        on_likely: impl Fn(&StreamOrigin),
    ) -> Option<StreamOrigin> {
        let began = self.clock.now();
        let mut asked = 0;
        let found = match self.origins().find(stream) {
            OriginAnswer::Known(origin) => Some(origin),
            OriginAnswer::Pending(_) | OriginAnswer::Unknown => None,
        };
        let origin = match found {
            Some(origin) => Some(origin),
            None => self.ask_for_origin(stream, &mut asked, on_likely).await,
        };
        log_event!(
            info,
            Event::StreamTakenUp,
            request,
            resumes,
            known = origin.is_some(),
            asked,
            software = origin.as_ref().map_or("", |o| o.software.as_str()),
            waited_ms = self.clock.now().since(began)
        );
        let outcome = if origin.is_some() { "known" } else { "unknown" };
        self.metrics.count_reason("direct.streams_taken_up", outcome);
        origin
    }

    async fn ask_for_origin(
        &self,
        stream: u64,
        asked: &mut usize,
        on_likely: impl Fn(&StreamOrigin),
    ) -> Option<StreamOrigin> {
        let began = self.clock.now();
        let mut unanswered = 0;
        loop {
            let own = self.origins().find(stream);
            match &own {
                OriginAnswer::Known(origin) => return Some(origin.clone()),
                OriginAnswer::Pending(likely) => {
                    self.ask_for_endpoints();
                    on_likely(likely);
                }
                OriginAnswer::Unknown => {}
            }
            let mut peers = self.ranked_peers(stream);
            if peers.len() > MAX_ASKED {
                peers.truncate(MAX_ASKED);
            }
            *asked = peers.len();
            match self.ask_once(stream, &peers).await {
                Round::Known(origin) => {
                    self.origins().record(stream, origin.clone(), self.clock.now());
                    return Some(origin);
                }
                Round::Unknown if own == OriginAnswer::Unknown => return None,
                Round::Pending(likely) => on_likely(&likely),
                Round::Unknown => {}
                Round::Unanswered => unanswered += 1,
            }
            let is_over = self.clock.now().since(began) >= MAX_PENDING_MS;
            if is_over || unanswered >= MAX_QUESTIONS && own == OriginAnswer::Unknown {
                return None;
            }
            tokio::time::sleep(PENDING_PAUSE).await;
        }
    }

    async fn ask_once(&self, stream: u64, peers: &[SocketAddr]) -> Round {
        let question = rand::rng().random();
        let (tx, mut rx) = mpsc::unbounded_channel();
        lock(&self.origins.questions).insert(question, tx);
        let reply_to = self.settings.advertised;
        self.send_stream_message(peers, &StreamMessage::Ask { stream, question, reply_to });
        let answers = async {
            let mut round = Round::Unknown;
            // Which processes there are is read from the store soon after the start.
            if peers.is_empty() {
                return Round::Unanswered;
            }
            for _ in peers {
                match rx.recv().await {
                    Some(OriginAnswer::Known(origin)) => return Round::Known(origin),
                    Some(OriginAnswer::Pending(likely)) => round = Round::Pending(likely),
                    Some(OriginAnswer::Unknown) | None => {}
                }
            }
            round
        };
        let round = tokio::time::timeout(ANSWER_TIMEOUT, answers).await;
        lock(&self.origins.questions).swap_remove(&question);
        round.unwrap_or(Round::Unanswered)
    }

    /// Carries out a message of a peer.
    pub(crate) fn apply_stream_message(&self, message: StreamMessage) {
        match message {
            StreamMessage::Begun { stream, origin } => {
                self.origins().record(stream, origin, self.clock.now());
            }
            StreamMessage::Ask { stream, question, reply_to } => {
                let answer = self.origins().find(stream);
                if let OriginAnswer::Pending(_) = answer {
                    self.ask_for_endpoints();
                }
                self.send_stream_message(&[reply_to], &StreamMessage::Answer { question, answer });
            }
            StreamMessage::Answer { question, answer } => {
                if let Some(tx) = lock(&self.origins.questions).get(&question) {
                    // The question may just have been given up.
                    let _unread = tx.send(answer);
                }
            }
        }
    }

    /// Returns the addresses of the peers that are heard or have just been found, those first that are
    /// told of the stream.
    fn ranked_peers(&self, stream: u64) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let peers = self.peers();
        // A process that has just started has not heard from those that may know of earlier streams.
        let is_recent = |p: &&Peer| now.since(p.heard_at.unwrap_or(p.found_at)) < PEER_TTL_MS;
        let recent = peers.values().filter(is_recent).map(|p| &p.member);
        let (registrars, addresses): (Vec<Registrar>, Vec<SocketAddr>) =
            recent.map(|m| (Registrar { name: m.name.clone(), role: m.role }, m.address)).unzip();
        rank_registrars(stream, &registrars).into_iter().map(|i| addresses[i]).collect()
    }

    fn send_stream_message(&self, to: &[SocketAddr], message: &StreamMessage) {
        let (Some(socket), Some(secrets)) = (self.datagrams.get(), self.secrets.load_full()) else {
            return;
        };
        match encode_stream_message(message, &secrets) {
            Ok(datagram) => to.iter().for_each(|address| {
                // A datagram that can't be sent is treated like one lost on the way.
                let _unsent = socket.try_send_to(&datagram, *address);
            }),
            Err(e) => log_event!(error, Event::DatagramRefused, error = %e),
        }
    }
}
