//! The bundle in force and what the endpoint holds.

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

/// Asks for the newest bundle number heard, the entries that may have it, and when it was heard.
#[derive(Message)]
#[rtype(result = "BundleNews")]
pub(crate) struct AskBundleNews;

/// What entries say of the bundle in force.
#[derive(Debug, Clone, Default)]
pub(crate) struct BundleNews {
    pub highest: u64,
    pub sources: Vec<SocketAddr>,
    /// Milliseconds since any entry was last heard.
    pub heard_ms_ago: u64,
    pub held: Option<(u64, Arc<Bundle>)>,
}

impl Handler<AskBundleNews> for SideControl {
    type Result = MessageResult<AskBundleNews>;

    fn handle(&mut self, _: AskBundleNews, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        let entries = self.state.entries.values();
        let highest = entries.clone().map(|e| e.beat.bundle).max().unwrap_or(0);
        let sources =
            entries.clone().filter(|e| e.beat.bundle == highest).map(|e| e.beat.owner_link);
        let heard = entries.clone().map(|e| now.since(e.heard_at)).min();
        MessageResult(BundleNews {
            highest,
            sources: sources.collect(),
            heard_ms_ago: heard.unwrap_or(u64::MAX),
            held: self.bundle.clone(),
        })
    }
}

/// Puts a bundle in force in this process, unless a newer one is.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PutBundle {
    pub number: u64,
    pub bundle: Arc<Bundle>,
}

impl Handler<PutBundle> for SideControl {
    type Result = ();

    fn handle(&mut self, put: PutBundle, _: &mut Self::Context) {
        let current = self.bundle.as_ref().map_or(0, |(number, _)| *number);
        if put.number <= current {
            log_event!(debug, Event::BundleStale, number = put.number);
            return;
        }
        log_event!(info, Event::BundleInForce, number = put.number);
        if let Some(service) = put.bundle.services.get(&self.settings.service) {
            self.admission.set_fill(service.batch_fill);
        }
        self.bundle = Some((put.number, put.bundle));
        self.news.notify_one();
        self.beat_all();
    }
}

/// Reports what the endpoint holds.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ModelsSeen {
    pub models: Vec<ModelName>,
    pub bundle_done: u64,
}

impl Handler<ModelsSeen> for SideControl {
    type Result = ();

    fn handle(&mut self, seen: ModelsSeen, _: &mut Self::Context) {
        let changed =
            self.engine.models != seen.models || self.engine.bundle_done != seen.bundle_done;
        self.engine.models = seen.models;
        self.engine.bundle_done = seen.bundle_done;
        if changed {
            self.beat_all();
        }
    }
}
