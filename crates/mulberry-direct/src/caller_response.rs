//! Responses to callers, refusals among them.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode as CallerStatus;
use hyper::HeaderMap;

use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;

use crate::refusal_log::log_refusal;
use crate::shared::SharedState;

/// Begins a response. A process that stops closes the connection behind it.
pub(crate) fn response_builder(shared: &SharedState, status: u16) -> HttpResponseBuilder {
    let status = CallerStatus::from_u16(status).unwrap_or(CallerStatus::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if shared.stop.is_triggered() {
        response.force_close();
    }
    response
}

/// Adds the headers of an endpoint's response.
pub(crate) fn copy_headers(headers: &HeaderMap, response: &mut HttpResponseBuilder) {
    for (name, value) in headers {
        response.append_header((name.as_str(), value.as_bytes()));
    }
}

/// Counts and logs a refusal, and returns its response.
pub(crate) fn refuse_request(
    shared: &SharedState,
    req: &HttpRequest,
    refusal: &Refusal,
) -> HttpResponse {
    shared.metrics.count_reason("direct.refusals", refusal.reason.as_str());
    let account = shared.count_refused(req);
    if refusal.reason != RefusalReason::Memory {
        log_refusal(shared, req, &account, refusal);
    }
    let may_have_run = refusal.run != RunState::NotRun;
    let status = match refusal.reason {
        RefusalReason::Deadline if may_have_run => 504,
        _ if may_have_run => 502,
        // That a request crashes endpoints is inferred. 503 says what is known: it did not run.
        RefusalReason::Poison => 503,
        reason => reason.status(),
    };
    // The status tells the caller whether the request may have run: 502 that it may have, 503 that
    // it did not.
    let status = if !may_have_run && status == 502 { 503 } else { status };
    write_refusal(shared, status, refusal.retry_after_ms)
}

/// Returns the response of a refusal. Only statuses that promise that nothing ran say when to come again.
pub(crate) fn write_refusal(
    shared: &SharedState,
    status: u16,
    retry_after_ms: Option<u32>,
) -> HttpResponse {
    let mut response = response_builder(shared, status);
    if let Some(retry_ms) = retry_after_ms.filter(|_| matches!(status, 429 | 503)) {
        let seconds = f64::from(retry_ms) / 1000.0;
        response.insert_header(("retry-after", seconds.to_string()));
    }
    response.finish()
}
