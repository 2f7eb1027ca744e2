//! Records which requests were running when endpoints crashed, and refuses those that crash them.

use std::sync::MutexGuard;

use mulberry_policy::crash_suspects::AnswerEnd;
use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::crash_suspects::CrashVerdict;
use mulberry_policy::crash_suspects::MAX_TRIALS;
use mulberry_policy::crash_suspects::Permission;
use mulberry_policy::crash_suspects::RequestKeys;
use mulberry_policy::crash_suspects::Run;
use mulberry_policy::crash_suspects::SuspectSender;
use mulberry_policy::crash_suspects::ToldSuspect;
use mulberry_policy::stream_end::BodyFraming;
use mulberry_policy::stream_end::StreamEnding;
use mulberry_policy::stream_end::StreamVerdict;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use crate::connection::probe_after_break;
use crate::fingerprint::fingerprint_text;
use crate::fingerprint::parts_text;
use crate::shared::SharedState;
use crate::shared::lock;

/// `Retry-After` of a convicted request whose trial could not be claimed, in milliseconds.
const UNCLAIMED_RETRY_MS: u64 = 1_000;

fn refuse_convicted(fingerprint: u64, retry_ms: u64) -> Refusal {
    let fingerprint = fingerprint_text(fingerprint);
    let detail =
        format!("the request or part with the fingerprint {fingerprint} crashes endpoints");
    let retry_ms = u32::try_from(retry_ms).unwrap_or(u32::MAX);
    Refusal::not_run(RefusalReason::Poison, detail).retry_after(retry_ms)
}

fn endpoint_run(fingerprint: u64, endpoint: &EndpointRecord, sent_at: Millis) -> Run<'_> {
    Run { fingerprint, service: &endpoint.service, endpoint: endpoint.load_key(), sent_at }
}

/// A run that broke, perhaps since its endpoint crashed.
#[derive(Debug, Clone, Copy)]
pub struct CrashedRun<'a> {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Fingerprints of the parts of its prompt that other requests may have too.
    pub parts: &'a [u64],
    /// The endpoint.
    pub endpoint: &'a EndpointRecord,
    /// When the request was sent there.
    pub sent_at: Millis,
}

/// What decided that a request or part is refused.
#[derive(Debug, Clone, Copy)]
pub(crate) enum VerdictSource<'a> {
    /// A crash that this process saw.
    Own,
    /// What this peer told or published.
    Peer(&'a EntryName),
    /// The stored conviction.
    Store,
}

impl SharedState {
    /// Locks the requests that are suspected or known to crash endpoints.
    pub fn crash_suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        lock(&self.crash_suspects)
    }

    /// Returns the fingerprints of which a request of the service needs a claimed trial to run, itself or
    /// a part, or the refusal if it may not run now. That says when the request may be sent again.
    pub fn check_permission(
        &self,
        keys: RequestKeys<'_>,
        service: &ServiceName,
    ) -> Result<Vec<u64>, Refusal> {
        let now = self.clock.now();
        let (request, (part, decisive)) = {
            let suspects = self.crash_suspects();
            let request = suspects.permission(keys.fingerprint, service, now);
            (request, suspects.part_permission(keys, service, now))
        };
        let decisions = [(request, Some(keys.fingerprint)), (part, decisive)];
        let mut trials = Vec::new();
        for (permission, key) in decisions {
            match (permission, key) {
                (Permission::Trial, Some(key)) => trials.push(key),
                (Permission::Refuse { until }, Some(key)) => {
                    return Err(refuse_convicted(key, until.since(now)));
                }
                _ => {}
            }
        }
        Ok(trials)
    }

    /// Claims a trial of a convicted online request. Returns the refusal if there is none.
    pub async fn claim_online_trial(&self, fingerprint: u64) -> Result<(), Refusal> {
        match self.claim_trial(fingerprint, MAX_TRIALS).await {
            true => Ok(()),
            false => Err(refuse_convicted(fingerprint, UNCLAIMED_RETRY_MS)),
        }
    }

    /// Returns whether this process may send a request to another endpoint after an endpoint ended
    /// its connection. Counts the retries that are not made.
    pub fn may_retry_after_break(&self, keys: RequestKeys<'_>) -> bool {
        let now = self.clock.now();
        let may_retry = {
            let suspects = self.crash_suspects();
            suspects.may_retry(keys.fingerprint, now) && suspects.may_retry_parts(keys, now)
        };
        if !may_retry {
            self.metrics.count_reason("direct.retries_denied", "crash-suspect");
        }
        may_retry
    }

    /// Decides whether a stream that an endpoint ended without an error is whole. Probes the endpoint if
    /// that depends on whether its process has ended too.
    pub async fn judge_ending(
        &self,
        ending: StreamEnding,
        endpoint: &EndpointRecord,
    ) -> StreamVerdict {
        let has_announced = || !self.takes_requests(endpoint);
        if !ending.needs_probe() || has_announced() {
            return ending.judge(false);
        }
        let evidence = probe_after_break(endpoint.address).await;
        ending.judge(evidence == CrashEvidence::Refused)
    }

    /// Records that a run broke, with this evidence of a crash. Returns whether the crash counts, as no
    /// other break of the same is known.
    pub fn record_break(&self, run: CrashedRun<'_>, evidence: CrashEvidence) -> bool {
        let CrashedRun { fingerprint, parts, endpoint, sent_at } = run;
        let now = self.clock.now();
        let run = endpoint_run(fingerprint, endpoint, sent_at);
        let (recorded, convicted_parts) = {
            let mut suspects = self.crash_suspects();
            let recorded = suspects.record_crash(run, evidence, now);
            (recorded, suspects.record_part_crashes(run, parts, evidence, now))
        };
        convicted_parts
            .into_iter()
            .for_each(|verdict| self.report_conviction(verdict, VerdictSource::Own));
        let Some(verdict) = recorded else {
            self.metrics.count("direct.crashes_not_counted");
            log_event!(info, Event::CrashNotCounted, fingerprint = fingerprint_text(fingerprint),
                prompt = parts_text(parts), endpoint = %endpoint.name, after = ?evidence);
            return false;
        };
        self.metrics.count("direct.crashes_counted");
        log_event!(info, Event::CrashCounted, fingerprint = fingerprint_text(fingerprint),
            prompt = parts_text(parts), endpoint = %endpoint.name, after = ?evidence,
            crashes = verdict.crashes);
        if verdict.newly_convicted {
            self.report_conviction(verdict, VerdictSource::Own);
        }
        true
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
        if self.crash_suspects().record_completed(run, now) {
            self.metrics.count("direct.requests_cleared");
            log_event!(info, Event::PoisonCleared, fingerprint = fingerprint_text(fingerprint),
                endpoint = %endpoint.name);
            self.forget_conviction(fingerprint);
        }
    }

    /// Records that an endpoint answered a request with these parts in its prompt to the end.
    pub fn record_parts_completed(&self, parts: &[u64], framing: BodyFraming) {
        let end = match framing {
            BodyFraming::Length | BodyFraming::Chunks => AnswerEnd::Marked,
            BodyFraming::Connection => AnswerEnd::Unmarked,
        };
        let now = self.clock.now();
        let cleared = self.crash_suspects().record_parts_completed(parts, end, now);
        for part in cleared {
            self.metrics.count("direct.requests_cleared");
            log_event!(info, Event::PoisonCleared, fingerprint = fingerprint_text(part));
            self.forget_conviction(part);
        }
    }

    /// Merges the suspects in a peer's heartbeat.
    pub fn merge_suspects(&self, sender: &SuspectSender, suspects: &[ToldSuspect]) {
        let now = self.clock.now();
        let convicted = self.crash_suspects().merge(sender, suspects, now);
        for verdict in convicted {
            self.report_conviction(verdict, VerdictSource::Peer(&sender.name));
        }
    }

    /// Logs and counts a request or part that this process refuses from now on.
    pub(crate) fn report_conviction(&self, verdict: CrashVerdict, source: VerdictSource<'_>) {
        let (reason, peer) = match source {
            VerdictSource::Own => ("own", ""),
            VerdictSource::Peer(peer) => ("peer", peer.as_str()),
            VerdictSource::Store => ("store", ""),
        };
        self.metrics.count_reason("direct.requests_convicted", reason);
        log_event!(
            warn,
            Event::PoisonConfirmed,
            fingerprint = fingerprint_text(verdict.fingerprint),
            crashes = verdict.crashes,
            source = reason,
            peer
        );
    }
}
