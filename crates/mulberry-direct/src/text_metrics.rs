//! Serves counters and latency histograms as text on the metrics address.

use std::net::SocketAddr;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;

use mulberry_process::metrics::Metrics;

/// Starts to serve the metrics of the process.
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
        // The process goes on without metrics; the address was bound before.
        let _ended = server.await;
    });
    Ok(())
}
