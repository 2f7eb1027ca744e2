//! HTTP server of the counters and latency histograms, in the Prometheus text format.

use std::sync::Arc;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;

use crate::caller_server::start_guarded_server;
use crate::request_scope::RequestScope;
use crate::shared::SharedState;

/// Most connections to the metrics: some collectors and an operator.
const MAX_CONNECTIONS: usize = 32;

/// Starts the metrics server. Fails if the address can't be bound.
pub fn serve_metrics(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let served = shared.clone();
    let new_app = move || {
        let shared = served.clone();
        App::new().default_service(web::to(move |req: HttpRequest| {
            let response = write_metrics(&shared, &req);
            async move { response }
        }))
    };
    let _handle = start_guarded_server(shared, shared.settings.metrics, MAX_CONNECTIONS, new_app)?;
    Ok(())
}

fn write_metrics(shared: &Arc<SharedState>, req: &HttpRequest) -> HttpResponse {
    let scope = RequestScope::begin(shared, req);
    let text = shared.metrics.render_text();
    let response = HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text);
    match scope {
        Some(scope) => scope.hold(response),
        None => response,
    }
}
