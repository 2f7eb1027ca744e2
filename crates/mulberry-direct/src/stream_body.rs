//! Body of a relayed streaming response: passes chunks on as they arrive. On resumable routes it
//! passes on complete events only, and continues a broken stream at another endpoint within the
//! same response.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::future::join;
use futures_util::stream::unfold;

use mulberry_policy::event_sequence::BlockVerdict;
use mulberry_policy::event_sequence::EventSequence;
use mulberry_policy::retry::MAX_NOT_RUN_ATTEMPTS;
use mulberry_policy::stream_end::StreamEnd;
use mulberry_policy::stream_end::StreamEnding;
use mulberry_policy::stream_end::StreamPosition;
use mulberry_policy::stream_end::StreamVerdict;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::stream_origin::stream_key;
use mulberry_protocol::time::Millis;

use crate::caller_request::CallerRequest;
use crate::choice::EndpointChoice;
use crate::connection::BreakCause;
use crate::exchange::ExchangeError;
use crate::fingerprint::fingerprint_text;
use crate::fingerprint::parts_text;
use crate::origins::make_certain;
use crate::origins::origin_of;
use crate::relay::OpenStream;
use crate::relay::Relay;
use crate::relay::RelayResponse;
use crate::shared::RequestGuard;
use crate::sse::SseParser;
use crate::waiting::Turn;

/// Part of a stream's time, as one in so many, for which a caller may keep it waiting. Beyond that its time
/// between parts says more of the caller than of the endpoint.
const MAX_HELD_UP_PART: u64 = 10;

/// State of one stream while it is relayed.
struct StreamRelay {
    relay: Relay,
    req: CallerRequest,
    open: OpenStream,
    parser: SseParser,
    /// Where the bytes of the present run end.
    end: StreamEnd,
    sequence: EventSequence,
    /// Whether an event is known to be missing: a part of it has come, or one after it.
    is_event_owed: bool,
    /// What is wrong with the last block that was read, if it is no part of the stream.
    violation: Option<BlockVerdict>,
    tried: Vec<EndpointName>,
    events: u64,
    /// When the first chunk arrived.
    first_chunk_at: Option<Millis>,
    /// When the last chunk was passed on, and for how long the caller has kept the next ones waiting.
    passed_on_at: Option<Millis>,
    held_up_ms: u64,
    _request: RequestGuard,
}

/// Next step of a stream. `Abort` carries the cause for the log and the metrics.
enum NextChunk {
    Data(Bytes),
    End,
    Abort(&'static str),
}

/// Returns the body of a streaming response. An error in the body closes the caller's connection,
/// so that a truncated response never looks complete.
pub fn stream_body(
    relay: Relay,
    req: CallerRequest,
    open: OpenStream,
    guard: RequestGuard,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let state = StreamRelay {
        sequence: EventSequence::new(req.is_continued, req.last_event),
        is_event_owed: false,
        violation: None,
        relay,
        req,
        open,
        parser: SseParser::default(),
        end: StreamEnd::default(),
        tried: Vec::new(),
        events: 0,
        first_chunk_at: None,
        passed_on_at: None,
        held_up_ms: 0,
        _request: guard,
    };
    unfold(Some(state), |state| async move {
        let mut state = state?;
        let asked_at = state.relay.shared.clock.now();
        state.held_up_ms += state.passed_on_at.map_or(0, |at| asked_at.since(at));
        match state.next_chunk().await {
            NextChunk::Data(chunk) => {
                let now = state.relay.shared.clock.now();
                state.first_chunk_at.get_or_insert(now);
                state.passed_on_at = Some(now);
                Some((Ok(chunk), Some(state)))
            }
            NextChunk::End => {
                state.open.watch.complete(true, state.open.response.framing);
                state.record_timing();
                state.log_end("complete");
                None
            }
            NextChunk::Abort(cause) => {
                state.log_end(cause);
                state.relay.shared.metrics.count_reason("direct.streams_cut", cause);
                Some((Err(io::Error::new(io::ErrorKind::ConnectionAborted, cause)), None))
            }
        }
    })
}

impl StreamRelay {
    async fn next_chunk(&mut self) -> NextChunk {
        loop {
            let left_ms = self.req.due.since(self.relay.shared.clock.now());
            if left_ms == 0 {
                // A body that always has more to read never makes the read time out.
                return NextChunk::Abort("time-out");
            }
            if let Some(verdict) = self.violation.take() {
                self.open.response.abandon();
                let detail = format!("a block of the stream is {}", verdict.as_str());
                self.record_break(Some(ExchangeError::invalid(detail))).await;
                if !self.resume().await {
                    return NextChunk::Abort("broken");
                }
                continue;
            }
            let reading = self.open.response.next_chunk();
            let read = tokio::time::timeout(Duration::from_millis(left_ms), reading).await;
            let read = read.map(|read| self.check_chunk(read));
            if matches!(read, Ok(Ok(None))) && self.is_whole().await {
                return NextChunk::End;
            }
            match read {
                Err(_) => return NextChunk::Abort("time-out"),
                Ok(Ok(Some(chunk))) if !self.is_resumable() => {
                    self.events += 1;
                    return NextChunk::Data(chunk);
                }
                Ok(Ok(Some(chunk))) => {
                    if let Some(events) = self.new_events(&chunk) {
                        return NextChunk::Data(events);
                    }
                }
                Ok(ended) => {
                    self.record_break(ended.err()).await;
                    if !self.resume().await {
                        return NextChunk::Abort("broken");
                    }
                }
            }
        }
    }

    /// Records a chunk. Turns it into an error if the event that it belongs to is too long to be one.
    fn check_chunk(
        &mut self,
        read: Result<Option<Bytes>, ExchangeError>,
    ) -> Result<Option<Bytes>, ExchangeError> {
        if let Ok(Some(chunk)) = &read {
            self.open.watch.record_output();
            self.end.push(chunk);
        }
        match self.end.is_overlong() && self.open.response.is_event_stream() {
            true => Err(ExchangeError::invalid("an event does not end")),
            false => read,
        }
    }

    /// Returns whether events are parsed, so that another endpoint can continue the stream.
    fn is_resumable(&self) -> bool {
        self.req.route.resumable && self.open.response.is_event_stream()
    }

    /// Returns whether the stream, which has ended without an error, is whole.
    async fn is_whole(&self) -> bool {
        let response = &self.open.response;
        let position = match response.is_event_stream() {
            true => self.end.position(),
            false => StreamPosition::BetweenEvents,
        };
        let ending = StreamEnding {
            framing: response.framing,
            position,
            is_continued: self.sequence.last().is_some() || self.req.is_continued,
            is_event_owed: self.is_event_owed,
        };
        let verdict = self.relay.shared.judge_ending(ending, &self.open.choice.endpoint);
        verdict.await == StreamVerdict::Whole
    }

    /// Parses a chunk and returns the complete events in it that the caller has not received yet, up to a
    /// block that is no part of the stream.
    fn new_events(&mut self, chunk: &Bytes) -> Option<Bytes> {
        let mut new = Vec::new();
        for event in self.parser.push(chunk) {
            match self.sequence.judge(event.form, event.number) {
                BlockVerdict::New => {}
                BlockVerdict::Repeated => continue,
                verdict @ (BlockVerdict::Foreign | BlockVerdict::Gap) => {
                    self.is_event_owed |= verdict == BlockVerdict::Gap;
                    self.violation = Some(verdict);
                    break;
                }
            }
            if self.events == 0 && self.open.origin.is_none() {
                let held_ms = self.open.response.held_ms;
                self.relay.shared.begin_stream(self.key(), &self.open.choice.endpoint, held_ms);
            }
            self.is_event_owed &= event.number.is_none();
            self.events += 1;
            new.extend_from_slice(&event.raw);
        }
        (!new.is_empty()).then(|| Bytes::from(new))
    }

    /// Chooses another endpoint to go on at.
    async fn choose_again(&self, origin: Option<&StreamOrigin>) -> Result<EndpointChoice, Refusal> {
        let (relay, tried) = (&self.relay, &self.tried);
        let service = relay.pick_service(&self.req, tried, origin)?;
        relay.choose_within_limits(&self.req, &service, tried, origin, Turn::Again).await
    }

    /// Continues the stream at another endpoint after the last event that was passed on. Returns
    /// false if no endpoint takes it over.
    async fn resume(&mut self) -> bool {
        let origin = self.origin();
        let mut not_run = 0;
        while self.is_resumable()
            && self.open.attempts < self.req.route.attempts
            && not_run < MAX_NOT_RUN_ATTEMPTS
        {
            self.tried.push(self.open.choice.endpoint.name.clone());
            self.parser = SseParser::default();
            self.end = StreamEnd::default();
            self.sequence.begin_run();
            if !self.relay.shared.may_retry_after_break(self.req.keys()) {
                return false;
            }
            let origin = origin.as_ref();
            let Ok(choice) = self.choose_again(origin).await else { return false };
            if let Some(origin) = origin
                && !self.confirm_origin(&choice, origin).await
            {
                return false;
            }
            let attempt = self.open.attempts + 1;
            let (relay, after) = (&self.relay, self.sequence.last());
            let tried = relay.try_endpoint(&self.req, &choice, attempt, origin, after).await;
            self.relay.shared.metrics.count("direct.streams_resumed");
            match tried {
                Ok(RelayResponse::Stream(open)) => {
                    self.open = open;
                    return true;
                }
                Ok(RelayResponse::Full(..)) => return false,
                Err(failure) => {
                    self.log_break(&choice, failure.cause, &failure.refusal.detail);
                    match failure.refusal.run {
                        RunState::NotRun => not_run += 1,
                        RunState::Unknown | RunState::Ran => self.open.attempts = attempt,
                    }
                    self.open.choice = choice;
                }
            }
        }
        false
    }

    fn key(&self) -> u64 {
        stream_key(self.req.request_id.as_bytes())
    }

    /// Returns the origin at which the stream must go on, as far as this process knows, or none if it
    /// has not begun yet.
    fn origin(&self) -> Option<StreamOrigin> {
        let began_here = (self.events > 0).then(|| origin_of(&self.open.choice.endpoint));
        self.open.origin.clone().or(began_here)
    }

    /// Waits until both the origin of the stream and the version of the endpoint that is to continue it
    /// are certain. Returns whether the origin is.
    async fn confirm_origin(&self, next: &EndpointChoice, origin: &StreamOrigin) -> bool {
        let relay = &self.relay;
        let held = make_certain(&relay.shared, &relay.pool, &next.endpoint);
        if self.open.origin.is_some() {
            return true;
        }
        // A failure shows again when the request is sent.
        let (began, _held) = join(relay.shared.own_origin(self.key()), held).await;
        began.as_ref() == Some(origin)
    }

    /// Records that the endpoint broke the stream off, with the error or, without one, by ending it.
    async fn record_break(&mut self, error: Option<ExchangeError>) {
        let position = self.end.position();
        let error = error.unwrap_or_else(|| match position {
            StreamPosition::Start | StreamPosition::BetweenEvents if self.is_event_owed => {
                ExchangeError::invalid("the stream ended before an event that is owed")
            }
            _ => ExchangeError::broken_off(position),
        });
        self.is_event_owed |= self.is_resumable() && position == StreamPosition::WithinEvent;
        if error.is_crash() {
            self.open.watch.record_crash().await;
        }
        let (cause, detail) = match error {
            ExchangeError::Broken { cause, detail } => (Some(cause), detail),
            e => (None, e.to_string()),
        };
        self.log_break(&self.open.choice, cause, &detail);
    }

    fn log_break(&self, choice: &EndpointChoice, cause: Option<BreakCause>, detail: &str) {
        log_event!(
            info,
            Event::AttemptFailed,
            request = self.req.id_text(),
            route = &*self.req.route.name,
            endpoint = %choice.endpoint.name,
            software = %choice.endpoint.software,
            parts = self.events,
            framing = self.open.response.framing.as_str(),
            position = self.end.position().as_str(),
            fingerprint = fingerprint_text(self.req.fingerprint),
            caller = %self.req.caller_text(),
            prompt = parts_text(&self.req.parts),
            broke = cause.map_or("", BreakCause::as_str),
            detail
        );
    }

    /// Records the timing of a stream that ran at a single endpoint, for the run times and the endpoint's speed.
    fn record_timing(&self) {
        let Some(first_chunk_at) = self.first_chunk_at.filter(|_| self.tried.is_empty()) else {
            return;
        };
        let shared = &self.relay.shared;
        let first_ms = first_chunk_at.since(self.open.watch.sent_at());
        let rest_ms = shared.clock.now().since(first_chunk_at);
        let is_held_up = self.held_up_ms * MAX_HELD_UP_PART > rest_ms;
        // A single part has no time between parts.
        let parts = if is_held_up { 1 } else { self.events };
        shared.record_run_times(&self.open.choice, first_ms, Some((rest_ms, parts)));
    }

    fn log_end(&self, outcome: &str) {
        let first_ms = self.first_chunk_at.map(|at| at.since(self.open.watch.sent_at()));
        log_event!(
            info,
            Event::RequestRelayed,
            request = self.req.id_text(),
            account = self.req.account_text(),
            route = &*self.req.route.name,
            version = self.req.version,
            endpoint = %self.open.choice.endpoint.name,
            software = %self.open.choice.endpoint.software,
            resumes = self.req.resumes.as_deref().unwrap_or(""),
            attempts = self.open.attempts,
            in_flight = self.open.choice.in_flight,
            view_age_ms = self.open.choice.view_age_ms,
            slowness_percent = self.open.choice.slowness_percent,
            first_ms = first_ms.unwrap_or(0),
            parts = self.events,
            framing = self.open.response.framing.as_str(),
            position = self.end.position().as_str(),
            left_ms = self.req.due.since(self.relay.shared.clock.now()),
            outcome
        );
    }
}
