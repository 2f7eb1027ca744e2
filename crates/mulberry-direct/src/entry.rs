//! The entry process, with one control thread and one traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::dev::ServerHandle;
use actix_web::web;
use futures_util::future::join_all;
use miette::Diagnostic;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use mulberry_platform::store::Store;
use mulberry_policy::entry_drain::DrainPhase;
use mulberry_policy::entry_drain::EntryDrain;
use mulberry_process::stop::wait_for_signal;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::peer::PeerRole;

use crate::caller_server::start_guarded_server;
use crate::handler::RequestHandler;
use crate::handler::handle;
use crate::metrics_server::serve_metrics;
use crate::peers::maintain_membership;
use crate::peers::receive_heartbeats;
use crate::peers::send_heartbeats;
use crate::published_suspects::publish_suspects;
use crate::published_suspects::watch_published_suspects;
use crate::shared::SharedState;
use crate::store_watch::watch_configuration;
use crate::store_watch::watch_endpoints;
use crate::stored_convictions::watch_stored_convictions;
use crate::trials::serve_trials;

/// Most connections at the address for readiness probes.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Interval at which a draining process checks for requests in progress, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 50;

/// Timeout of closing the servers. The process ends in any case.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// An error at the start of an entry or owner process.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// A listening socket could not be opened.
    #[error("can't listen for {what}: {source}")]
    #[diagnostic(code(mulberryshed::direct::listen), help("check the addresses in the settings"))]
    Listen {
        /// What the socket is for.
        what: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A required setting is missing.
    #[error("the settings have no {what}")]
    #[diagnostic(
        code(mulberryshed::direct::missing),
        help("run the entry on a VM whose settings have it")
    )]
    Missing {
        /// Name of the missing setting.
        what: &'static str,
    },
}

/// Runs an entry, with the control tasks on the calling thread, until a signal or [`SharedState::stop`] stops
/// it and the requests in progress are drained.
pub async fn run_entry(shared: Arc<SharedState>, store: Store) -> Result<(), StartError> {
    let servers = start_servers(&shared)?;
    let listen = |source| StartError::Listen { what: "datagrams", source };
    let socket = Arc::new(UdpSocket::bind(shared.settings.peers).await.map_err(listen)?);
    start_metrics(&shared);
    log_event!(info, Event::ProcessServing, name = %shared.settings.name, role = "entry",
        callers = ?shared.settings.callers, peers = %shared.settings.peers);
    let gate = watch::Sender::new(Some(0));
    actix_rt::spawn(watch_configuration(shared.clone(), store.clone(), gate.subscribe(), || {}));
    actix_rt::spawn(watch_endpoints(shared.clone(), store.clone(), gate.subscribe(), || {}));
    actix_rt::spawn(maintain_membership(shared.clone(), store.clone(), PeerRole::Entry));
    actix_rt::spawn(receive_heartbeats(shared.clone(), socket.clone(), |_| {}));
    actix_rt::spawn(serve_trials(shared.clone(), store.clone()));
    actix_rt::spawn(publish_suspects(shared.clone(), store.clone()));
    let published = watch_published_suspects(shared.clone(), store.clone(), gate.subscribe());
    actix_rt::spawn(published);
    let stored = watch_stored_convictions(shared.clone(), store.clone(), gate.subscribe());
    actix_rt::spawn(stored);
    actix_rt::spawn(send_heartbeats(shared.clone(), store, socket, PeerRole::Entry, || None));
    tokio::select! {
        () = wait_for_signal() => {}
        () = shared.stop.wait() => {}
    }
    let cut = drain(&shared, servers).await;
    log_event!(info, Event::ProcessStopped, name = %shared.settings.name, cut);
    Ok(())
}

/// Starts to serve the metrics. If that fails, the process runs on without them.
pub(crate) fn start_metrics(shared: &Arc<SharedState>) {
    if let Err(e) = serve_metrics(shared) {
        log_event!(warn, Event::MetricsUnserved, address = %shared.settings.metrics, error = %e);
    }
}

/// Starts the servers for callers and for readiness probes, each on a thread of its own, so that probes are
/// answered however many callers are connected.
fn start_servers(shared: &Arc<SharedState>) -> Result<Vec<ServerHandle>, StartError> {
    let callers = shared
        .settings
        .callers
        .ok_or(StartError::Missing { what: "listen address for callers" })?;
    let readiness = shared
        .settings
        .readiness
        .ok_or(StartError::Missing { what: "listen address for readiness probes" })?;
    let max_connections = shared.shares.connections;
    Ok(vec![
        start_server(shared, callers, "callers", max_connections)?,
        start_server(shared, readiness, "readiness probes", MAX_PROBE_CONNECTIONS)?,
    ])
}

fn start_server(
    shared: &Arc<SharedState>,
    address: SocketAddr,
    what: &'static str,
    max_connections: usize,
) -> Result<ServerHandle, StartError> {
    let for_worker = shared.clone();
    let new_app = move || {
        App::new()
            .app_data(web::Data::new(RequestHandler::new(for_worker.clone())))
            .default_service(web::to(handle))
    };
    start_guarded_server(shared, address, max_connections, new_app)
        .map_err(|source| StartError::Listen { what, source })
}

/// Stops the servers by the steps of an [`EntryDrain`]. Returns how many requests in progress were cut off.
async fn drain(shared: &SharedState, servers: Vec<ServerHandle>) -> u64 {
    let in_progress = || shared.drain.in_progress().get();
    let mut drain = EntryDrain::begin(shared.clock.now(), shared.settings.grace_ms);
    shared.drain.set_takes_until(drain.takes_until());
    log_event!(info, Event::ProcessStopping, name = %shared.settings.name, in_flight = in_progress());
    shared.stop.trigger();
    while drain.advance(in_progress(), shared.clock.now()) != DrainPhase::Closed {
        shared.drain.set_takes_until(drain.takes_until());
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
    }
    shared.drain.set_takes_until(drain.takes_until());
    let cut = in_progress();
    let stopping = join_all(servers.iter().map(|server| server.stop(false)));
    let _closed = tokio::time::timeout(CLOSE_TIMEOUT, stopping).await;
    cut
}
