//! Serves liveness, readiness and status over HTTP.

use std::net::TcpListener;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use serde_json::json;

use mulberry_protocol::heartbeat::Presence;

use crate::control::GetStatus;
use crate::process::Shared;

/// Starts the admin server on the calling thread and returns the handle that stops it.
pub(crate) fn start_admin(
    listener: TcpListener,
    shared: Shared,
) -> Result<ServerHandle, std::io::Error> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(shared.clone()))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/readyz", web::get().to(readyz))
            .route("/status", web::get().to(status))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn readyz(shared: web::Data<Shared>) -> HttpResponse {
    match shared.control.send(GetStatus).await {
        Ok(status) if status.presence == Presence::Serving => HttpResponse::Ok().finish(),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn status(shared: web::Data<Shared>) -> HttpResponse {
    match shared.control.send(GetStatus).await {
        Ok(status) => {
            let counters = shared.metrics.totals();
            HttpResponse::Ok().json(json!({"status": status, "counters": counters}))
        }
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
