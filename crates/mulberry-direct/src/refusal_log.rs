//! Log lines of refused requests.

use actix_web::HttpRequest;

use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::refusal::Refusal;

use crate::shared::SharedState;

/// Logs a refusal with the request that it concerns and its client account, if that is known.
pub(crate) fn log_refusal(
    shared: &SharedState,
    req: &HttpRequest,
    account: &str,
    refusal: &Refusal,
) {
    let id = req.headers().get(shared.dialect.headers().request_id.as_str());
    log_event!(
        info,
        Event::RequestRefused,
        request = id.and_then(|v| v.to_str().ok()).unwrap_or(""),
        account,
        path = req.path(),
        reason = refusal.reason.as_str(),
        run = refusal.run.as_str(),
        detail = refusal.detail
    );
}
