//! Timeouts, connection limits and statuses that the HTTP calls of all processes share, and a client for callers in
//! trials, which can't tell a body that breaks off from a whole one. Processes use
//! [`crate::http_client::HttpClient`].

use std::ops::RangeInclusive;
use std::time::Duration;

use awc::Client;
use awc::Connector;

/// Connections that one client keeps open to each host.
pub(crate) const CONNECTIONS_PER_HOST: usize = 512;

/// Timeout for opening a connection, in milliseconds.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time for which an idle connection is kept open, in milliseconds. Servers keep theirs open
/// longer, so that a request is never sent on a connection that the server is closing.
pub(crate) const KEEP_ALIVE_TIMEOUT_MS: u64 = 3_000;

/// Statuses of final responses. The HTTP library passes on any three digits from 100 on, and a 101 that nobody asked for.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Creates a client that does not follow redirects and whose calls time out after `timeout_ms`
/// unless a request sets its own timeout.
pub fn new_client(timeout_ms: u64) -> Client {
    let connector = Connector::new()
        .limit(CONNECTIONS_PER_HOST)
        .timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .conn_keep_alive(Duration::from_millis(KEEP_ALIVE_TIMEOUT_MS));
    Client::builder()
        .connector(connector)
        .timeout(Duration::from_millis(timeout_ms))
        .disable_redirects()
        .finish()
}
