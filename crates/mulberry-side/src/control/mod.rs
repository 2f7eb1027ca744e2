//! The side's control state, owned by one thread: admission, suspects, bundle and entries.

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

pub(crate) use bundles::AskBundleNews;
pub(crate) use bundles::ModelsSeen;
pub(crate) use bundles::PutBundle;
pub(crate) use crashes::AnswerBroke;
pub(crate) use crashes::HealthSeen;
pub(crate) use entries::EntryBeatSeen;
pub(crate) use entries::PullEnded;
pub(crate) use requests::OfferRequest;
pub(crate) use requests::Progress;
pub(crate) use requests::QueryAttempt;
pub(crate) use status::AskStatus;
pub(crate) use status::Leave;

/// Time between looks at deadlines and room for batch items.
const TICK: Duration = Duration::from_millis(50);

/// Entries that sent nothing for this long are forgotten, in milliseconds.
const ENTRY_TTL_MS: u64 = 10_000;

/// Attempts of non-idempotent requests that are remembered.
const MAX_ATTEMPTS_REMEMBERED: usize = 65_536;

/// Wait before an owner that had no items is asked again, in milliseconds.
const EMPTY_PULL_WAIT_MS: u64 = 100;

/// Time after which a pull without an answer is made again, in milliseconds.
const PULL_TIMEOUT_MS: u64 = 3_000;

/// What a request's handler is told.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Decision {
    Start,
    Refuse(Refusal),
    Preempt,
}

struct Held {
    fingerprint: u64,
    urgency: Urgency,
    decisions: mpsc::UnboundedSender<Decision>,
}

struct KnownEntry {
    beat: EntryHeartbeat,
    from: SocketAddr,
    heard_at: Millis,
    pull_wait_until: Millis,
    pull_pending: bool,
}

/// What the process's other threads may read at any time.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineView {
    /// Whether the endpoint answers its health check.
    pub healthy: bool,
    /// Models that are ready.
    pub models: Vec<ModelName>,
    /// Number of the bundle that was carried out.
    pub bundle_done: u64,
}

/// A pull that the batch client must make.
#[derive(Debug, Clone)]
pub(crate) struct PullOrder {
    pub entry: EntryName,
    pub owner_link: SocketAddr,
    pub room: u16,
    pub models: Vec<ModelName>,
}

/// The control state.
pub(crate) struct SideControl {
    pub settings: SideSettings,
    pub secrets: SecretKeyring,
    pub clock: SharedClock,
    pub metrics: Metrics,
    pub socket: Arc<UdpSocket>,
    pub incarnation: u64,
    pub pulls: mpsc::UnboundedSender<PullOrder>,
    pub news: Arc<Notify>,
    pub admission: Admission,
    pub suspects: SuspectTable,
    pub engine: EngineView,
    pub bundle: Option<(u64, Arc<Bundle>)>,
    pub leaving: bool,
    state: ControlState,
}

#[derive(Default)]
struct ControlState {
    held: IndexMap<RequestId, Held>,
    entries: IndexMap<EntryName, KnownEntry>,
    owner_numbers: IndexMap<u32, u64>,
    started: IndexSet<u64>,
    barred: IndexSet<u64>,
    crash_waiters: Vec<oneshot::Sender<Vec<Suspect>>>,
    running_at_crash: Vec<(u64, bool)>,
    /// Whether a crash was noted and the endpoint has not been well since.
    in_crash: bool,
    /// What that crash made known.
    told_of_crash: Vec<Suspect>,
    next_id: RequestId,
    next_sequence: u64,
    next_pull: usize,
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
        pulls: mpsc::UnboundedSender<PullOrder>,
        news: Arc<Notify>,
    ) -> Self {
        let admission = Admission::new(settings.admission(), clock.now());
        Self {
            settings,
            secrets,
            clock,
            metrics,
            socket,
            incarnation,
            pulls,
            news,
            admission,
            suspects: SuspectTable::default(),
            engine: EngineView::default(),
            bundle: None,
            leaving: false,
            state: ControlState::default(),
        }
    }

    fn presence(&self) -> Presence {
        if self.leaving {
            Presence::Leaving
        } else if self.engine.healthy && self.bundle.is_some() {
            Presence::Serving
        } else {
            Presence::Starting
        }
    }

    fn carry_out(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start(id),
                AdmissionAction::Refuse(id, reason) => self.refuse(id, reason),
                AdmissionAction::Preempt(id) => {
                    self.metrics.count("side.preempted");
                    self.tell(id, Decision::Preempt);
                }
            }
        }
    }

    fn start(&mut self, id: RequestId) {
        let Some(held) = self.state.held.get(&id) else { return };
        // News of a conviction may have come while the request waited.
        let now = self.clock.now();
        if self.suspects.restriction(held.fingerprint, now) == RunRestriction::Refused {
            self.tell(id, Decision::Refuse(poison_refusal()));
            self.state.held.swap_remove(&id);
            let actions = self.admission.note_ended(id, now);
            self.carry_out(actions);
            return;
        }
        self.tell(id, Decision::Start);
    }

    fn refuse(&mut self, id: RequestId, reason: RefusalReason) {
        let wait_ms = self.admission.load().wait_ms;
        let refusal = Refusal::not_run(reason, refusal_detail(reason))
            .retry_after(u32::from(wait_ms).max(50));
        self.tell(id, Decision::Refuse(refusal));
        self.state.held.swap_remove(&id);
    }

    fn tell(&self, id: RequestId, decision: Decision) {
        if let Some(held) = self.state.held.get(&id) {
            // The handler is gone if its caller went away; it withdraws the request.
            let _handler_gone = held.decisions.send(decision);
        }
    }

    fn new_beat(&mut self) -> SideHeartbeat {
        self.state.next_sequence += 1;
        SideHeartbeat {
            endpoint: self.settings.endpoint.clone(),
            sequence: self.state.next_sequence,
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            service: self.settings.service.clone(),
            models: self.engine.models.clone(),
            load: self.admission.load(),
            bundle: self.bundle.as_ref().map_or(0, |(number, _)| *number),
            bundle_done: self.engine.bundle_done,
            presence: self.presence(),
            suspects: self.suspects.suspects_to_send(self.clock.now()),
        }
    }

    fn send_beat(&mut self, to: SocketAddr) {
        let beat = Heartbeat::Side(self.new_beat());
        if let Ok(datagram) = encode_heartbeat(&beat, &self.secrets) {
            self.metrics.add("side.beat_bytes_sent", datagram.len() as u64);
            // A lost datagram is made up for by the next one.
            let _lost = self.socket.send_to(&datagram, to);
        }
    }

    /// Tells every entry at once, when a change can't wait for its next heartbeat.
    fn beat_all(&mut self) {
        let addresses: Vec<SocketAddr> = self.state.entries.values().map(|e| e.from).collect();
        for address in addresses {
            self.send_beat(address);
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let actions = self.admission.tick(now);
        self.carry_out(actions);
        self.state.entries.retain(|_, e| now.since(e.heard_at) < ENTRY_TTL_MS);
        self.order_pull(now);
    }

    /// Asks the next owner with items for as many as there is room for.
    fn order_pull(&mut self, now: Millis) {
        if self.presence() != Presence::Serving {
            return;
        }
        let room = self.admission.wanted_batch_items();
        if room == 0 {
            return;
        }
        let count = self.state.entries.len();
        for step in 0..count {
            let index = (self.state.next_pull + step) % count;
            let entry = &mut self.state.entries[index];
            if entry.pull_pending && now < entry.pull_wait_until {
                continue;
            }
            if entry.beat.backlog == 0 || now < entry.pull_wait_until {
                continue;
            }
            entry.pull_pending = true;
            entry.pull_wait_until = now + PULL_TIMEOUT_MS;
            let order = PullOrder {
                entry: entry.beat.entry.clone(),
                owner_link: entry.beat.owner_link,
                room: room.min(u32::from(u16::MAX)) as u16,
                models: self.engine.models.clone(),
            };
            self.state.next_pull = index + 1;
            // The receiver lives as long as the process.
            let _stopping = self.pulls.send(order);
            return;
        }
    }

    fn end(&mut self, id: RequestId, completed: bool) {
        if let Some(held) = self.state.held.swap_remove(&id)
            && completed
        {
            self.suspects.note_completed(held.fingerprint);
        }
        let actions = self.admission.withdraw(id, self.clock.now());
        self.carry_out(actions);
    }

    fn remember(set: &mut IndexSet<u64>, attempt: u64) {
        if set.len() >= MAX_ATTEMPTS_REMEMBERED {
            set.shift_remove_index(0);
        }
        set.insert(attempt);
    }
}

pub(crate) fn poison_refusal() -> Refusal {
    Refusal::not_run(RefusalReason::Poison, "the request crashed endpoints before")
}

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
        cx.run_interval(TICK, |control, _| control.tick());
    }
}
