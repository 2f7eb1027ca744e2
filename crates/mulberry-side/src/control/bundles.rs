//! Messages on the bundle in force and the models that the endpoint holds.

use std::net::SocketAddr;
use std::sync::Arc;

use actix::Handler;
use actix::Message;
use actix::MessageResult;

use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ModelName;

use crate::control::SideControl;

/// Asks for the bundle in force in this process and the newest one that entries announce.
#[derive(Message)]
#[rtype(result = "BundleNews")]
pub(crate) struct GetBundleNews;

/// The bundle in force in this process, and the newest one that entries announce.
#[derive(Debug, Clone, Default)]
pub(crate) struct BundleNews {
    /// Highest bundle number in the heartbeats of entries, or zero.
    pub highest: u64,
    /// Owner links of the entries that announce that number.
    pub sources: Vec<SocketAddr>,
    /// Milliseconds since the last heartbeat of any entry.
    pub last_heartbeat_age_ms: u64,
    /// Number and content of the bundle in force in this process.
    pub current: Option<(u64, Arc<Bundle>)>,
}

impl Handler<GetBundleNews> for SideControl {
    type Result = MessageResult<GetBundleNews>;

    fn handle(&mut self, _: GetBundleNews, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        let entries = self.state.entries.values();
        let highest = entries.clone().map(|e| e.heartbeat.bundle).max().unwrap_or(0);
        let sources = entries
            .clone()
            .filter(|e| e.heartbeat.bundle == highest)
            .map(|e| e.heartbeat.owner_link);
        let last_heartbeat_age_ms = entries.clone().map(|e| now.since(e.last_heartbeat_at)).min();
        MessageResult(BundleNews {
            highest,
            sources: sources.collect(),
            last_heartbeat_age_ms: last_heartbeat_age_ms.unwrap_or(u64::MAX),
            current: self.bundle.clone(),
        })
    }
}

/// Puts a bundle in force in this process, unless its number is no higher than that of the current
/// one.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct InstallBundle {
    pub number: u64,
    pub bundle: Arc<Bundle>,
}

impl Handler<InstallBundle> for SideControl {
    type Result = ();

    fn handle(&mut self, install: InstallBundle, _: &mut Self::Context) {
        let current = self.bundle.as_ref().map_or(0, |(number, _)| *number);
        if install.number <= current {
            log_event!(debug, Event::BundleStale, number = install.number);
            return;
        }
        log_event!(info, Event::BundleInForce, number = install.number);
        if let Some(service) = install.bundle.services.get(&self.settings.service) {
            self.admission.set_fill(service.batch_fill);
        }
        self.bundle = Some((install.number, install.bundle));
        self.bundle_notify.notify_one();
        self.send_heartbeats();
    }
}

/// Records the models that the endpoint holds and the bundle they fulfil, zero if some are missing.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ModelsReported {
    pub models: Vec<ModelName>,
    pub bundle_done: u64,
}

impl Handler<ModelsReported> for SideControl {
    type Result = ();

    fn handle(&mut self, report: ModelsReported, _: &mut Self::Context) {
        let changed = self.endpoint_state.models != report.models
            || self.endpoint_state.bundle_done != report.bundle_done;
        self.endpoint_state.models = report.models;
        self.endpoint_state.bundle_done = report.bundle_done;
        if changed {
            self.send_heartbeats();
        }
    }
}
