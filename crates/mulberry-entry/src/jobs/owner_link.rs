//! Serves links from sides, which pull batch items, report how they ended, and fetch bundles.

use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::interval;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_link::LinkReader;
use mulberry_link::LinkWriter;
use mulberry_policy::job_queue::ItemKey;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::event::Event;
use mulberry_protocol::link::FromOwner;
use mulberry_protocol::link::OWNER_LINK_ALIVE_INTERVAL_MS;
use mulberry_protocol::link::OWNER_LINK_SILENCE_LIMIT_MS;
use mulberry_protocol::link::ToOwner;
use mulberry_protocol::log_event;

use super::control::ItemDone;
use super::control::LinkClosed;
use super::control::LinkId;
use super::control::LinkOpened;
use super::control::TakeItems;
use crate::actors::ControlActors;
use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Accepts links from sides until the process stops.
pub(crate) async fn accept_owner_links(
    listener: TcpListener,
    shared: Shared,
    actors: ControlActors,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stopped.wait() => return,
        };
        if let Ok((stream, _)) = accepted {
            actix_rt::spawn(serve_link(stream, shared.clone(), actors.clone()));
        }
    }
}

/// Authenticates a link, then serves it until either end closes it.
async fn serve_link(stream: TcpStream, shared: Shared, actors: ControlActors) {
    let connection = match LinkConnection::accept(stream, &shared.secrets).await {
        Ok(connection) => connection,
        Err(e) => {
            shared.metrics.count("entry.links_refused");
            log_event!(debug, Event::LinkRefused, error = %e);
            return;
        }
    };
    let link = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = mpsc::unbounded_channel();
    actors.jobs.do_send(LinkOpened { link, tx: tx.clone() });
    let (writer, reader) = connection.split();
    let ended = tokio::select! {
        ended = send_messages(writer, rx) => ended,
        ended = receive_messages(reader, link, &tx, &shared, &actors) => ended,
        () = shared.stopped.wait() => Ok(()),
    };
    actors.jobs.do_send(LinkClosed { link });
    if let Err(e) = ended
        && !matches!(e, LinkError::Closed)
    {
        log_event!(debug, Event::LinkFailed, error = %e);
    }
}

/// Sends the messages to a side, and signs of life at an interval, the first one at once.
async fn send_messages(
    mut writer: LinkWriter,
    mut rx: mpsc::UnboundedReceiver<FromOwner>,
) -> Result<(), LinkError> {
    let mut alive = interval(Duration::from_millis(OWNER_LINK_ALIVE_INTERVAL_MS));
    loop {
        tokio::select! {
            message = rx.recv() => match message {
                Some(message) => writer.send(&message).await?,
                None => return Ok(()),
            },
            _ = alive.tick() => writer.send_alive().await?,
        }
    }
}

async fn receive_messages(
    mut reader: LinkReader,
    link: LinkId,
    tx: &mpsc::UnboundedSender<FromOwner>,
    shared: &Shared,
    actors: &ControlActors,
) -> Result<(), LinkError> {
    loop {
        let limit = Duration::from_millis(OWNER_LINK_SILENCE_LIMIT_MS);
        let reply = match reader.receive_while_alive(limit, || {}).await? {
            ToOwner::Pull { service, models, room, .. } => {
                let take = TakeItems { link, service, models, max_items: usize::from(room) };
                let items = actors.jobs.send(take).await.unwrap_or_default();
                FromOwner::Items(items)
            }
            ToOwner::Done { job, index, result, suspects } => {
                let key = ItemKey { job, index };
                actors.jobs.do_send(ItemDone { link, key, result, suspects });
                continue;
            }
            ToOwner::FetchBundle { number, held } => bundle_reply(number, held, shared),
        };
        // If the sending half has ended, `serve_link` drops this one too.
        let _closed = tx.send(reply);
    }
}

/// Returns the bundle in force if its number is at least `number`, as a delta if the side holds the
/// version from which the delta starts.
fn bundle_reply(number: u64, held: Option<Digest>, shared: &Shared) -> FromOwner {
    match &shared.snapshot.load().bundle {
        Some(LoadedBundle { number: loaded, delta: Some(delta), .. })
            if *loaded >= number && held.as_ref() == Some(&delta.from) =>
        {
            FromOwner::BundleDelta { number: *loaded, delta: delta.as_ref().clone() }
        }
        Some(loaded) if loaded.number >= number => FromOwner::Bundle {
            number: loaded.number,
            digest: loaded.digest.clone(),
            text: loaded.text.to_string(),
        },
        _ => FromOwner::NoBundle,
    }
}
