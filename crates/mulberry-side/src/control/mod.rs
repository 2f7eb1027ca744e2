//! The side's control actor. It runs on one thread and owns the state that decides on requests:
//! admission, suspects of crashes, the bundle in force and the known entries.

mod bundles;
mod crashes;
mod entries;
mod requests;
mod status;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use mulberry_policy::admission::Admission;
use mulberry_policy::admission::AdmissionAction;
use mulberry_policy::admission::RequestId;
use mulberry_policy::suspects::RunRestriction;
use mulberry_policy::suspects::SuspectTable;
use mulberry_process::clock::SharedClock;
use mulberry_process::metrics::Metrics;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::heartbeat::EntryHeartbeat;
use mulberry_protocol::heartbeat::Heartbeat;
use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::heartbeat::SideHeartbeat;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::heartbeat::encode_heartbeat;
use mulberry_protocol::link::Urgency;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use crate::settings::SideSettings;

pub(crate) use bundles::GetBundleNews;
pub(crate) use bundles::InstallBundle;
pub(crate) use bundles::ModelsReported;
pub(crate) use crashes::HealthChecked;
pub(crate) use crashes::ResponseFailed;
pub(crate) use entries::EntryHeartbeatReceived;
pub(crate) use entries::PullEnded;
pub(crate) use requests::OfferRequest;
pub(crate) use requests::Progress;
pub(crate) use requests::QueryAttempt;
pub(crate) use status::GetStatus;
pub(crate) use status::Leave;

/// Time between checks of deadlines, expired entries and room for batch items.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after its last heartbeat at which an entry is forgotten, in milliseconds.
const ENTRY_TTL_MS: u64 = 10_000;

/// Most attempts of non-idempotent requests remembered as started, and most remembered as barred.
const MAX_REMEMBERED_ATTEMPTS: usize = 65_536;

/// Delay before an owner that had no items is asked again, in milliseconds.
const EMPTY_PULL_DELAY_MS: u64 = 100;

/// Time after which a pull that was not answered may be repeated, in milliseconds.
const PULL_TIMEOUT_MS: u64 = 3_000;

/// A decision on a request, sent to the task that handles it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Decision {
    /// Send the request to the endpoint.
    Start,
    Refuse(Refusal),
    /// Stop the batch item on the engine and wait for the next decision.
    Preempt,
}

/// A request that waits for admission or runs.
struct TrackedRequest {
    fingerprint: u64,
    urgency: Urgency,
    decisions: mpsc::UnboundedSender<Decision>,
}

/// An entry that sent a heartbeat in the last [`ENTRY_TTL_MS`], and the state of pulls from it.
struct KnownEntry {
    heartbeat: EntryHeartbeat,
    address: SocketAddr,
    last_heartbeat_at: Millis,
    /// Earliest time of the next pull.
    next_pull_at: Millis,
    /// Whether a pull was sent and has not ended.
    pull_pending: bool,
}

/// State of the endpoint at the last check.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointState {
    /// Whether the endpoint answered its last health check with success.
    pub healthy: bool,
    /// Models that are loaded and ready.
    pub models: Vec<ModelName>,
    /// Number of the bundle whose models are all ready, or zero while some are missing.
    pub bundle_done: u64,
}

/// Asks the batch task to pull items from an owner.
#[derive(Debug, Clone)]
pub(crate) struct PullRequest {
    pub entry: EntryName,
    /// Address of the owner.
    pub owner_link: SocketAddr,
    pub max_items: u16,
    pub models: Vec<ModelName>,
}

/// Actor that owns the control state.
pub(crate) struct SideControl {
    pub settings: SideSettings,
    pub secrets: SecretKeyring,
    pub clock: SharedClock,
    pub metrics: Metrics,
    pub socket: Arc<UdpSocket>,
    /// Random number that distinguishes this process from earlier ones of the same endpoint.
    pub incarnation: u64,
    pub pull_tx: mpsc::UnboundedSender<PullRequest>,
    pub bundle_notify: Arc<Notify>,
    pub admission: Admission,
    pub suspects: SuspectTable,
    pub endpoint_state: EndpointState,
    /// Number and content of the bundle in force in this process.
    pub bundle: Option<(u64, Arc<Bundle>)>,
    /// Whether the process is stopping and takes no new work.
    pub leaving: bool,
    state: ControlState,
}

/// State that only the handlers of this actor use.
#[derive(Default)]
struct ControlState {
    requests: IndexMap<RequestId, TrackedRequest>,
    entries: IndexMap<EntryName, KnownEntry>,
    /// Highest owner number seen for each shard.
    owner_numbers: IndexMap<u32, u64>,
    /// Attempts of non-idempotent requests that were offered and must not be offered again.
    started_attempts: IndexSet<u64>,
    /// Attempts that an entry gave up before they were offered here, and that must not start.
    barred_attempts: IndexSet<u64>,
    /// Senders that wait for the health check that follows a broken response.
    crash_waiters: Vec<oneshot::Sender<Vec<Suspect>>>,
    /// Fingerprint of each request that ran at a possible crash, and whether it had just begun.
    running_at_crash: Vec<(u64, bool)>,
    /// Whether a crash was recorded and the endpoint has not been healthy since.
    crash_recorded: bool,
    /// Suspects of that crash.
    crash_suspects: Vec<Suspect>,
    next_id: RequestId,
    next_sequence: u64,
    next_pull_index: usize,
}

impl SideControl {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: SideSettings,
        secrets: SecretKeyring,
        clock: SharedClock,
        metrics: Metrics,
        socket: Arc<UdpSocket>,
        incarnation: u64,
        pull_tx: mpsc::UnboundedSender<PullRequest>,
        bundle_notify: Arc<Notify>,
    ) -> Self {
        let admission = Admission::new(settings.admission(), clock.now());
        Self {
            settings,
            secrets,
            clock,
            metrics,
            socket,
            incarnation,
            pull_tx,
            bundle_notify,
            admission,
            suspects: SuspectTable::default(),
            endpoint_state: EndpointState::default(),
            bundle: None,
            leaving: false,
            state: ControlState::default(),
        }
    }

    /// Returns the presence to report in heartbeats. A side serves once its endpoint is healthy and
    /// it knows the bundle in force.
    fn presence(&self) -> Presence {
        if self.leaving {
            Presence::Leaving
        } else if self.endpoint_state.healthy && self.bundle.is_some() {
            Presence::Serving
        } else {
            Presence::Starting
        }
    }

    /// Carries out the decisions of the admission.
    fn apply_actions(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start_request(id),
                AdmissionAction::Refuse(id, reason) => self.refuse_request(id, reason),
                AdmissionAction::Preempt(id) => {
                    self.metrics.count("side.preempted");
                    self.send_decision(id, Decision::Preempt);
                }
            }
        }
    }

    /// Starts an admitted request, unless it was confirmed to crash endpoints while it waited.
    fn start_request(&mut self, id: RequestId) {
        let Some(request) = self.state.requests.get(&id) else { return };
        // Another process may have confirmed the request while it waited.
        let now = self.clock.now();
        if self.suspects.restriction(request.fingerprint, now) == RunRestriction::Refused {
            self.send_decision(id, Decision::Refuse(poison_refusal()));
            self.state.requests.swap_remove(&id);
            let actions = self.admission.record_ended(id, now);
            self.apply_actions(actions);
            return;
        }
        self.send_decision(id, Decision::Start);
    }

    /// Refuses a request and tells the caller when to retry.
    fn refuse_request(&mut self, id: RequestId, reason: RefusalReason) {
        let wait_ms = self.admission.load().wait_ms;
        let refusal = Refusal::not_run(reason, refusal_detail(reason))
            .retry_after(u32::from(wait_ms).max(50));
        self.send_decision(id, Decision::Refuse(refusal));
        self.state.requests.swap_remove(&id);
    }

    fn send_decision(&self, id: RequestId, decision: Decision) {
        if let Some(request) = self.state.requests.get(&id) {
            // Sending fails if the handler was dropped because its caller disconnected. Dropping it
            // also withdraws the request.
            let _handler_dropped = request.decisions.send(decision);
        }
    }

    /// Returns the next heartbeat, with a new sequence number.
    fn build_heartbeat(&mut self) -> SideHeartbeat {
        self.state.next_sequence += 1;
        SideHeartbeat {
            endpoint: self.settings.endpoint.clone(),
            sequence: self.state.next_sequence,
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            service: self.settings.service.clone(),
            models: self.endpoint_state.models.clone(),
            load: self.admission.load(),
            bundle: self.bundle.as_ref().map_or(0, |(number, _)| *number),
            bundle_done: self.endpoint_state.bundle_done,
            presence: self.presence(),
            suspects: self.suspects.suspects_to_send(self.clock.now()),
        }
    }

    fn send_heartbeat(&mut self, address: SocketAddr) {
        let heartbeat = Heartbeat::Side(self.build_heartbeat());
        if let Ok(datagram) = encode_heartbeat(&heartbeat, &self.secrets) {
            self.metrics.add("side.beat_bytes_sent", datagram.len() as u64);
            // A datagram that can't be sent counts as lost; the next heartbeat carries the same
            // state.
            let _lost = self.socket.send_to(&datagram, address);
        }
    }

    /// Sends a heartbeat to every entry at once, for a change that should not wait for the response
    /// to the entry's next heartbeat.
    fn send_heartbeats(&mut self) {
        let addresses: Vec<SocketAddr> = self.state.entries.values().map(|e| e.address).collect();
        for address in addresses {
            self.send_heartbeat(address);
        }
    }

    /// Refuses overdue requests, forgets entries that sent no heartbeat and asks for batch items.
    fn tick(&mut self) {
        let now = self.clock.now();
        let actions = self.admission.tick(now);
        self.apply_actions(actions);
        self.state.entries.retain(|_, e| now.since(e.last_heartbeat_at) < ENTRY_TTL_MS);
        self.request_pull(now);
    }

    /// Asks the next owner with waiting items, in turn, for as many as the admission has room
    /// for. At most one pull is sent per call.
    fn request_pull(&mut self, now: Millis) {
        if self.presence() != Presence::Serving {
            return;
        }
        let max_items = self.admission.wanted_batch_items();
        if max_items == 0 {
            return;
        }
        let count = self.state.entries.len();
        for step in 0..count {
            let index = (self.state.next_pull_index + step) % count;
            let entry = &mut self.state.entries[index];
            if entry.pull_pending && now < entry.next_pull_at {
                continue;
            }
            if entry.heartbeat.backlog == 0 || now < entry.next_pull_at {
                continue;
            }
            entry.pull_pending = true;
            entry.next_pull_at = now + PULL_TIMEOUT_MS;
            let request = PullRequest {
                entry: entry.heartbeat.entry.clone(),
                owner_link: entry.heartbeat.owner_link,
                max_items: max_items.min(u32::from(u16::MAX)) as u16,
                models: self.endpoint_state.models.clone(),
            };
            self.state.next_pull_index = index + 1;
            // The receiver is dropped only when the process stops.
            let _stopping = self.pull_tx.send(request);
            return;
        }
    }

    /// Forgets a request that ended and reports its end to the admission. A completed one is no
    /// longer a suspect.
    fn end_request(&mut self, id: RequestId, completed: bool) {
        if let Some(request) = self.state.requests.swap_remove(&id)
            && completed
        {
            self.suspects.record_completed(request.fingerprint);
        }
        let actions = self.admission.withdraw(id, self.clock.now());
        self.apply_actions(actions);
    }

    /// Adds an attempt to a set, and drops the oldest one of a full set.
    fn remember_attempt(set: &mut IndexSet<u64>, attempt: u64) {
        if set.len() >= MAX_REMEMBERED_ATTEMPTS {
            set.shift_remove_index(0);
        }
        set.insert(attempt);
    }
}

/// Returns the refusal of a request that was confirmed to crash endpoints.
pub(crate) fn poison_refusal() -> Refusal {
    Refusal::not_run(RefusalReason::Poison, "the request crashed endpoints before")
}

/// Returns the text that a refusal by the admission shows to the caller.
fn refusal_detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Busy => "the endpoint has no room",
        RefusalReason::Deadline => "the answer would begin too late",
        RefusalReason::Leaving => "the endpoint is leaving",
        _ => "the endpoint refused the request",
    }
}

impl Actor for SideControl {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(65_536);
        cx.run_interval(TICK_INTERVAL, |control, _| control.tick());
    }
}
