//! The entry process: one control thread, one traffic thread.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::http::KeepAlive;
use actix_web::web;
use miette::Diagnostic;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use mulberry_platform::store::Store;
use mulberry_process::stop::wait_for_signal;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::peer::PeerRole;

use crate::door::Door;
use crate::door::handle;
use crate::follow::follow_configuration;
use crate::follow::follow_endpoints;
use crate::peers::join_peers;
use crate::peers::receive_beats;
use crate::peers::send_beats;
use crate::shared::SharedState;
use crate::text_metrics::serve_metrics;

/// Time for which callers' idle connections are kept.
const CALLER_IDLE_TIME: Duration = Duration::from_secs(120);

/// Time in which the head of a request must arrive.
const HEAD_TIME: Duration = Duration::from_secs(60);

/// Time after the signal to stop in which the balancer notices and new callers still come, in
/// milliseconds.
const NOTICE_MS: u64 = 3_200;

/// Time after the signal to stop from which new requests are refused, in milliseconds. By then the
/// balancer sends no new connections, and what still comes on old ones could be cut.
const REFUSE_MS: u64 = 4_000;

/// Part of the grace that is kept for closing, in milliseconds.
const CLOSING_MS: u64 = 700;

/// Time between looks at what is still in flight, in milliseconds.
const LOOK_MS: u64 = 50;

/// An error of starting a process.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// An address can't be used.
    #[error("can't listen on {what}: {source}")]
    #[diagnostic(code(mulberryshed::direct::listen), help("check the addresses in the settings"))]
    Listen {
        /// What the address is for.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// A needed setting is missing.
    #[error("the settings name no {what}")]
    #[diagnostic(code(mulberryshed::direct::missing), help("run it on a VM of another class"))]
    Missing {
        /// What is missing.
        what: &'static str,
    },
}

/// Runs an entry on the calling thread until it was told to stop and has finished.
pub async fn run_entry(fleet: Arc<SharedState>, store: Store) -> Result<(), StartError> {
    let server = start_server(&fleet)?;
    let listen = |source| StartError::Listen { what: "datagrams", source };
    let socket = Arc::new(UdpSocket::bind(fleet.settings.peers).await.map_err(listen)?);
    start_metrics(&fleet);
    log_event!(info, Event::ProcessServing, name = %fleet.settings.name, role = "entry",
        callers = ?fleet.settings.callers, peers = %fleet.settings.peers);
    let wanted = watch::Sender::new(Some(0));
    actix_rt::spawn(follow_configuration(fleet.clone(), store.clone(), wanted.subscribe(), || {}));
    actix_rt::spawn(follow_endpoints(fleet.clone(), store.clone(), wanted.subscribe(), || {}));
    actix_rt::spawn(join_peers(fleet.clone(), store.clone(), PeerRole::Entry));
    actix_rt::spawn(receive_beats(fleet.clone(), socket.clone(), |_| {}));
    actix_rt::spawn(send_beats(fleet.clone(), store, socket, PeerRole::Entry, || None));
    wait_for_signal().await;
    drain(&fleet, server).await;
    log_event!(info, Event::ProcessStopped, name = %fleet.settings.name);
    Ok(())
}

/// Serves the metrics. The process serves on without them.
pub(crate) fn start_metrics(fleet: &SharedState) {
    if let Err(e) = serve_metrics(fleet.settings.metrics, fleet.metrics.clone()) {
        log_event!(warn, Event::MetricsUnserved, address = %fleet.settings.metrics, error = %e);
    }
}

fn start_server(fleet: &Arc<SharedState>) -> Result<ServerHandle, StartError> {
    let callers = fleet.settings.callers.ok_or(StartError::Missing { what: "callers' address" })?;
    let readiness =
        fleet.settings.readiness.ok_or(StartError::Missing { what: "readiness address" })?;
    let shared = fleet.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Door::new(shared.clone())))
            .default_service(web::to(handle))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .h1_allow_half_closed(false)
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIME))
        .client_request_timeout(HEAD_TIME)
        .bind(callers)
        .map_err(|source| StartError::Listen { what: "callers", source })?
        .bind(readiness)
        .map_err(|source| StartError::Listen { what: "readiness", source })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(e) = server.await {
            log_event!(error, Event::ProcessStopping, error = %e);
        }
    });
    Ok(handle)
}

/// Goes on serving while the balancer takes notice, then until nothing is in flight.
async fn drain(fleet: &SharedState, server: ServerHandle) {
    let in_flight = || fleet.in_flight.load(Ordering::Relaxed);
    log_event!(info, Event::ProcessStopping, name = %fleet.settings.name, in_flight = in_flight());
    fleet.stop.trigger();
    let started = fleet.clock.now();
    let last_ms = fleet.settings.grace_ms.saturating_sub(CLOSING_MS);
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let spent = fleet.clock.now().since(started);
        fleet.closing.store(spent >= REFUSE_MS, Ordering::Relaxed);
        if spent >= last_ms || spent >= NOTICE_MS && in_flight() == 0 {
            break;
        }
    }
    let _closed = tokio::time::timeout(Duration::from_millis(200), server.stop(false)).await;
}
