//! HTTP server of the counters and latency histograms, in the Prometheus text format.

use std::net::SocketAddr;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;

use mulberry_process::metrics::Metrics;

/// Starts the metrics server. Fails if the address can't be bound.
pub fn serve_metrics(address: SocketAddr, metrics: Metrics) -> std::io::Result<()> {
    let server = HttpServer::new(move || {
        let metrics = metrics.clone();
        App::new().default_service(web::to(move || {
            let text = metrics.render_text();
            async move { HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text) }
        }))
    });
    let server = server.workers(1).disable_signals().bind(address)?.run();
    actix_rt::spawn(async move {
        // The process runs on without metrics if the server ends.
        let _ended = server.await;
    });
    Ok(())
}
