//! Pool of idle links to sides, one per thread, for online requests only.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_protocol::auth::SecretKeyring;

/// Most idle links kept for one side.
const MAX_IDLE_PER_SIDE: usize = 64;

/// Time after which an idle link is no longer used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

struct IdleLink {
    connection: LinkConnection,
    since: Instant,
}

thread_local! {
    static POOL: RefCell<IndexMap<SocketAddr, Vec<IdleLink>>> = RefCell::new(IndexMap::new());
}

/// Takes an idle link, or opens a new one. A request that may not run twice needs a new link
/// (`require_new`), so that it is never sent on one that the side is closing.
pub(crate) async fn take_link(
    address: SocketAddr,
    secrets: &SecretKeyring,
    require_new: bool,
) -> Result<LinkConnection, LinkError> {
    if !require_new && let Some(connection) = take_idle(address) {
        return Ok(connection);
    }
    LinkConnection::connect(address, secrets).await
}

fn take_idle(address: SocketAddr) -> Option<LinkConnection> {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.get_mut(&address)?;
        while let Some(link) = idle.pop() {
            if link.since.elapsed() < IDLE_TIMEOUT && !link.connection.is_stale() {
                return Some(link.connection);
            }
        }
        None
    })
}

/// Puts a link back into the pool. Its last response must have been read to the end.
pub(crate) fn return_link(address: SocketAddr, connection: LinkConnection) {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.entry(address).or_default();
        idle.retain(|link| link.since.elapsed() < IDLE_TIMEOUT);
        if idle.len() < MAX_IDLE_PER_SIDE {
            idle.push(IdleLink { connection, since: Instant::now() });
        }
    });
}
