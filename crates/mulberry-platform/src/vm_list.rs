//! Reads the platform's list of VMs, which shows changes with a delay.

use std::cell::RefCell;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use mulberry_protocol::closed_set;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::ZoneName;

use crate::error::PlatformError;
use crate::http_client::HttpClient;
use crate::http_client::request;

/// Timeout of a read of the list, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Largest response accepted, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

closed_set! {
    /// What a VM runs.
    pub enum VmRole {
        /// An entry.
        Entry,
        /// An endpoint and its side.
        Endpoint,
    }
}

closed_set! {
    /// Whether a VM is about to be stopped.
    pub enum VmState {
        /// The VM runs, and no stop is announced.
        Live,
        /// The VM still runs, but will be stopped.
        Leaving,
    }
}

/// A VM as the list describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// Name of the VM, and of the entry or endpoint that it runs.
    pub name: String,
    /// Whether it runs an entry or an endpoint.
    pub role: VmRole,
    /// Availability zone that it is in.
    pub zone: ZoneName,
    /// Address on which the side accepts its link, or the entry its owner link.
    pub address: SocketAddr,
    /// Service that the endpoint belongs to; none for an entry.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Whether the VM is about to be stopped.
    pub state: VmState,
}

/// The list in the JSON form in which the platform serves it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VmListDocument {
    /// Every VM of the fleet.
    pub vms: Vec<Vm>,
}

/// Result of a read of the list.
#[derive(Debug, Clone, PartialEq)]
pub enum VmListRead {
    /// The list has not changed since the last read.
    Unchanged,
    /// The list has changed, or was never read before; holds every VM.
    Changed(Vec<Vm>),
}

/// A source of the list of VMs.
pub trait VmList {
    /// Reads the list. Returns the VMs only if the list has changed since the last read.
    fn read(&self) -> LocalBoxFuture<'_, Result<VmListRead, PlatformError>>;
}

/// Reads the list over HTTP, and sends the last `etag` so that an unchanged list is not sent again.
pub struct HttpVmList {
    client: HttpClient,
    url: String,
    etag: RefCell<Option<String>>,
}

impl HttpVmList {
    /// Creates a client of the list served at `address`. Connects on the first read.
    pub fn new(address: &str) -> Self {
        let url = format!("http://{address}/vms");
        Self { client: HttpClient::new(READ_TIMEOUT_MS), url, etag: RefCell::new(None) }
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> LocalBoxFuture<'_, Result<VmListRead, PlatformError>> {
        async move {
            let no_answer = |detail: String| PlatformError::NoAnswer { call: "vm list", detail };
            let mut req = request(Method::GET, &self.url);
            if let Some(etag) = self.etag.borrow().as_ref() {
                req = req.header("if-none-match", etag.as_str());
            }
            let sent = self.client.send(req, Bytes::new()).await;
            let response = sent.map_err(|e| no_answer(e.to_string()))?;
            if response.status() == StatusCode::NOT_MODIFIED {
                return Ok(VmListRead::Unchanged);
            }
            if !response.status().is_success() {
                return Err(no_answer(format!("status {}", response.status())));
            }
            let etag = response.headers().get("etag").and_then(|v| v.to_str().ok());
            let etag = etag.map(str::to_owned);
            let body = response.read(MAX_LIST_BYTES).await;
            let body = body.map_err(|e| no_answer(e.to_string()))?;
            let document: VmListDocument = serde_json::from_slice(&body)
                .map_err(|e| PlatformError::BadAnswer { call: "vm list", detail: e.to_string() })?;
            self.etag.replace(etag);
            Ok(VmListRead::Changed(document.vms))
        }
        .boxed_local()
    }
}
