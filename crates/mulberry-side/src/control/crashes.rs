//! The endpoint's health, and crashes: who was running, and what is told.

use actix::Handler;
use actix::Message;
use tokio::sync::oneshot;

use mulberry_policy::admission::AdmissionAction;
use mulberry_policy::admission::RequestId;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::log_event;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::control::Decision;
use crate::control::SideControl;

/// Reports that the endpoint broke an answer. The reply comes once it is known whether it crashed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AnswerBroke {
    pub id: RequestId,
    pub reply: oneshot::Sender<Vec<Suspect>>,
}

impl Handler<AnswerBroke> for SideControl {
    type Result = ();

    fn handle(&mut self, broke: AnswerBroke, _: &mut Self::Context) {
        if self.state.in_crash {
            // A late report of the same crash, which must not count as another one.
            let told = self.state.told_of_crash.clone();
            let _gone = broke.reply.send(told);
            let actions = self.admission.withdraw(broke.id, self.clock.now());
            self.carry_out(actions);
            return;
        }
        if self.state.crash_waiters.is_empty() {
            // The first report of a crash: what runs now was running when it happened.
            let running = self.admission.running_requests(self.clock.now());
            let held = running.into_iter().filter_map(|(id, recent)| {
                self.state.held.get(&id).map(|h| (h.fingerprint, recent))
            });
            self.state.running_at_crash = held.collect();
        }
        self.state.crash_waiters.push(broke.reply);
        let actions = self.admission.withdraw(broke.id, self.clock.now());
        // Nothing is started on an endpoint that may be down; the probe's result comes soon.
        let starts = |a: &AdmissionAction| matches!(a, AdmissionAction::Start(_));
        let (held_back, others): (Vec<_>, Vec<_>) = actions.into_iter().partition(starts);
        self.carry_out(others);
        for action in held_back {
            if let AdmissionAction::Start(id) = action {
                self.refuse_started(id);
            }
        }
    }
}

impl SideControl {
    fn refuse_started(&mut self, id: RequestId) {
        let refusal = Refusal::not_run(RefusalReason::NotReady, "the endpoint failed");
        self.tell(id, Decision::Refuse(refusal.retry_after(500)));
        self.state.held.swap_remove(&id);
        let actions = self.admission.withdraw(id, self.clock.now());
        for action in actions {
            match action {
                AdmissionAction::Start(next) => self.refuse_started(next),
                other => self.carry_out(vec![other]),
            }
        }
    }
}

/// Reports a health check of the endpoint.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HealthSeen {
    pub healthy: bool,
}

impl Handler<HealthSeen> for SideControl {
    type Result = ();

    fn handle(&mut self, seen: HealthSeen, _: &mut Self::Context) {
        let now = self.clock.now();
        let waiters = std::mem::take(&mut self.state.crash_waiters);
        let mut told = Vec::new();
        if !waiters.is_empty() && !seen.healthy {
            let running = std::mem::take(&mut self.state.running_at_crash);
            self.state.in_crash = true;
            told = self.suspects.note_crash(&running, now);
            self.state.told_of_crash = told.clone();
            self.admission.note_crash(now);
            self.metrics.count("side.endpoint_crashes");
            log_event!(warn, Event::EngineCrashed, running = running.len());
            for suspect in told.iter().filter(|s| s.confirmed) {
                let fingerprint = suspect.fingerprint;
                log_event!(warn, Event::PoisonConfirmed, fingerprint);
            }
        }
        for waiter in waiters {
            // The handler is gone if its caller went away.
            let _gone = waiter.send(told.clone());
        }
        if seen.healthy {
            self.state.in_crash = false;
        }
        let before = self.presence();
        self.engine.healthy = seen.healthy;
        if self.presence() != before || !told.is_empty() {
            self.beat_all();
        }
        if seen.healthy {
            let actions = self.admission.tick(now);
            self.carry_out(actions);
        }
    }
}
