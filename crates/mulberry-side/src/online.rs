//! Serves one request on a link: admission, the endpoint's answer, and its relay.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_link::LinkReader;
use mulberry_link::LinkWriter;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::link::Dispatch;
use mulberry_protocol::link::FromSide;
use mulberry_protocol::link::ToSide;
use mulberry_protocol::link::Urgency;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::control::AnswerBroke;
use crate::control::Decision;
use crate::control::OfferRequest;
use crate::control::Progress;
use crate::endpoint::EndpointResponse;
use crate::process::Shared;
use crate::sse::EventCounter;

/// Time between reports of a stream's progress.
const REPORT_EVERY: Duration = Duration::from_millis(100);

/// Time for the probe that tells a crash from a broken connection.
const CRASH_VERDICT_TIME: Duration = Duration::from_secs(2);

/// How a request ended at this side.
enum Served {
    Whole { bytes: u64 },
    Refused(Refusal, Vec<Suspect>),
    CallerGone,
}

/// A request that was admitted and is reported as ended when dropped.
pub(crate) struct Admitted {
    pub id: u64,
    pub decisions: mpsc::UnboundedReceiver<Decision>,
    pub shared: Shared,
    pub completed: bool,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let ended = Progress::Ended { id: self.id, completed: self.completed };
        self.shared.control.do_send(ended);
    }
}

/// Offers a request to the control thread.
pub(crate) async fn offer(
    dispatch: &Dispatch,
    urgency: Urgency,
    owner: Option<(u32, u64)>,
    shared: &Shared,
) -> Result<Admitted, Refusal> {
    let (tx, decisions) = mpsc::unbounded_channel();
    let offer = OfferRequest {
        urgency,
        deadline_ms: dispatch.deadline_ms,
        prompt_tokens: dispatch.prompt_tokens,
        fingerprint: dispatch.fingerprint,
        alone: dispatch.alone,
        attempt_once: (!dispatch.idempotent).then_some(dispatch.attempt),
        owner,
        decisions: tx,
    };
    let sent = shared.control.send(offer).await;
    let stopping = || Refusal::not_run(RefusalReason::NotReady, "the side is stopping");
    let id = sent.unwrap_or_else(|_| Err(stopping()))?;
    Ok(Admitted { id, decisions, shared: shared.clone(), completed: false })
}

/// Serves a request. Returns the connection if it can be used again.
pub(crate) async fn serve_dispatch(
    connection: LinkConnection,
    dispatch: Dispatch,
    shared: &Shared,
) -> Result<Option<LinkConnection>, LinkError> {
    let attempt = dispatch.attempt;
    let (mut writer, mut reader) = connection.split();
    let served = tokio::select! {
        served = serve(&mut writer, &dispatch, shared) => served?,
        () = caller_gone(&mut reader) => Served::CallerGone,
    };
    match served {
        Served::Whole { bytes } => {
            shared.metrics.count("side.completed");
            writer.send(&FromSide::End { attempt, bytes }).await?;
        }
        Served::Refused(refusal, suspects) => {
            shared.metrics.count_reason("side.refused", refusal.reason.as_str());
            writer.send(&FromSide::Refused { attempt, refusal, suspects }).await?;
        }
        Served::CallerGone => {
            shared.metrics.count("side.abandoned");
            return Ok(None);
        }
    }
    Ok(reader.rejoin(writer))
}

/// Waits until the entry closes the connection, which withdraws the request.
async fn caller_gone(reader: &mut LinkReader) {
    // An entry sends nothing during an exchange, so that anything received ends it.
    let _ended: Result<ToSide, LinkError> = reader.receive().await;
}

async fn serve(
    writer: &mut LinkWriter,
    dispatch: &Dispatch,
    shared: &Shared,
) -> Result<Served, LinkError> {
    let mut admitted = match offer(dispatch, Urgency::Online, None, shared).await {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(Served::Refused(refusal, Vec::new())),
    };
    match admitted.decisions.recv().await {
        Some(Decision::Start) => {}
        Some(Decision::Refuse(refusal)) => return Ok(Served::Refused(refusal, Vec::new())),
        Some(Decision::Preempt) | None => {
            let refusal = Refusal::not_run(RefusalReason::NotReady, "the side is stopping");
            return Ok(Served::Refused(refusal, Vec::new()));
        }
    }
    let request = format!("{:016x}", dispatch.attempt);
    let endpoint = shared.endpoint();
    let sent = endpoint.send(dispatch, &request, dispatch.body.clone(), None).await;
    match sent {
        Ok(response) => relay(writer, dispatch, response, &mut admitted).await,
        Err(e) => Ok(broke(&mut admitted, dispatch, e.to_string()).await),
    }
}

/// Relays the endpoint's answer part by part.
async fn relay(
    writer: &mut LinkWriter,
    dispatch: &Dispatch,
    mut response: EndpointResponse,
    admitted: &mut Admitted,
) -> Result<Served, LinkError> {
    let attempt = dispatch.attempt;
    let status = response.status().as_u16();
    if let Some(refusal) = refusal_of_status(dispatch, status) {
        return Ok(Served::Refused(refusal, Vec::new()));
    }
    let content_type = response.headers().get("content-type").and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or("").to_owned();
    let is_stream = content_type.starts_with("text/event-stream");
    let mut meter = StreamMeter::new(admitted);
    let mut head = Some(FromSide::Head { attempt, status, content_type });
    let mut bytes = 0;
    while let Some(part) = response.next().await {
        let part: Bytes = match part {
            Ok(part) => part,
            Err(e) => return Ok(broke(admitted, dispatch, e.to_string()).await),
        };
        bytes += part.len() as u64;
        if is_stream {
            meter.note(&part);
        }
        // The head goes out with the first part, so that an answer without any can be retried.
        if let Some(head) = head.take() {
            writer.send(&head).await?;
        }
        writer.send(&FromSide::Data { attempt, body: part }).await?;
    }
    if let Some(head) = head.take() {
        writer.send(&head).await?;
    }
    if is_stream && !meter.counter.done {
        return Ok(broke(admitted, dispatch, "the stream ended early".to_owned()).await);
    }
    admitted.completed = true;
    Ok(Served::Whole { bytes })
}

/// Maps answers by which an engine says that the request did not run.
pub(crate) fn refusal_of_status(dispatch: &Dispatch, status: u16) -> Option<Refusal> {
    let is_engine = dispatch.model.is_some();
    match status {
        503 if is_engine => {
            let refusal = Refusal::not_run(RefusalReason::NotReady, "the engine is starting");
            Some(refusal.retry_after(500))
        }
        404 if is_engine => {
            Some(Refusal::not_run(RefusalReason::UnknownTarget, "the model is not loaded"))
        }
        _ => None,
    }
}

/// Ends a request whose answer broke off, once it is known whether the endpoint crashed.
async fn broke(admitted: &mut Admitted, dispatch: &Dispatch, detail: String) -> Served {
    let suspects = report_broken(admitted, dispatch.fingerprint).await;
    Served::Refused(Refusal::ran(RefusalReason::EngineFailed, detail), suspects)
}

/// Reports a broken answer and returns the suspects of the crash, if it was one. Without a verdict,
/// as when the control thread was paused, the request itself is a suspect.
pub(crate) async fn report_broken(admitted: &Admitted, fingerprint: u64) -> Vec<Suspect> {
    let (reply, verdict) = oneshot::channel();
    admitted.shared.control.do_send(AnswerBroke { id: admitted.id, reply });
    admitted.shared.probe.notify_one();
    let verdict = tokio::time::timeout(CRASH_VERDICT_TIME, verdict).await;
    let unknown = || vec![Suspect { fingerprint, crashes: 1, recent: true, confirmed: false }];
    verdict.ok().and_then(Result::ok).unwrap_or_else(unknown)
}

/// Measures a stream's tokens and reports them to the control thread now and then.
pub(crate) struct StreamMeter {
    id: u64,
    shared: Shared,
    pub counter: EventCounter,
    begun: bool,
    tokens: u32,
    since: Instant,
}

impl StreamMeter {
    pub fn new(admitted: &Admitted) -> Self {
        Self {
            id: admitted.id,
            shared: admitted.shared.clone(),
            counter: EventCounter::default(),
            begun: false,
            tokens: 0,
            since: Instant::now(),
        }
    }

    /// Takes a part of a stream.
    pub fn note(&mut self, part: &[u8]) {
        let tokens = self.counter.count(part);
        self.note_tokens(tokens);
    }

    /// Takes a number of tokens that just came.
    pub fn note_tokens(&mut self, tokens: u32) {
        if tokens == 0 {
            return;
        }
        if !self.begun {
            self.begun = true;
            self.since = Instant::now();
            self.shared.control.do_send(Progress::FirstToken { id: self.id });
            return;
        }
        self.tokens += tokens;
        let span = self.since.elapsed();
        if span >= REPORT_EVERY {
            let gap_ms = span.as_secs_f64() * 1_000.0 / f64::from(self.tokens);
            let progress = Progress::Tokens { id: self.id, tokens: self.tokens, gap_ms };
            self.shared.control.do_send(progress);
            self.tokens = 0;
            self.since = Instant::now();
        }
    }
}
