//! Accepts links from entries and other owners, and serves their calls, one at a time on each link.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use mulberry_link::LinkConnection;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::job_calls::JobCall;
use crate::owner::Owner;
use crate::owner::dispatch::dispatch_call;

/// Accepts links until the process stops.
pub(crate) async fn accept_links(owner: Rc<Owner>, listener: TcpListener) {
    loop {
        // An error concerns only a connection that was closed before it was accepted.
        let Ok((stream, _)) = listener.accept().await else { continue };
        actix_rt::spawn(serve_link(owner.clone(), stream));
    }
}

async fn serve_link(owner: Rc<Owner>, stream: TcpStream) {
    let Some(secrets) = owner.shared.secrets.load_full() else { return };
    let mut link = match LinkConnection::accept(stream, &secrets).await {
        Ok(link) => link,
        Err(e) => {
            log_event!(debug, Event::LinkRefused, error = %e);
            return;
        }
    };
    // The peer closes the link when it no longer needs it.
    while let Ok(call) = link.receive::<JobCall>().await {
        let reply = dispatch_call(&owner, call).await;
        if link.send(&reply).await.is_err() {
            return;
        }
    }
}
