//! A thread's idle links to sides, for online requests only.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_protocol::auth::SecretKeyring;

/// Idle links kept for one side.
const MAX_IDLE: usize = 64;

/// Time for which an idle link is kept.
const IDLE_TIME: Duration = Duration::from_secs(30);

struct Idle {
    connection: LinkConnection,
    since: Instant,
}

thread_local! {
    static POOL: RefCell<IndexMap<SocketAddr, Vec<Idle>>> = RefCell::new(IndexMap::new());
}

/// Takes an idle link, or dials one. A request that may not run twice gets a new link, so that it
/// is never sent on one that the peer is closing.
pub(crate) async fn take_link(
    address: SocketAddr,
    secrets: &SecretKeyring,
    must_be_new: bool,
) -> Result<LinkConnection, LinkError> {
    if !must_be_new && let Some(connection) = take_idle(address) {
        return Ok(connection);
    }
    LinkConnection::connect(address, secrets).await
}

fn take_idle(address: SocketAddr) -> Option<LinkConnection> {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.get_mut(&address)?;
        while let Some(link) = idle.pop() {
            if link.since.elapsed() < IDLE_TIME && !link.connection.is_stale() {
                return Some(link.connection);
            }
        }
        None
    })
}

/// Returns a link after a whole exchange.
pub(crate) fn return_link(address: SocketAddr, connection: LinkConnection) {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.entry(address).or_default();
        idle.retain(|link| link.since.elapsed() < IDLE_TIME);
        if idle.len() < MAX_IDLE {
            idle.push(Idle { connection, since: Instant::now() });
        }
    });
}
