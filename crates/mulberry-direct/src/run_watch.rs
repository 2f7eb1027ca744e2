//! Watches one run of a request at an endpoint until it ends, also when its caller leaves before.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::stream_end::BodyFraming;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::time::Millis;

use crate::caller_request::CallerRequest;
use crate::connection::ConnectionPool;
use crate::connection::probe_after_break;
use crate::crashes::CrashedRun;
use crate::fingerprint::fingerprint_text;
use crate::fingerprint::parts_text;
use crate::shared::SharedState;

/// Time without a byte from an endpoint after which it counts as silent.
pub(crate) const SILENT_AFTER: Duration = Duration::from_millis(150);

/// A run that was sent to an endpoint. If it is dropped before its end is known, the run was
/// abandoned: by a timeout, or because the caller left.
pub struct RunWatch {
    shared: Arc<SharedState>,
    pool: ConnectionPool,
    fingerprint: u64,
    parts: Arc<[u64]>,
    endpoint: EndpointRecord,
    sent_at: Millis,
    sent: Instant,
    is_open: bool,
}

impl RunWatch {
    /// Watches a run that is sent now.
    pub fn start(
        shared: Arc<SharedState>,
        pool: ConnectionPool,
        req: &CallerRequest,
        endpoint: EndpointRecord,
    ) -> Self {
        let (fingerprint, parts) = (req.fingerprint, req.parts.clone());
        let sent_at = shared.clock.now();
        let sent = Instant::now();
        Self { shared, pool, fingerprint, parts, endpoint, sent_at, sent, is_open: true }
    }

    /// Returns when the run was sent.
    pub fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// Records that the endpoint has begun to respond: its silence says nothing from now on.
    pub fn record_output(&mut self) {
        self.is_open = false;
    }

    /// Records that the endpoint ran the request to its end, with an answer of this framing, and whether
    /// that was a success.
    pub fn complete(&mut self, is_success: bool, framing: BodyFraming) {
        self.is_open = false;
        if is_success {
            self.shared.record_parts_completed(&self.parts, framing);
        }
        self.shared.record_run_completed(self.fingerprint, &self.endpoint, self.sent_at);
    }

    /// Records that the endpoint ended the connection before the end of the run.
    pub async fn record_crash(&mut self) {
        self.is_open = false;
        let evidence = probe_after_break(self.endpoint.address).await;
        self.record_break(evidence);
    }

    fn record_break(&self, evidence: CrashEvidence) {
        let run = CrashedRun {
            fingerprint: self.fingerprint,
            parts: &self.parts,
            endpoint: &self.endpoint,
            sent_at: self.sent_at,
        };
        self.shared.record_break(run, evidence);
    }

    /// Records that the run ended in a way that says nothing of a crash.
    pub fn dismiss(&mut self) {
        self.is_open = false;
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let silence = self.pool.silence_since(self.endpoint.address, self.sent);
        if silence < SILENT_AFTER {
            return;
        }
        self.shared.metrics.count("direct.runs_unanswered");
        log_event!(info, Event::RunUnanswered, fingerprint = fingerprint_text(self.fingerprint),
            prompt = parts_text(&self.parts), endpoint = %self.endpoint.name, span_ms = self.sent.elapsed().as_millis() as u64,
            silent_ms = silence.as_millis() as u64);
        self.record_break(CrashEvidence::Silent);
    }
}
