//! Converts refusals to HTTP responses: the error body, the run state and the retry time.

use actix_web::HttpResponse;
use actix_web::ResponseError;
use actix_web::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use mulberry_platform::error::PlatformError;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

/// A refusal as the error type of the HTTP handlers.
#[derive(Debug, Error)]
#[error(transparent)]
pub(crate) struct ApiError(pub Refusal);

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        Self(refusal)
    }
}

impl From<PlatformError> for ApiError {
    fn from(error: PlatformError) -> Self {
        Self(error.into_refusal())
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.0.reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
    }

    fn error_response(&self) -> HttpResponse {
        let refusal = &self.0;
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header(("x-run-state", refusal.run.as_str()));
        response.insert_header(("x-refusal-reason", refusal.reason.as_str()));
        if let Some(retry_ms) = refusal.retry_after_ms {
            response.insert_header(("retry-after", retry_ms.div_ceil(1_000).max(1).to_string()));
            response.insert_header(("retry-after-ms", retry_ms.to_string()));
        }
        response.json(error_body(refusal))
    }
}

/// Builds the error body, in the shape that client libraries expect.
pub(crate) fn error_body(refusal: &Refusal) -> Value {
    json!({"error": {
        "message": refusal.detail,
        "type": error_type(refusal.reason),
        "code": refusal.reason.as_str(),
        "param": null,
        "run_state": refusal.run.as_str(),
        "retry_after_ms": refusal.retry_after_ms,
    }})
}

fn error_type(reason: RefusalReason) -> &'static str {
    match reason.status() {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
