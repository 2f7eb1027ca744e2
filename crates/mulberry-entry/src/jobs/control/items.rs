//! Links from sides, the items handed out over them, and the reports of how the items ended.

use actix::Handler;
use actix::Message;
use actix::MessageResult;
use rand::Rng;
use tokio::sync::mpsc;

use mulberry_policy::job_queue::ItemKey;
use mulberry_policy::job_queue::PullRequest;
use mulberry_policy::suspects::RunRestriction;
use mulberry_protocol::digest::request_fingerprint;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobLine;
use mulberry_protocol::link::BatchItem;
use mulberry_protocol::link::Dispatch;
use mulberry_protocol::link::FromOwner;
use mulberry_protocol::link::ItemResponse;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::object_key;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::JobControl;
use super::LinkId;
use crate::dispatch::report_suspects;
use crate::http::estimate_tokens;
use crate::shared::Shared;

/// Records a new link from a side.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkOpened {
    pub link: LinkId,
    pub tx: mpsc::UnboundedSender<FromOwner>,
}

impl Handler<LinkOpened> for JobControl {
    type Result = ();

    fn handle(&mut self, opened: LinkOpened, _: &mut Self::Context) {
        self.links.insert(opened.link, opened.tx);
    }
}

/// Records that a link closed. Its outstanding items end as `unknown` and may be handed out again.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkClosed {
    pub link: LinkId,
}

impl Handler<LinkClosed> for JobControl {
    type Result = ();

    fn handle(&mut self, closed: LinkClosed, _: &mut Self::Context) {
        self.links.shift_remove(&closed.link);
        let now = self.shared.clock.now();
        let lost: Vec<ItemKey> = self
            .outstanding
            .iter()
            .filter(|(_, link)| **link == closed.link)
            .map(|(key, _)| key.clone())
            .collect();
        for key in lost {
            self.outstanding.swap_remove(&key);
            let refusal = Refusal::unknown(RefusalReason::LinkFailed, "the side went away");
            self.shared.metrics.count("entry.items_lost_with_side");
            self.queue.record_item_end(&key, Err(refusal), now);
        }
    }
}

/// Asks for up to `max_items` items that a side can run.
#[derive(Message)]
#[rtype(result = "Vec<BatchItem>")]
pub(crate) struct TakeItems {
    pub link: LinkId,
    pub service: ServiceName,
    pub models: Vec<ModelName>,
    pub max_items: usize,
}

impl Handler<TakeItems> for JobControl {
    type Result = MessageResult<TakeItems>;

    fn handle(&mut self, take: TakeItems, _: &mut Self::Context) -> Self::Result {
        if self.draining || !self.links.contains_key(&take.link) {
            return MessageResult(Vec::new());
        }
        let request =
            PullRequest { service: &take.service, models: &take.models, max_items: take.max_items };
        let now = self.shared.clock.now();
        let keys = self.queue.take(&request, now);
        let mut items = Vec::with_capacity(keys.len());
        for key in keys {
            if let Some(item) = self.build_item(&key) {
                self.outstanding.insert(key, take.link);
                items.push(item);
            }
        }
        self.shared.metrics.add("entry.items_handed_out", items.len() as u64);
        MessageResult(items)
    }
}

/// Records how an item ended on a side.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ItemDone {
    pub link: LinkId,
    pub key: ItemKey,
    pub result: Result<ItemResponse, Refusal>,
    pub suspects: Vec<Suspect>,
}

impl Handler<ItemDone> for JobControl {
    type Result = ();

    fn handle(&mut self, done: ItemDone, _: &mut Self::Context) {
        if let Some(actors) = &self.actors {
            report_suspects(&self.shared, actors, &done.suspects);
        }
        // The item is no longer outstanding on this link: it was stopped or handed to another side.
        if self.outstanding.get(&done.key) != Some(&done.link) {
            self.shared.metrics.count("entry.items_late");
            return;
        }
        self.outstanding.swap_remove(&done.key);
        let now = self.shared.clock.now();
        let end = match done.result {
            Ok(response) => Ok(to_item_end(&response)),
            Err(refusal) => {
                let reason = refusal.reason.as_str();
                self.shared.metrics.count_reason("entry.items_refused", reason);
                Err(refusal)
            }
        };
        self.queue.record_item_end(&done.key, end, now);
    }
}

/// Converts a side's response into the stored form: a body that is not JSON becomes a string.
fn to_item_end(response: &ItemResponse) -> ItemEnd {
    let as_text =
        || serde_json::Value::String(String::from_utf8_lossy(&response.body).into_owned());
    let body = serde_json::from_slice(&response.body).unwrap_or_else(|_| as_text());
    ItemEnd::Answered { status: response.status, body }
}

impl JobControl {
    /// Builds the message that hands an item to a side. Returns none if the item can't be handed
    /// out now, and ends it if it is confirmed to crash endpoints.
    fn build_item(&mut self, key: &ItemKey) -> Option<BatchItem> {
        let job = self.queue.job(&key.job)?.clone();
        let chunk = key.index / job.chunk_items.max(1);
        let offset = (key.index - job.chunk_range(chunk).start) as usize;
        let line = self.lines.get(&(key.job.clone(), chunk))?.get(offset)?;
        let shard = object_key::job_shard(&key.job, self.shared.settings.job_shards);
        let owner_number = self.ownership.owner_number(shard)?;
        let dispatch = build_dispatch(&job, line, &self.shared);
        let now = self.shared.clock.now();
        let restriction = self.shared.policies.suspects().restriction(dispatch.fingerprint, now);
        if restriction == RunRestriction::Refused {
            let detail = "the item crashed endpoints before";
            let refusal = Refusal::not_run(RefusalReason::Poison, detail);
            self.queue.record_item_end(key, Err(refusal), now);
            return None;
        }
        let dispatch = Dispatch { alone: restriction == RunRestriction::Alone, ..dispatch };
        Some(BatchItem { job: key.job.clone(), index: key.index, owner_number, shard, dispatch })
    }
}

fn build_dispatch(job: &Job, line: &JobLine, shared: &Shared) -> Dispatch {
    let body = bytes::Bytes::from(line.body.to_string());
    let bundle_number = shared.snapshot.load().bundle.as_ref().map_or(0, |b| b.number);
    // A plain service gets the path without `/services/<name>`.
    let prefix = format!("/services/{}", job.service);
    let path = line.url.strip_prefix(&prefix).unwrap_or(&line.url).to_owned();
    let answer_tokens = line.body.get("max_tokens").and_then(serde_json::Value::as_u64);
    Dispatch {
        attempt: rand::rng().random(),
        service: job.service.clone(),
        model: job.model.clone(),
        client: job.client.clone(),
        method: line.method.clone(),
        content_type: "application/json".to_owned(),
        idempotent: job.idempotent,
        stream: false,
        deadline_ms: u32::MAX,
        fingerprint: request_fingerprint(&line.method, &path, &body),
        prompt_tokens: estimate_tokens(body.len()),
        answer_tokens: answer_tokens.unwrap_or(0) as u32,
        bundle: bundle_number,
        alone: false,
        path,
        body,
    }
}
