//! The owner process.

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
use crate::follow::follow_configuration;
use crate::follow::follow_endpoints;
use crate::owner::Owner;
use crate::owner::copy::copy_progress;
use crate::owner::lease::hand_over;
use crate::owner::lease::keep_lease;
use crate::owner::lease::own_claim;
use crate::owner::lease::take_claim;
use crate::owner::listing::flush_results;
use crate::owner::listing::list_results;
use crate::owner::retire::carry_out_retirements;
use crate::owner::retire::follow_retirements;
use crate::owner::schedule::schedule;
use crate::owner::serve::accept_links;
use crate::owner::tidy::remove_old_jobs;
use crate::peers::join_peers;
use crate::peers::receive_beats;
use crate::peers::send_beats;
use crate::shared::SharedState;

/// Longest time for handing over at a stop.
const HAND_OVER_TIME: Duration = Duration::from_millis(2_500);

/// Longest time after handing over until the next owner has taken the work on open items.
const PASS_ON_TIME: Duration = Duration::from_millis(3_000);

/// Follows the configuration and the endpoints while this process holds the lease: a process that
/// stands by needs neither, and each watch is a call to the store.
fn follow_while_owner(owner: &Rc<Owner>) {
    let (fleet, store) = (&owner.fleet, &owner.store);
    let of_configuration = owner.clone();
    actix_rt::spawn(follow_configuration(
        fleet.clone(),
        store.clone(),
        owner.owned.subscribe(),
        move || of_configuration.configuration_read.set(Some(of_configuration.now())),
    ));
    let of_endpoints = owner.clone();
    actix_rt::spawn(follow_endpoints(
        fleet.clone(),
        store.clone(),
        owner.owned.subscribe(),
        move || of_endpoints.endpoints_read.set(Some(of_endpoints.now())),
    ));
}

/// Runs an owner on the calling thread until it was told to stop.
pub async fn run_owner(fleet: Arc<SharedState>, store: Store) -> Result<(), StartError> {
    let address = fleet.settings.peers;
    let listen = |source| StartError::Listen { what: "links", source };
    let listener = TcpListener::bind(address).await.map_err(listen)?;
    let listen = |source| StartError::Listen { what: "datagrams", source };
    let socket = Arc::new(UdpSocket::bind(address).await.map_err(listen)?);
    start_metrics(&fleet);
    log_event!(info, Event::ProcessServing, name = %fleet.settings.name, role = "owner",
        peers = %address);
    let owner = Owner::new(fleet.clone(), store.clone());
    follow_while_owner(&owner);
    actix_rt::spawn(join_peers(fleet.clone(), store.clone(), PeerRole::Owner));
    let claims = owner.clone();
    actix_rt::spawn(receive_beats(fleet.clone(), socket.clone(), move |claim| {
        take_claim(&claims, claim);
    }));
    let claims = owner.clone();
    actix_rt::spawn(send_beats(fleet.clone(), store, socket, PeerRole::Owner, move || {
        own_claim(&claims)
    }));
    actix_rt::spawn(accept_links(owner.clone(), listener));
    actix_rt::spawn(keep_lease(owner.clone()));
    actix_rt::spawn(schedule(owner.clone()));
    actix_rt::spawn(copy_progress(owner.clone()));
    actix_rt::spawn(list_results(owner.clone()));
    actix_rt::spawn(follow_retirements(owner.clone()));
    actix_rt::spawn(carry_out_retirements(owner.clone()));
    actix_rt::spawn(remove_old_jobs(owner.clone()));
    wait_for_signal().await;
    log_event!(info, Event::ProcessStopping, name = %fleet.settings.name);
    fleet.stop.trigger();
    let handing = async {
        flush_results(&owner).await;
        hand_over(&owner).await
    };
    let was_owner = tokio::time::timeout(HAND_OVER_TIME, handing).await.unwrap_or(true);
    if was_owner {
        let _in_time = tokio::time::timeout(PASS_ON_TIME, owner.passed_on.notified()).await;
    }
    log_event!(info, Event::ProcessStopped, name = %fleet.settings.name);
    Ok(())
}
