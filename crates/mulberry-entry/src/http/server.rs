//! Starts the callers' HTTP server and maps its paths to handlers.

use std::net::TcpListener;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;

use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::batches;
use super::completions;
use super::error::ApiError;
use super::files;
use super::models;
use super::services;
use super::status;
use crate::actors::ControlActors;
use crate::shared::Shared;

/// Time for which idle connections of callers are kept open.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Starts the server on its own worker threads.
pub(crate) fn start_http(
    listener: TcpListener,
    shared: Shared,
    actors: ControlActors,
) -> Result<ServerHandle, std::io::Error> {
    let threads = shared.settings.threads.max(1);
    let drain_s = shared.settings.drain_ms.div_ceil(1_000);
    let max_body = shared.settings.max_body_bytes;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(shared.clone()))
            .app_data(web::Data::new(actors.clone()))
            .app_data(web::PayloadConfig::new(max_body))
            .configure(add_routes)
    })
    .workers(threads)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    .shutdown_timeout(drain_s)
    .disable_signals()
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn add_routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(status::readyz))
        .route("/status", web::get().to(status::status))
        .route("/v1/models", web::get().to(models::list_models))
        .route("/v1/models/{name}", web::get().to(models::show_model))
        .route("/v1/chat/completions", web::post().to(completions::complete))
        .route("/v1/completions", web::post().to(completions::complete))
        .route("/v1/files", web::post().to(files::upload))
        .route("/v1/files", web::get().to(files::list))
        .route("/v1/files/{id}", web::get().to(files::show))
        .route("/v1/files/{id}/content", web::get().to(files::content))
        .route("/v1/batches", web::post().to(batches::create))
        .route("/v1/batches", web::get().to(batches::list))
        .route("/v1/batches/{id}", web::get().to(batches::show))
        .route("/v1/batches/{id}/cancel", web::post().to(batches::cancel))
        .route("/services/{service}/{path:.*}", web::route().to(services::call))
        .default_service(web::to(unknown_path));
}

async fn unknown_path() -> Result<HttpResponse, ApiError> {
    Err(Refusal::not_run(RefusalReason::NotFound, "there is no such path").into())
}
