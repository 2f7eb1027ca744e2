//! Records which requests were running when endpoints crashed, and refuses those that crash them.

use std::sync::MutexGuard;

use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::CrashVerdict;
use mulberry_policy::crash_suspects::Run;
use mulberry_policy::crash_suspects::SuspectSender;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use crate::connection::probe_after_break;
use crate::fingerprint::fingerprint_text;
use crate::shared::SharedState;
use crate::shared::lock;

fn endpoint_run(fingerprint: u64, endpoint: &EndpointRecord, sent_at: Millis) -> Run<'_> {
    Run { fingerprint, service: &endpoint.service, endpoint: endpoint.load_key(), sent_at }
}

impl SharedState {
    /// Locks the requests that are suspected or known to crash endpoints.
    pub fn crash_suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        lock(&self.crash_suspects)
    }

    /// Returns a refusal if the request is known to crash endpoints. It says when the request may
    /// be sent again.
    pub fn check_not_convicted(&self, fingerprint: u64) -> Result<(), Refusal> {
        let now = self.clock.now();
        let Some(until) = self.crash_suspects().refused_until(fingerprint, now) else {
            return Ok(());
        };
        let detail = format!(
            "the request with the fingerprint {} crashes endpoints",
            fingerprint_text(fingerprint)
        );
        let retry_ms = u32::try_from(until.since(now)).unwrap_or(u32::MAX);
        Err(Refusal::not_run(RefusalReason::Poison, detail).retry_after(retry_ms))
    }

    /// Returns whether this process may send a request to another endpoint after an endpoint ended
    /// its connection. Counts the retries that are not made.
    pub fn may_retry_after_break(&self, fingerprint: u64) -> bool {
        let may_retry = self.crash_suspects().may_retry(fingerprint, self.clock.now());
        if !may_retry {
            self.metrics.count_reason("direct.retries_denied", "crash-suspect");
        }
        may_retry
    }

    /// Records that an endpoint ended the connection while it had a request, which was sent at
    /// `sent_at`. Probes the endpoint to see whether its process has ended.
    pub async fn record_crash(&self, fingerprint: u64, endpoint: &EndpointRecord, sent_at: Millis) {
        let evidence = probe_after_break(endpoint.address).await;
        let now = self.clock.now();
        let run = endpoint_run(fingerprint, endpoint, sent_at);
        let recorded = self.crash_suspects().record_crash(run, evidence, now);
        let verdict = match recorded {
            Ok(verdict) => verdict,
            Err(reason) => {
                self.metrics.count_reason("direct.crashes_not_counted", reason.as_str());
                log_event!(info, Event::CrashNotCounted,
                    fingerprint = fingerprint_text(fingerprint), endpoint = %endpoint.name,
                    after = ?evidence, reason = reason.as_str());
                return;
            }
        };
        self.metrics.count("direct.crashes_counted");
        log_event!(info, Event::CrashCounted, fingerprint = fingerprint_text(fingerprint),
            endpoint = %endpoint.name, after = ?evidence, points = verdict.points);
        if verdict.newly_refused {
            self.report_conviction(verdict, None);
        }
    }

    /// Records that an endpoint ran a request, which was sent at `sent_at`, to its end.
    pub fn record_run_completed(
        &self,
        fingerprint: u64,
        endpoint: &EndpointRecord,
        sent_at: Millis,
    ) {
        let now = self.clock.now();
        let run = endpoint_run(fingerprint, endpoint, sent_at);
        self.crash_suspects().record_completed(run, now);
    }

    /// Merges the suspects in a peer's heartbeat.
    pub fn merge_suspects(&self, sender: &SuspectSender, suspects: &[Suspect]) {
        let now = self.clock.now();
        let convicted = self.crash_suspects().merge(sender, suspects, now);
        for verdict in convicted {
            self.report_conviction(verdict, Some(&sender.name));
        }
    }

    /// Logs and counts a request that this process refuses from now on; `peer` is the process whose
    /// report decided it, if it was not this one's own observation.
    fn report_conviction(&self, verdict: CrashVerdict, peer: Option<&EntryName>) {
        let source = if peer.is_some() { "peer" } else { "own" };
        self.metrics.count_reason("direct.requests_convicted", source);
        log_event!(
            warn,
            Event::PoisonConfirmed,
            fingerprint = fingerprint_text(verdict.fingerprint),
            points = verdict.points,
            peer = peer.map_or("", |p| p.as_str())
        );
    }
}
