//! A caller's online request, as it is relayed to endpoints.

use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderValue;

use mulberry_policy::crash_suspects::RequestKeys;
use mulberry_protocol::account::ClientAccount;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::route::Route;
use mulberry_protocol::time::Millis;

use crate::fair_share::FairPlace;

/// A caller's online request, read whole and ready to be relayed.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The client account whose key came with it, if there is one.
    pub account: Option<Arc<ClientAccount>>,
    /// Digest of that key.
    pub key: Option<Digest>,
    /// Priority of the account or, without one, of the route; zero is the most urgent.
    pub priority: u32,
    /// Version of the configuration that defines the route.
    pub version: u64,
    /// HTTP method, passed on unchanged.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Request ID given by the caller or generated; the endpoint's response must repeat it.
    pub request_id: HeaderValue,
    /// Fingerprint, which stays the same when the caller sends the request again under another ID.
    pub fingerprint: u64,
    /// Address from which it came, if that is known.
    pub caller: Option<IpAddr>,
    /// Fingerprints of the parts of its prompt that other requests may have too.
    pub parts: Arc<[u64]>,
    /// The buffered body, which is sent again at each attempt.
    pub body: Bytes,
    /// Deadline of the response.
    pub due: Millis,
    /// When its head had been read.
    pub came_at: Millis,
    /// ID of the request that brought the first event of the stream which the caller takes up.
    pub resumes: Option<Arc<str>>,
    /// Whether the caller has events of an earlier run, behind which this one is to continue.
    pub is_continued: bool,
    /// Number of the last of those events, if the caller states one.
    pub last_event: Option<u64>,
    /// Its place in the fair share of its account, once it has one.
    pub place: FairPlace,
}

impl CallerRequest {
    /// Returns the request ID for log lines, or an empty string if it is not valid text.
    pub fn id_text(&self) -> &str {
        self.request_id.to_str().unwrap_or("")
    }

    /// Returns the account's name for log lines, or an empty string if there is none.
    pub fn account_text(&self) -> &str {
        self.account.as_ref().map_or("", |a| a.name.as_str())
    }

    /// Returns the caller's address for log lines, empty if it is not known.
    pub fn caller_text(&self) -> String {
        self.caller.map_or_else(String::new, |address| address.to_string())
    }

    /// Returns what the request is known by where it is suspected of crashing endpoints.
    pub fn keys(&self) -> RequestKeys<'_> {
        RequestKeys { fingerprint: self.fingerprint, parts: &self.parts }
    }
}
