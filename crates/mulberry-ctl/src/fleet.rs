//! `fleet`: shows each entry and side with its state, bundle and load.

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde::Serialize;

use mulberry_platform::http_client::HttpClient;
use mulberry_platform::http_client::request;
use mulberry_protocol::heartbeat::Presence;

use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::new_table;
use crate::output::print_result;

/// Timeout of a status request to one entry, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 2_000;

/// State and load of one process.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct FleetRow {
    /// `entry` or `side`.
    pub role: &'static str,
    /// Name of the entry or endpoint, or the address of an entry that did not respond.
    pub name: String,
    /// `serving`, `leaving`, `starting`, `not ready`, `lost` or `no answer`.
    pub state: String,
    /// Number of the bundle that an entry has in force, or that a side's endpoint has applied. 0 if
    /// there is none or the entry did not respond.
    pub bundle: u64,
    /// Online requests that the side has admitted or queued; always 0 for an entry.
    pub online: u64,
    /// Batch items that the side is running; always 0 for an entry.
    pub batch: u64,
    /// Concurrency limit of the side; always 0 for an entry.
    pub limit: u64,
}

/// Fields of an entry's `/status` response that the command shows.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EntryStatus {
    entry: String,
    leaving: bool,
    ready: bool,
    bundle: u64,
    sides: Vec<SideStatus>,
}

/// A side as an entry's `/status` response reports it.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct SideStatus {
    endpoint: String,
    live: bool,
    presence: Option<Presence>,
    bundle_done: u64,
    online: u64,
    batch: u64,
    limit: u64,
}

/// Asks every configured entry for its status, and returns the entries and the sides they know. A
/// side that several entries know is listed once, as the first of them sees it.
pub(crate) async fn read_fleet(cx: &CtlContext) -> Result<Vec<FleetRow>, CtlError> {
    let client = HttpClient::new(STATUS_TIMEOUT_MS);
    let mut rows: Vec<FleetRow> = Vec::new();
    let entries = cx.settings.entries.clone().unwrap_or_default();
    for address in entries.split(',').map(str::trim).filter(|a| !a.is_empty()) {
        match read_entry_status(&client, address).await {
            Some(status) => add_rows(status, &mut rows),
            None => rows.push(FleetRow {
                role: "entry",
                name: address.to_owned(),
                state: "no answer".to_owned(),
                bundle: 0,
                online: 0,
                batch: 0,
                limit: 0,
            }),
        }
    }
    Ok(rows)
}

async fn read_entry_status(client: &HttpClient, address: &str) -> Option<EntryStatus> {
    let url = format!("http://{address}/status");
    let sent = client.send(request(Method::GET, &url), Bytes::new()).await;
    sent.ok()?.json().await.ok()
}

fn add_rows(status: EntryStatus, rows: &mut Vec<FleetRow>) {
    let state = match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "serving",
        (false, false) => "not ready",
    };
    rows.push(FleetRow {
        role: "entry",
        name: status.entry,
        state: state.to_owned(),
        bundle: status.bundle,
        online: 0,
        batch: 0,
        limit: 0,
    });
    for side in status.sides {
        if rows.iter().any(|r| r.role == "side" && r.name == side.endpoint) {
            continue;
        }
        let state = match (side.live, side.presence) {
            (false, _) => "lost",
            (true, Some(Presence::Serving)) => "serving",
            (true, Some(Presence::Leaving)) => "leaving",
            (true, Some(Presence::Starting) | None) => "starting",
        };
        rows.push(FleetRow {
            role: "side",
            name: side.endpoint,
            state: state.to_owned(),
            bundle: side.bundle_done,
            online: side.online,
            batch: side.batch,
            limit: side.limit,
        });
    }
}

/// Prints one row per process.
pub(crate) async fn run(cx: &CtlContext) -> Result<(), CtlError> {
    let rows = read_fleet(cx).await?;
    print_result(cx.json, &rows, |rows| {
        let header = ["role", "name", "state", "bundle", "online", "batch", "limit"];
        let mut table = new_table(&header);
        for r in rows {
            table.add_row([
                r.role.to_owned(),
                r.name.clone(),
                r.state.clone(),
                r.bundle.to_string(),
                r.online.to_string(),
                r.batch.to_string(),
                r.limit.to_string(),
            ]);
        }
        table.to_string()
    });
    Ok(())
}
