//! The platform's lagging list of VMs.

use std::cell::RefCell;
use std::net::SocketAddr;

use awc::Client;
use awc::http::StatusCode;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use mulberry_protocol::closed_set;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::ZoneName;

use crate::error::PlatformError;
use crate::http::new_client;

/// Time for the list's answer, in milliseconds.
const CALL_MS: u64 = 2_000;

/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

closed_set! {
    /// What a VM is for.
    pub enum VmRole {
        /// Runs an entry.
        Entry,
        /// Runs an endpoint and its side.
        Endpoint,
    }
}

closed_set! {
    /// The state of a VM.
    pub enum VmState {
        /// It runs.
        Live,
        /// It will stop.
        Leaving,
    }
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// Its name, which is that of its entry or endpoint.
    pub name: String,
    /// What it is for.
    pub role: VmRole,
    /// Where it is.
    pub zone: ZoneName,
    /// Address of the side's link, or of the entry's owner link.
    pub address: SocketAddr,
    /// Service of its endpoint.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Its state.
    pub state: VmState,
}

/// The JSON of the list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VmListDocument {
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// What a read of the list shows.
#[derive(Debug, Clone, PartialEq)]
pub enum VmListRead {
    /// The list is as at the last read.
    Unchanged,
    /// The whole list.
    Changed(Vec<Vm>),
}

/// Reads the list of VMs.
pub trait VmList {
    /// Reads the list, whole only if it changed since the last read.
    fn read(&self) -> LocalBoxFuture<'_, Result<VmListRead, PlatformError>>;
}

/// The list over HTTP.
pub struct HttpVmList {
    client: Client,
    url: String,
    etag: RefCell<Option<String>>,
}

impl HttpVmList {
    /// Makes a client of the list at `address`.
    pub fn new(address: &str) -> Self {
        let url = format!("http://{address}/vms");
        Self { client: new_client(CALL_MS), url, etag: RefCell::new(None) }
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> LocalBoxFuture<'_, Result<VmListRead, PlatformError>> {
        async move {
            let no_answer = |detail: String| PlatformError::NoAnswer { call: "vm list", detail };
            let mut req = self.client.get(&self.url);
            if let Some(etag) = self.etag.borrow().as_ref() {
                req = req.insert_header(("if-none-match", etag.as_str()));
            }
            let mut response = req.send().await.map_err(|e| no_answer(e.to_string()))?;
            if response.status() == StatusCode::NOT_MODIFIED {
                return Ok(VmListRead::Unchanged);
            }
            if !response.status().is_success() {
                return Err(no_answer(format!("status {}", response.status())));
            }
            let body = response.body().limit(MAX_LIST_BYTES).await;
            let body = body.map_err(|e| no_answer(e.to_string()))?;
            let document: VmListDocument = serde_json::from_slice(&body)
                .map_err(|e| PlatformError::BadAnswer { call: "vm list", detail: e.to_string() })?;
            let etag = response.headers().get("etag").and_then(|v| v.to_str().ok());
            self.etag.replace(etag.map(str::to_owned));
            Ok(VmListRead::Changed(document.vms))
        }
        .boxed_local()
    }
}
