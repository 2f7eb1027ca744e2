//! Builds the caller's response from an endpoint's response, and relays streams.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use thiserror::Error;

use mulberry_policy::fault_injection::InjectedFault;
use mulberry_policy::fault_injection::is_injected;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::refusal::Refusal;

use super::error::error_body;
use crate::actors::ControlActors;
use crate::dispatch::Outcome;
use crate::dispatch::report_suspects;
use crate::response::AttemptResponse;
use crate::shared::Shared;

/// Time for the error event to be sent before the connection is closed.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Error that aborts a response, so that a caller can't take an incomplete response for a complete
/// one.
#[derive(Debug, Error)]
#[error("the answer was cut off")]
struct CutOff;

/// Builds the response to an answered request.
pub(super) fn build_response(
    outcome: Outcome,
    shared: &Shared,
    actors: &ControlActors,
) -> HttpResponse {
    shared.metrics.count("entry.answered");
    match outcome {
        Outcome::Buffered { status, content_type, body } => {
            let mut response = HttpResponse::build(http_status(status));
            response.insert_header(("x-run-state", "ran"));
            if !content_type.is_empty() {
                response.content_type(content_type);
            }
            response.body(body)
        }
        Outcome::Stream(upstream) => {
            let mut response = HttpResponse::build(http_status(upstream.status));
            response.insert_header(("cache-control", "no-cache"));
            response.content_type(upstream.content_type.clone());
            response.streaming(relay_parts(upstream, shared.clone(), actors.clone()))
        }
    }
}

fn http_status(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

enum RelayState {
    /// Parts of the response are relayed.
    Parts(AttemptResponse),
    /// The response broke off and the error event was written.
    CutOff,
}

/// Relays the parts of a stream. A stream that breaks off ends with an error event and an aborted
/// connection, never with the usual last event.
fn relay_parts(
    upstream: AttemptResponse,
    shared: Shared,
    actors: ControlActors,
) -> impl Stream<Item = Result<Bytes, CutOff>> {
    let state = Some(RelayState::Parts(upstream));
    stream::unfold((state, shared, actors), |(state, shared, actors)| async move {
        match state? {
            RelayState::CutOff => {
                // The error event must be sent before the connection is aborted.
                tokio::time::sleep(FLUSH_DELAY).await;
                Some((Err(CutOff), (None, shared, actors)))
            }
            RelayState::Parts(mut upstream) => match upstream.next_part().await {
                Ok(Some(part)) => {
                    let next = Some(RelayState::Parts(upstream));
                    Some((Ok(part), (next, shared, actors)))
                }
                Ok(None) => None,
                Err(failure) => {
                    report_suspects(&shared, &actors, &failure.suspects);
                    let reason = failure.refusal.reason.as_str();
                    shared.metrics.count_reason("entry.streams_cut", reason);
                    let refusal = Refusal {
                        run: mulberry_protocol::refusal::RunState::Ran,
                        ..failure.refusal
                    };
                    if is_injected(InjectedFault::ShortAnswer) {
                        let last = Bytes::from_static(b"data: [DONE]\n\n");
                        return Some((Ok(last), (None, shared, actors)));
                    }
                    let event = format!("data: {}\n\n", error_body(&refusal));
                    Some((Ok(Bytes::from(event)), (Some(RelayState::CutOff), shared, actors)))
                }
            },
        }
    })
}

/// Counts and logs a refusal.
pub(super) fn record_refusal(shared: &Shared, client: &ClientName, refusal: &Refusal) {
    let reason = refusal.reason.as_str();
    shared.metrics.count_reason("entry.refused", reason);
    log_event!(debug, Event::RequestRefused, %client, reason, run = refusal.run.as_str());
}
