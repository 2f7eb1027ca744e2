//! Health checks and crashes of the endpoint: records which requests ran at a crash and reports
//! them as suspects.

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

/// Records that a response of the endpoint broke off. The reply, the suspects if the endpoint
/// crashed, is sent after the next health check.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ResponseFailed {
    pub id: RequestId,
    pub reply: oneshot::Sender<Vec<Suspect>>,
}

impl Handler<ResponseFailed> for SideControl {
    type Result = ();

    fn handle(&mut self, failed: ResponseFailed, _: &mut Self::Context) {
        if self.state.crash_recorded {
            // A later report of the same crash, which must not count as another crash.
            let suspects = self.state.crash_suspects.clone();
            let _handler_dropped = failed.reply.send(suspects);
            let actions = self.admission.withdraw(failed.id, self.clock.now());
            self.apply_actions(actions);
            return;
        }
        if self.state.crash_waiters.is_empty() {
            // The first report of a possible crash: the requests that run now also ran when it
            // happened.
            let running = self.admission.running_requests(self.clock.now());
            let at_crash = running.into_iter().filter_map(|(id, recent)| {
                self.state.requests.get(&id).map(|r| (r.fingerprint, recent))
            });
            self.state.running_at_crash = at_crash.collect();
        }
        self.state.crash_waiters.push(failed.reply);
        let actions = self.admission.withdraw(failed.id, self.clock.now());
        // The endpoint may be down, so nothing is started on it before the health check that was
        // asked for reports its result.
        let is_start = |a: &AdmissionAction| matches!(a, AdmissionAction::Start(_));
        let (starts, others): (Vec<_>, Vec<_>) = actions.into_iter().partition(is_start);
        self.apply_actions(others);
        for action in starts {
            if let AdmissionAction::Start(id) = action {
                self.refuse_started(id);
            }
        }
    }
}

impl SideControl {
    /// Refuses a request that the admission started, and those that it starts in its place.
    fn refuse_started(&mut self, id: RequestId) {
        let refusal = Refusal::not_run(RefusalReason::NotReady, "the endpoint failed");
        self.send_decision(id, Decision::Refuse(refusal.retry_after(500)));
        self.state.requests.swap_remove(&id);
        let actions = self.admission.withdraw(id, self.clock.now());
        for action in actions {
            match action {
                AdmissionAction::Start(next) => self.refuse_started(next),
                other => self.apply_actions(vec![other]),
            }
        }
    }
}

/// Records the result of a health check. An unhealthy endpoint after a broken response counts as a
/// crash.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HealthChecked {
    pub healthy: bool,
}

impl Handler<HealthChecked> for SideControl {
    type Result = ();

    fn handle(&mut self, check: HealthChecked, _: &mut Self::Context) {
        let now = self.clock.now();
        let waiters = std::mem::take(&mut self.state.crash_waiters);
        let mut suspects = Vec::new();
        if !waiters.is_empty() && !check.healthy {
            let running = std::mem::take(&mut self.state.running_at_crash);
            self.state.crash_recorded = true;
            suspects = self.suspects.record_crash(&running, now);
            self.state.crash_suspects = suspects.clone();
            self.admission.record_crash(now);
            self.metrics.count("side.endpoint_crashes");
            log_event!(warn, Event::EngineCrashed, running = running.len());
            for suspect in suspects.iter().filter(|s| s.confirmed) {
                let fingerprint = suspect.fingerprint;
                log_event!(warn, Event::PoisonConfirmed, fingerprint);
            }
        }
        for waiter in waiters {
            // Sending fails if the handler was dropped because its caller disconnected.
            let _handler_dropped = waiter.send(suspects.clone());
        }
        if check.healthy {
            self.state.crash_recorded = false;
        }
        let before = self.presence();
        self.endpoint_state.healthy = check.healthy;
        if self.presence() != before || !suspects.is_empty() {
            self.send_heartbeats();
        }
        if check.healthy {
            let actions = self.admission.tick(now);
            self.apply_actions(actions);
        }
    }
}
