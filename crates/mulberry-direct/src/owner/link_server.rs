//! Accepts links from entries and other owners, and serves their calls, one at a time on each link.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_policy::memory_budget::HolderId;
use mulberry_policy::memory_budget::Reservation;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::job_calls::ALIVE_INTERVAL;
use crate::job_calls::JobCall;
use crate::owner::Owner;
use crate::owner::dispatch::dispatch_call;
use crate::shared::SharedState;

/// Pause after a failed accept. There may be no descriptor left, which does not change at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for which a call waits for room before its link is closed, in milliseconds. Its caller has given up
/// by then.
const MAX_ROOM_WAIT_MS: u64 = 2_500;

/// Time after which a link without a call is closed, longer than callers keep one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for the rest of a call whose beginning is there, and for a reply until the link has taken it.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a waiting call looks for room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts links until the process stops, at most as many as the process may have connections.
pub(crate) async fn accept_links(owner: Rc<Owner>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(owner.shared.shares.connections));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let owner = owner.clone();
                actix_rt::spawn(async move {
                    serve_link(owner, stream).await;
                    drop(slot);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Bytes of a call that are held until it is answered.
struct CallBytes<'a> {
    shared: &'a SharedState,
    holder: HolderId,
}

impl<'a> CallBytes<'a> {
    /// Reserves the bytes of a call before it is read. Returns `None` if there is no room in time.
    async fn reserve(shared: &'a SharedState, bytes: usize) -> Option<Self> {
        let holder = shared.memory().open(None, Some(bytes as u64));
        let held = Self { shared, holder };
        let began = shared.clock.now();
        loop {
            let now = shared.clock.now();
            let reserved = shared.memory().reserve(holder, bytes as u64, now);
            match reserved {
                Reservation::Granted => return Some(held),
                Reservation::Full { .. } if now.since(began) < MAX_ROOM_WAIT_MS => {
                    tokio::time::sleep(ROOM_POLL_INTERVAL).await;
                }
                Reservation::Full { .. } | Reservation::TooLarge => {
                    shared.metrics.count("direct.links_without_room");
                    return None;
                }
            }
        }
    }
}

impl Drop for CallBytes<'_> {
    fn drop(&mut self) {
        self.shared.memory().close(self.holder);
    }
}

/// Serves the calls of one link until its peer closes it, or nothing more comes or goes over it.
async fn serve_link(owner: Rc<Owner>, stream: TcpStream) {
    let Some(secrets) = owner.shared.secrets.load_full() else { return };
    let mut link = match LinkConnection::accept(stream, &secrets).await {
        Ok(link) => link,
        Err(e) => {
            log_event!(debug, Event::LinkRefused, error = %e);
            return;
        }
    };
    // The peer closes the link when it no longer needs it, unless the link has gone silent.
    if let Err(LinkError::TimedOut) = serve_calls(&owner, &mut link).await {
        owner.shared.metrics.count("direct.links_idle_closed");
    }
}

/// Serves one call after the other, until there is no room for one or the link fails or is idle for too long.
async fn serve_calls(owner: &Rc<Owner>, link: &mut LinkConnection) -> Result<(), LinkError> {
    loop {
        let bytes = within(IDLE_TIMEOUT, link.next_size()).await?;
        let held = with_signs_of_life(link, CallBytes::reserve(&owner.shared, bytes)).await;
        let Some(_held) = held else { return Ok(()) };
        let call = within(TRANSFER_TIMEOUT, link.receive::<JobCall>()).await?;
        let reply = with_signs_of_life(link, dispatch_call(owner, call)).await;
        within(TRANSFER_TIMEOUT, link.send(&reply)).await?;
    }
}

/// Waits for a step of a link, for a limited time.
async fn within<T>(
    limit: Duration,
    step: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    timeout(limit, step).await.unwrap_or(Err(LinkError::TimedOut))
}

/// Waits for a step of a call, and sends signs of life to its caller meanwhile.
async fn with_signs_of_life<T>(link: &mut LinkConnection, step: impl Future<Output = T>) -> T {
    let mut step = pin!(step);
    loop {
        if let Ok(done) = timeout(ALIVE_INTERVAL, &mut step).await {
            return done;
        }
        // A broken link shows when the reply is sent. One that takes nothing must not hold up the call.
        let _sent = timeout(Duration::ZERO, link.send_alive()).await;
    }
}
