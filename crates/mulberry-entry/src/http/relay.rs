//! Turns the outcome of a request into the caller's response.

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
use crate::answer::Answer;
use crate::controls::Controls;
use crate::dispatch::Outcome;
use crate::dispatch::learn_suspects;
use crate::shared::Shared;

/// Time for what was written before a cut to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Ends a response in the middle, so that a cut-off answer never looks whole.
#[derive(Debug, Error)]
#[error("the answer was cut off")]
struct CutOff;

/// Makes the response.
pub(super) fn into_response(
    outcome: Outcome,
    shared: &Shared,
    controls: &Controls,
) -> HttpResponse {
    shared.metrics.count("entry.answered");
    match outcome {
        Outcome::Whole { status, content_type, body } => {
            let mut response = HttpResponse::build(into_status(status));
            response.insert_header(("x-run-state", "ran"));
            if !content_type.is_empty() {
                response.content_type(content_type);
            }
            response.body(body)
        }
        Outcome::Stream(answer) => {
            let mut response = HttpResponse::build(into_status(answer.status));
            response.insert_header(("cache-control", "no-cache"));
            response.content_type(answer.content_type.clone());
            response.streaming(relay_parts(answer, shared.clone(), controls.clone()))
        }
    }
}

fn into_status(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

enum Relay {
    Parts(Answer),
    CutOff,
}

/// Relays the parts of a stream. A stream that breaks ends with an error event and a connection
/// that is cut, never with the usual last event.
fn relay_parts(
    answer: Answer,
    shared: Shared,
    controls: Controls,
) -> impl Stream<Item = Result<Bytes, CutOff>> {
    let state = Some(Relay::Parts(answer));
    stream::unfold((state, shared, controls), |(state, shared, controls)| async move {
        match state? {
            Relay::CutOff => {
                // The error event must leave before the connection is cut.
                tokio::time::sleep(FLUSH_TIME).await;
                Some((Err(CutOff), (None, shared, controls)))
            }
            Relay::Parts(mut answer) => match answer.next_part().await {
                Ok(Some(part)) => {
                    let next = Some(Relay::Parts(answer));
                    Some((Ok(part), (next, shared, controls)))
                }
                Ok(None) => None,
                Err(failure) => {
                    learn_suspects(&shared, &controls, &failure.suspects);
                    let reason = failure.refusal.reason.as_str();
                    shared.metrics.count_reason("entry.streams_cut", reason);
                    let refusal = Refusal {
                        run: mulberry_protocol::refusal::RunState::Ran,
                        ..failure.refusal
                    };
                    if is_injected(InjectedFault::ShortAnswer) {
                        let last = Bytes::from_static(b"data: [DONE]\n\n");
                        return Some((Ok(last), (None, shared, controls)));
                    }
                    let event = format!("data: {}\n\n", error_body(&refusal));
                    Some((Ok(Bytes::from(event)), (Some(Relay::CutOff), shared, controls)))
                }
            },
        }
    })
}

/// Counts and logs a refusal.
pub(super) fn note_refusal(shared: &Shared, client: &ClientName, refusal: &Refusal) {
    let reason = refusal.reason.as_str();
    shared.metrics.count_reason("entry.refused", reason);
    log_event!(debug, Event::RequestRefused, %client, reason, run = refusal.run.as_str());
}
