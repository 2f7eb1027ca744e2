//! Links to owners that are idle between two calls, by address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use mulberry_link::LinkConnection;

/// Maximum number of idle links to one address.
const MAX_IDLE_LINKS: usize = 16;

/// Time after which an idle link is closed. The owner closes it later, so that a call hardly ever meets a
/// link that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

struct IdleLink {
    link: LinkConnection,
    since: Instant,
}

/// The idle links of one thread.
#[derive(Default)]
pub(crate) struct IdleLinks {
    by_address: RefCell<IndexMap<SocketAddr, Vec<IdleLink>>>,
}

impl IdleLinks {
    /// Takes the link to the address that was used last, unless the peer has closed it.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<LinkConnection> {
        let mut by_address = self.by_address.borrow_mut();
        let links = by_address.get_mut(&address)?;
        while let Some(idle) = links.pop() {
            if idle.since.elapsed() < IDLE_TIMEOUT && !idle.link.is_stale() {
                return Some(idle.link);
            }
        }
        None
    }

    /// Keeps a link whose last call was answered, and closes all that were idle for too long.
    pub(crate) fn put_back(&self, address: SocketAddr, link: LinkConnection) {
        let mut by_address = self.by_address.borrow_mut();
        by_address.retain(|_, links| {
            links.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
            !links.is_empty()
        });
        let links = by_address.entry(address).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(IdleLink { link, since: Instant::now() });
        }
    }

    /// Closes the idle links to an address. Returns their number.
    pub(crate) fn close(&self, address: SocketAddr) -> usize {
        self.by_address.borrow_mut().swap_remove(&address).map_or(0, |links| links.len())
    }
}
