//! Accepts links from entries and serves their messages, one exchange at a time per link.

use std::net::TcpListener;

use actix_rt::ArbiterHandle;
use tokio::net::TcpStream;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_protocol::event::Event;
use mulberry_protocol::link::FromSide;
use mulberry_protocol::link::ToSide;
use mulberry_protocol::log_event;

use crate::control::QueryAttempt;
use crate::online::serve_dispatch;
use crate::process::Shared;

/// Accepts connections until the process stops, and assigns them to the traffic threads in turn.
pub(crate) async fn accept_links(
    listener: TcpListener,
    shared: Shared,
    threads: Vec<ArbiterHandle>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let mut next_thread = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.wait() => return,
        };
        let Ok(stream) = accepted.and_then(|(stream, _)| stream.into_std()) else { continue };
        let shared = shared.clone();
        next_thread = (next_thread + 1) % threads.len().max(1);
        if let Some(thread) = threads.get(next_thread) {
            thread.spawn_fn(move || {
                actix_rt::spawn(serve_connection(stream, shared));
            });
        }
    }
}

async fn serve_connection(stream: std::net::TcpStream, shared: Shared) {
    let Ok(stream) = TcpStream::from_std(stream) else { return };
    let connection = match LinkConnection::accept(stream, &shared.secrets).await {
        Ok(connection) => connection,
        Err(e) => {
            shared.metrics.count("side.links_refused");
            log_event!(debug, Event::LinkRefused, error = %e);
            return;
        }
    };
    // A peer normally ends a link by closing the connection between exchanges.
    if let Err(e) = serve_exchanges(connection, &shared).await
        && !matches!(e, LinkError::Closed)
    {
        log_event!(debug, Event::LinkFailed, error = %e);
    }
}

async fn serve_exchanges(mut connection: LinkConnection, shared: &Shared) -> Result<(), LinkError> {
    loop {
        match connection.receive().await? {
            ToSide::Dispatch(dispatch) => {
                let Some(reusable) = serve_dispatch(connection, dispatch, shared).await? else {
                    return Ok(());
                };
                connection = reusable;
            }
            ToSide::Query { attempt } => {
                let started = shared.control.send(QueryAttempt { attempt }).await.unwrap_or(true);
                let reply = match started {
                    true => FromSide::Started { attempt },
                    false => FromSide::Barred { attempt },
                };
                connection.send(&reply).await?;
            }
        }
    }
}
