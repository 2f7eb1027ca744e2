//! Startup and shutdown of the owner process.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use mulberry_platform::store::Store;
use mulberry_process::stop::wait_for_signal;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::peer::PeerRole;

use crate::entry::StartError;
use crate::entry::start_metrics;
use crate::owner::Owner;
use crate::owner::commit::commit_results;
use crate::owner::commit::flush_results;
use crate::owner::conviction_store::keep_convictions;
use crate::owner::copy::replicate_progress;
use crate::owner::drain::execute_drain_orders;
use crate::owner::drain::watch_drain_orders;
use crate::owner::lease::handle_peer_claim;
use crate::owner::lease::maintain_lease;
use crate::owner::lease::own_claim;
use crate::owner::lease::release_lease;
use crate::owner::link_server::accept_links;
use crate::owner::retention::delete_expired_jobs;
use crate::owner::schedule::schedule;
use crate::peers::maintain_membership;
use crate::peers::receive_heartbeats;
use crate::peers::send_heartbeats;
use crate::published_suspects::watch_published_suspects;
use crate::shared::SharedState;
use crate::store_watch::watch_configuration;
use crate::store_watch::watch_endpoints;
use crate::trials::serve_trials;

/// Longest time that writing the last results and releasing the lease may take at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest wait at shutdown for the handoff of progress to the next owner, once the lease is
/// released.
const HANDOFF_DONE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Watches the configuration and the endpoints while this process holds the lease. A standby needs
/// neither, and each watch costs calls to the store.
fn watch_while_owner(owner: &Rc<Owner>) {
    let (shared, store) = (&owner.shared, &owner.store);
    let for_configuration = owner.clone();
    actix_rt::spawn(watch_configuration(
        shared.clone(),
        store.clone(),
        owner.owned_generation.subscribe(),
        move || for_configuration.configuration_listed_at.set(Some(for_configuration.now())),
    ));
    let for_endpoints = owner.clone();
    actix_rt::spawn(watch_endpoints(
        shared.clone(),
        store.clone(),
        owner.owned_generation.subscribe(),
        move || for_endpoints.endpoints_listed_at.set(Some(for_endpoints.now())),
    ));
}

/// Reads what processes publish that this one may not hear, so that their convictions are stored, while
/// this process holds the lease.
fn watch_published_while_owner(owner: &Rc<Owner>) {
    let gate = owner.owned_generation.subscribe();
    actix_rt::spawn(watch_published_suspects(owner.shared.clone(), owner.store.clone(), gate));
}

/// Runs an owner on the calling thread until a stop signal arrives and the lease is handed over.
pub async fn run_owner(shared: Arc<SharedState>, store: Store) -> Result<(), StartError> {
    let address = shared.settings.peers;
    let listen = |source| StartError::Listen { what: "links", source };
    let listener = TcpListener::bind(address).await.map_err(listen)?;
    let listen = |source| StartError::Listen { what: "datagrams", source };
    let socket = Arc::new(UdpSocket::bind(address).await.map_err(listen)?);
    start_metrics(&shared);
    log_event!(info, Event::ProcessServing, name = %shared.settings.name, role = "owner",
        peers = %address);
    let owner = Owner::new(shared.clone(), store.clone());
    watch_while_owner(&owner);
    watch_published_while_owner(&owner);
    actix_rt::spawn(maintain_membership(shared.clone(), store.clone(), PeerRole::Owner));
    let claims = owner.clone();
    actix_rt::spawn(receive_heartbeats(shared.clone(), socket.clone(), move |claim| {
        handle_peer_claim(&claims, claim);
    }));
    let claims = owner.clone();
    actix_rt::spawn(send_heartbeats(shared.clone(), store, socket, PeerRole::Owner, move || {
        own_claim(&claims)
    }));
    actix_rt::spawn(accept_links(owner.clone(), listener));
    actix_rt::spawn(maintain_lease(owner.clone()));
    actix_rt::spawn(schedule(owner.clone()));
    actix_rt::spawn(replicate_progress(owner.clone()));
    actix_rt::spawn(commit_results(owner.clone()));
    actix_rt::spawn(watch_drain_orders(owner.clone()));
    actix_rt::spawn(execute_drain_orders(owner.clone()));
    actix_rt::spawn(delete_expired_jobs(owner.clone()));
    actix_rt::spawn(keep_convictions(owner.clone()));
    actix_rt::spawn(serve_trials(shared.clone(), owner.store.clone()));
    wait_for_signal().await;
    log_event!(info, Event::ProcessStopping, name = %shared.settings.name);
    shared.stop.trigger();
    let release = async {
        flush_results(&owner).await;
        release_lease(&owner).await
    };
    let was_owner = tokio::time::timeout(RELEASE_TIMEOUT, release).await.unwrap_or(true);
    if was_owner {
        let _in_time =
            tokio::time::timeout(HANDOFF_DONE_TIMEOUT, owner.handoff_done.notified()).await;
    }
    log_event!(info, Event::ProcessStopped, name = %shared.settings.name);
    Ok(())
}
