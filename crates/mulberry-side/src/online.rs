//! Serves an online request that came over a link: waits for admission, sends it to the endpoint
//! and relays the response.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
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

use crate::control::Decision;
use crate::control::OfferRequest;
use crate::control::Progress;
use crate::control::ResponseFailed;
use crate::endpoint::EndpointResponse;
use crate::process::Shared;
use crate::sse::EventCounter;

/// Shortest time between two reports of a stream's progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Time allowed for the health check that distinguishes a crash of the endpoint from a broken
/// connection.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a request at this side.
enum RequestOutcome {
    /// The whole response, of this many bytes, was relayed.
    Completed {
        bytes: u64,
    },
    Refused(Refusal, Vec<Suspect>),
    /// The entry closed the connection before the response was complete.
    CallerGone,
}

/// Handle of a request that the control thread tracks. Dropping it reports the request as ended.
pub(crate) struct RequestGuard {
    pub id: u64,
    pub decisions: mpsc::UnboundedReceiver<Decision>,
    pub shared: Shared,
    /// Whether the whole response was received.
    pub completed: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let ended = Progress::Ended { id: self.id, completed: self.completed };
        self.shared.control.do_send(ended);
    }
}

/// Offers a request to the control thread. `owner` is the shard and owner number of a batch item.
/// Decisions on an accepted request come through the handle.
pub(crate) async fn offer(
    dispatch: &Dispatch,
    urgency: Urgency,
    owner: Option<(u32, u64)>,
    shared: &Shared,
) -> Result<RequestGuard, Refusal> {
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
    Ok(RequestGuard { id, decisions, shared: shared.clone(), completed: false })
}

/// Serves a request. Returns the connection if it can be used again, none if the entry closed it.
pub(crate) async fn serve_dispatch(
    connection: LinkConnection,
    dispatch: Dispatch,
    shared: &Shared,
) -> Result<Option<LinkConnection>, LinkError> {
    let attempt = dispatch.attempt;
    let (mut writer, mut reader) = connection.split();
    let outcome = tokio::select! {
        outcome = serve(&mut writer, &dispatch, shared) => outcome?,
        () = wait_for_withdrawal(&mut reader) => RequestOutcome::CallerGone,
    };
    match outcome {
        RequestOutcome::Completed { bytes } => {
            shared.metrics.count("side.completed");
            writer.send(&FromSide::End { attempt, bytes }).await?;
        }
        RequestOutcome::Refused(refusal, suspects) => {
            shared.metrics.count_reason("side.refused", refusal.reason.as_str());
            writer.send(&FromSide::Refused { attempt, refusal, suspects }).await?;
        }
        RequestOutcome::CallerGone => {
            shared.metrics.count("side.abandoned");
            return Ok(None);
        }
    }
    Ok(reader.reunite(writer))
}

/// Waits until the entry withdraws the request by closing the connection.
async fn wait_for_withdrawal(reader: &mut LinkReader) {
    // An entry sends nothing during an exchange, so a message would be a protocol error. It is
    // treated like a closed connection.
    let _ended: Result<ToSide, LinkError> = reader.receive().await;
}

/// Runs a request on the endpoint once it is admitted, and relays the response.
async fn serve(
    writer: &mut LinkWriter,
    dispatch: &Dispatch,
    shared: &Shared,
) -> Result<RequestOutcome, LinkError> {
    let mut guard = match offer(dispatch, Urgency::Online, None, shared).await {
        Ok(guard) => guard,
        Err(refusal) => return Ok(RequestOutcome::Refused(refusal, Vec::new())),
    };
    match guard.decisions.recv().await {
        Some(Decision::Start) => {}
        Some(Decision::Refuse(refusal)) => return Ok(RequestOutcome::Refused(refusal, Vec::new())),
        Some(Decision::Preempt) | None => {
            let refusal = Refusal::not_run(RefusalReason::NotReady, "the side is stopping");
            return Ok(RequestOutcome::Refused(refusal, Vec::new()));
        }
    }
    let request = format!("{:016x}", dispatch.attempt);
    let endpoint = shared.endpoint();
    let sent = endpoint.send(dispatch, &request, dispatch.body.clone(), None).await;
    match sent {
        Ok(response) => relay(writer, dispatch, response, &mut guard).await,
        Err(e) => Ok(fail_broken_response(&mut guard, dispatch, e.to_string()).await),
    }
}

/// Relays the endpoint's response part by part.
async fn relay(
    writer: &mut LinkWriter,
    dispatch: &Dispatch,
    mut response: EndpointResponse,
    guard: &mut RequestGuard,
) -> Result<RequestOutcome, LinkError> {
    let attempt = dispatch.attempt;
    let status = response.status().as_u16();
    if let Some(refusal) = refusal_for_status(dispatch, status) {
        return Ok(RequestOutcome::Refused(refusal, Vec::new()));
    }
    let content_type = response.headers().get("content-type").and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or("").to_owned();
    let is_stream = content_type.starts_with("text/event-stream");
    let mut meter = StreamMeter::new(guard);
    let mut head = Some(FromSide::Head { attempt, status, content_type });
    let mut bytes = 0;
    while let Some(part) = response.next().await {
        let part: Bytes = match part {
            Ok(part) => part,
            Err(e) => return Ok(fail_broken_response(guard, dispatch, e.to_string()).await),
        };
        bytes += part.len() as u64;
        if is_stream {
            meter.record_part(&part);
        }
        // The head is sent with the first part, so that a request whose response fails before that
        // can still be retried.
        if let Some(head) = head.take() {
            writer.send(&head).await?;
        }
        writer.send(&FromSide::Data { attempt, body: part }).await?;
    }
    if let Some(head) = head.take() {
        writer.send(&head).await?;
    }
    if is_stream && !meter.counter.done {
        return Ok(fail_broken_response(guard, dispatch, "the stream ended early".to_owned()).await);
    }
    guard.completed = true;
    Ok(RequestOutcome::Completed { bytes })
}

/// Returns the refusal for an HTTP status with which an engine says that the request did not run,
/// or none for any other status.
pub(crate) fn refusal_for_status(dispatch: &Dispatch, status: u16) -> Option<Refusal> {
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

/// Refuses a request whose response broke off. Waits until it is known whether the endpoint
/// crashed.
async fn fail_broken_response(
    guard: &mut RequestGuard,
    dispatch: &Dispatch,
    detail: String,
) -> RequestOutcome {
    let suspects = report_broken_response(guard, dispatch.fingerprint).await;
    RequestOutcome::Refused(Refusal::ran(RefusalReason::EngineFailed, detail), suspects)
}

/// Reports a response that broke off and returns the suspects if the endpoint crashed. If that
/// can't be determined in time, for example because the control thread was paused, the request is a
/// suspect.
pub(crate) async fn report_broken_response(guard: &RequestGuard, fingerprint: u64) -> Vec<Suspect> {
    let (reply, suspects) = oneshot::channel();
    guard.shared.control.do_send(ResponseFailed { id: guard.id, reply });
    guard.shared.health_probe.notify_one();
    let suspects = tokio::time::timeout(CRASH_CHECK_TIMEOUT, suspects).await;
    let unknown = || vec![Suspect { fingerprint, crashes: 1, recent: true, confirmed: false }];
    suspects.ok().and_then(Result::ok).unwrap_or_else(unknown)
}

/// Counts a stream's tokens and reports them, with the mean time between them, to the control
/// thread.
pub(crate) struct StreamMeter {
    id: u64,
    shared: Shared,
    pub counter: EventCounter,
    first_token_seen: bool,
    /// Tokens since the last report.
    tokens: u32,
    /// Time of the last report.
    reported_at: Instant,
}

impl StreamMeter {
    pub fn new(guard: &RequestGuard) -> Self {
        Self {
            id: guard.id,
            shared: guard.shared.clone(),
            counter: EventCounter::default(),
            first_token_seen: false,
            tokens: 0,
            reported_at: Instant::now(),
        }
    }

    /// Records the tokens in the next part of the stream.
    pub fn record_part(&mut self, part: &[u8]) {
        let tokens = self.counter.count(part);
        self.record_tokens(tokens);
    }

    /// Records tokens that were just received. The first ones are reported at once.
    pub fn record_tokens(&mut self, tokens: u32) {
        if tokens == 0 {
            return;
        }
        if !self.first_token_seen {
            self.first_token_seen = true;
            self.reported_at = Instant::now();
            self.shared.control.do_send(Progress::FirstToken { id: self.id });
            return;
        }
        self.tokens += tokens;
        let elapsed = self.reported_at.elapsed();
        if elapsed >= PROGRESS_INTERVAL {
            let gap_ms = elapsed.as_secs_f64() * 1_000.0 / f64::from(self.tokens);
            let progress = Progress::Tokens { id: self.id, tokens: self.tokens, gap_ms };
            self.shared.control.do_send(progress);
            self.tokens = 0;
            self.reported_at = Instant::now();
        }
    }
}
