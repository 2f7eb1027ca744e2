//! The body of a relayed stream: parts as they arrive, and where allowed its continuation at another
//! endpoint within the same answer.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;

use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::time::Millis;

use crate::events::EventSplitter;
use crate::relay::CallerRequest;
use crate::relay::OpenStream;
use crate::relay::Relay;
use crate::relay::RelayAnswer;
use crate::shared::RequestGuard;

/// A stream on its way to the caller.
struct Relaying {
    relay: Relay,
    req: CallerRequest,
    open: OpenStream,
    splitter: EventSplitter,
    last_event: Option<u64>,
    tried: Vec<EndpointName>,
    events: u64,
    /// When the first part came.
    first_at: Option<Millis>,
    _request: RequestGuard,
}

/// What comes next for the caller.
enum Next {
    Part(Bytes),
    End,
    Cut(&'static str),
}

/// Makes the body of an answer. An error in it cuts the caller's connection, so that an answer that
/// ends early never looks complete.
pub fn stream_body(
    relay: Relay,
    req: CallerRequest,
    open: OpenStream,
    guard: RequestGuard,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let state = Relaying {
        relay,
        req,
        open,
        splitter: EventSplitter::default(),
        last_event: None,
        tried: Vec::new(),
        events: 0,
        first_at: None,
        _request: guard,
    };
    unfold(Some(state), |state| async move {
        let mut state = state?;
        match state.next().await {
            Next::Part(part) => {
                let now = state.relay.fleet.clock.now();
                state.first_at.get_or_insert(now);
                Some((Ok(part), Some(state)))
            }
            Next::End => {
                state.note_pace();
                state.log("complete");
                None
            }
            Next::Cut(cause) => {
                state.log(cause);
                state.relay.fleet.metrics.count_reason("direct.streams_cut", cause);
                Some((Err(io::Error::new(io::ErrorKind::ConnectionAborted, cause)), None))
            }
        }
    })
}

impl Relaying {
    async fn next(&mut self) -> Next {
        loop {
            let left_ms = self.req.due.since(self.relay.fleet.clock.now());
            let reading = self.open.answer.next_part();
            let read = tokio::time::timeout(Duration::from_millis(left_ms), reading).await;
            match read {
                Err(_) => return Next::Cut("time-out"),
                Ok(Ok(Some(part))) if !self.req.route.resumable => {
                    self.events += 1;
                    return Next::Part(part);
                }
                Ok(Ok(Some(part))) => {
                    if let Some(whole) = self.take_events(&part) {
                        return Next::Part(whole);
                    }
                }
                Ok(Ok(None)) if !self.splitter.has_rest() => return Next::End,
                Ok(Ok(None)) if !self.req.route.resumable => return Next::End,
                Ok(Ok(None) | Err(_)) => {
                    if !self.resume().await {
                        return Next::Cut("broken");
                    }
                }
            }
        }
    }

    /// Returns the whole events of a part that the caller does not hold yet.
    fn take_events(&mut self, part: &Bytes) -> Option<Bytes> {
        let mut fresh = Vec::new();
        for event in self.splitter.push(part) {
            if event.number.is_some() && event.number <= self.last_event {
                continue;
            }
            self.last_event = event.number.or(self.last_event);
            self.events += 1;
            fresh.extend_from_slice(&event.raw);
        }
        (!fresh.is_empty()).then(|| Bytes::from(fresh))
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn resume(&mut self) -> bool {
        while self.req.route.resumable && self.open.attempts < self.req.route.attempts {
            self.tried.push(self.open.choice.endpoint.name.clone());
            self.splitter = EventSplitter::default();
            let Ok(choice) = self.relay.choose(&self.req, &self.tried) else { return false };
            let attempt = self.open.attempts + 1;
            let tried = self.relay.try_endpoint(&self.req, &choice, attempt, self.last_event).await;
            self.relay.fleet.metrics.count("direct.streams_resumed");
            match tried {
                Ok(RelayAnswer::Stream(open)) => {
                    self.open = open;
                    return true;
                }
                Ok(RelayAnswer::Whole(..)) => return false,
                Err(refusal) => {
                    log_event!(info, Event::AttemptFailed,
                        request = self.req.id_text(),
                        endpoint = %choice.endpoint.name, detail = refusal.detail);
                    self.open.attempts = attempt;
                    self.open.choice = choice;
                }
            }
        }
        false
    }

    /// Learns from a stream that ran at one endpoint.
    fn note_pace(&self) {
        let Some(first_at) = self.first_at.filter(|_| self.tried.is_empty()) else { return };
        let fleet = &self.relay.fleet;
        let first_ms = first_at.since(self.open.sent_at);
        let rest_ms = fleet.clock.now().since(first_at);
        fleet.queue_limits().note_run(&self.open.choice.endpoint.service, first_ms, rest_ms);
    }

    fn log(&self, outcome: &str) {
        log_event!(
            info,
            Event::RequestRelayed,
            request = self.req.id_text(),
            route = &*self.req.route.name,
            version = self.req.version,
            endpoint = %self.open.choice.endpoint.name,
            attempts = self.open.attempts,
            in_flight = self.open.choice.in_flight,
            view_age_ms = self.open.choice.view_age_ms,
            parts = self.events,
            left_ms = self.req.due.since(self.relay.fleet.clock.now()),
            outcome
        );
    }
}
