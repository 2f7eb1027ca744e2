//! Pulls batch items from job owners and runs them in the capacity that online requests leave.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::StreamExt;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_link::LinkReader;
use mulberry_link::LinkWriter;
use mulberry_protocol::event::Event;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::link::BatchItem;
use mulberry_protocol::link::FromOwner;
use mulberry_protocol::link::ItemAnswer;
use mulberry_protocol::link::ToOwner;
use mulberry_protocol::link::Urgency;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::control::Decision;
use crate::control::PullEnded;
use crate::control::PullOrder;
use crate::endpoint::EndpointResponse;
use crate::online::Admitted;
use crate::online::StreamMeter;
use crate::online::offer;
use crate::online::refusal_of_status;
use crate::online::report_broken;
use crate::process::Shared;
use crate::sse::AnswerJoiner;

/// Largest whole answer of a plain service to a batch item, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

struct OwnerLink {
    address: SocketAddr,
    tx: mpsc::UnboundedSender<ToOwner>,
}

/// Carries out pulls until the process stops.
pub(crate) async fn pull_items(mut orders: mpsc::UnboundedReceiver<PullOrder>, shared: Shared) {
    let mut owners: IndexMap<EntryName, OwnerLink> = IndexMap::new();
    while let Some(order) = orders.recv().await {
        let entry = order.entry.clone();
        let usable =
            owners.get(&entry).is_some_and(|o| o.address == order.owner_link && !o.tx.is_closed());
        if !usable {
            let (tx, rx) = mpsc::unbounded_channel();
            let address = order.owner_link;
            actix_rt::spawn(serve_owner(
                entry.clone(),
                address,
                rx,
                tx.downgrade(),
                shared.clone(),
            ));
            owners.insert(entry.clone(), OwnerLink { address, tx });
        }
        let pull = ToOwner::Pull {
            endpoint: shared.settings.endpoint.clone(),
            service: shared.settings.service.clone(),
            models: order.models,
            room: order.room,
        };
        let sent = owners.get(&entry).is_some_and(|o| o.tx.send(pull).is_ok());
        if !sent {
            shared.control.do_send(PullEnded { entry, items: 0 });
        }
    }
}

/// Keeps one link to an owner. When it breaks, the items pulled through it are stopped, since the
/// owner hands them to others.
async fn serve_owner(
    entry: EntryName,
    address: SocketAddr,
    rx: mpsc::UnboundedReceiver<ToOwner>,
    tx: mpsc::WeakUnboundedSender<ToOwner>,
    shared: Shared,
) {
    let ended = match LinkConnection::connect(address, &shared.secrets).await {
        Ok(connection) => {
            let (writer, reader) = connection.split();
            let stops = Rc::new(Stops::default());
            let ended = tokio::select! {
                ended = send_to_owner(writer, rx) => ended,
                ended = receive_from_owner(reader, &entry, &tx, &stops, &shared) => ended,
            };
            stops.stop_all();
            ended
        }
        Err(e) => Err(e),
    };
    if let Err(e) = ended {
        shared.metrics.count("side.owner_links_failed");
        log_event!(debug, Event::LinkFailed, %entry, error = %e);
    }
    shared.control.do_send(PullEnded { entry, items: 0 });
}

async fn send_to_owner(
    mut writer: LinkWriter,
    mut rx: mpsc::UnboundedReceiver<ToOwner>,
) -> Result<(), LinkError> {
    while let Some(message) = rx.recv().await {
        writer.send(&message).await?;
    }
    Ok(())
}

async fn receive_from_owner(
    mut reader: LinkReader,
    entry: &EntryName,
    tx: &mpsc::WeakUnboundedSender<ToOwner>,
    stops: &Rc<Stops>,
    shared: &Shared,
) -> Result<(), LinkError> {
    loop {
        match reader.receive().await? {
            FromOwner::Items(items) => {
                let count = items.len();
                for item in items {
                    let Some(tx) = tx.upgrade() else { return Ok(()) };
                    actix_rt::spawn(run_and_report(item, tx, stops.clone(), shared.clone()));
                }
                // Lets the new tasks offer their items before the next pull is sized.
                tokio::task::yield_now().await;
                shared.control.do_send(PullEnded { entry: entry.clone(), items: count });
            }
            FromOwner::Stop { jobs } => stops.stop_jobs(&jobs),
            FromOwner::Bundle { .. } | FromOwner::BundleDelta { .. } | FromOwner::NoBundle => {}
        }
    }
}

/// Stop signals of the running items, by job.
#[derive(Default)]
struct Stops {
    jobs: RefCell<IndexMap<JobId, watch::Sender<bool>>>,
}

impl Stops {
    fn subscribe(&self, job: &JobId) -> watch::Receiver<bool> {
        let mut jobs = self.jobs.borrow_mut();
        jobs.retain(|_, tx| tx.receiver_count() > 0);
        jobs.entry(job.clone()).or_insert_with(|| watch::Sender::new(false)).subscribe()
    }

    fn stop_jobs(&self, stopped: &[JobId]) {
        let jobs = self.jobs.borrow();
        for tx in stopped.iter().filter_map(|job| jobs.get(job)) {
            tx.send_replace(true);
        }
    }

    fn stop_all(&self) {
        for tx in self.jobs.borrow().values() {
            tx.send_replace(true);
        }
    }
}

async fn run_and_report(
    item: BatchItem,
    tx: mpsc::UnboundedSender<ToOwner>,
    stops: Rc<Stops>,
    shared: Shared,
) {
    let mut stop = stops.subscribe(&item.job);
    let mut suspects = Vec::new();
    let result = tokio::select! {
        result = run_item(&item, &mut suspects, &shared) => result,
        _ = stop.wait_for(|stopped| *stopped) => {
            Err(Refusal::unknown(RefusalReason::Cancelled, "the job was stopped"))
        }
    };
    match &result {
        Ok(_) => shared.metrics.count("side.batch_completed"),
        Err(refusal) => {
            shared.metrics.count_reason("side.batch_refused", refusal.reason.as_str());
        }
    }
    // If the owner is gone, another one runs the item again.
    let done = ToOwner::Done { job: item.job, index: item.index, result, suspects };
    let _owner_gone = tx.send(done);
}

/// Runs one item to its end, through any number of preemptions.
async fn run_item(
    item: &BatchItem,
    suspects: &mut Vec<Suspect>,
    shared: &Shared,
) -> Result<ItemAnswer, Refusal> {
    let owner = Some((item.shard, item.owner_number));
    let mut admitted = offer(&item.dispatch, Urgency::Batch, owner, shared).await?;
    let mut run = ItemRun::new(item);
    loop {
        match admitted.decisions.recv().await {
            Some(Decision::Start) => {}
            Some(Decision::Refuse(refusal)) => return Err(run.refused_after(refusal)),
            Some(Decision::Preempt) => continue,
            None => {
                let refusal = Refusal::not_run(RefusalReason::Leaving, "the side is stopping");
                return Err(run.refused_after(refusal));
            }
        }
        match run.attempt(&mut admitted).await {
            AttemptEnd::Answered(answer) => {
                admitted.completed = true;
                return Ok(answer);
            }
            AttemptEnd::Preempted => {
                let stopped = crate::control::Progress::Stopped { id: admitted.id };
                shared.control.do_send(stopped);
            }
            AttemptEnd::Refused(refusal) => return Err(run.refused_after(refusal)),
            AttemptEnd::Broke(detail) => {
                *suspects = report_broken(&admitted, item.dispatch.fingerprint).await;
                return Err(Refusal::ran(RefusalReason::EngineFailed, detail));
            }
        }
    }
}

enum AttemptEnd {
    Answered(ItemAnswer),
    Preempted,
    Refused(Refusal),
    Broke(String),
}

struct ItemRun<'a> {
    item: &'a BatchItem,
    body: Bytes,
    joiner: AnswerJoiner,
    resume: Option<String>,
    runs: u32,
}

impl<'a> ItemRun<'a> {
    fn new(item: &'a BatchItem) -> Self {
        let body = if item.dispatch.model.is_some() {
            streaming_body(&item.dispatch.body)
        } else {
            item.dispatch.body.clone()
        };
        Self { item, body, joiner: AnswerJoiner::default(), resume: None, runs: 0 }
    }

    /// Marks a refusal as having run if an earlier part of this run did.
    fn refused_after(&self, mut refusal: Refusal) -> Refusal {
        let idempotent = self.item.dispatch.idempotent;
        if self.runs > 0 && !idempotent {
            refusal.run = mulberry_protocol::refusal::RunState::Ran;
        }
        refusal
    }

    async fn attempt(&mut self, admitted: &mut Admitted) -> AttemptEnd {
        let dispatch = &self.item.dispatch;
        let endpoint = admitted.shared.endpoint();
        self.runs += 1;
        let request = format!("{:016x}-{}", dispatch.attempt, self.runs);
        let resume = self.resume.take();
        let resume = resume.as_deref().map(|handle| (handle, self.joiner.tokens()));
        let sent = endpoint.send(dispatch, &request, self.body.clone(), resume).await;
        let response = match sent {
            Ok(response) => response,
            Err(e) => return AttemptEnd::Broke(e.to_string()),
        };
        let status = response.status().as_u16();
        if let Some(refusal) = refusal_of_status(dispatch, status) {
            return AttemptEnd::Refused(refusal);
        }
        let resumed = response.headers().get("x-resumed").is_some_and(|v| v.as_bytes() == b"yes");
        if !resumed {
            // The engine has let the state go, so that the answer starts anew.
            self.joiner.restart();
        }
        if dispatch.model.is_some() && status == 200 {
            self.read_stream(response, &request, admitted).await
        } else {
            read_whole(response, status).await
        }
    }

    async fn read_stream(
        &mut self,
        mut response: EndpointResponse,
        request: &str,
        admitted: &mut Admitted,
    ) -> AttemptEnd {
        let mut meter = StreamMeter::new(admitted);
        loop {
            let part = tokio::select! {
                biased;
                part = response.next() => part,
                decision = admitted.decisions.recv() => match decision {
                    Some(Decision::Preempt) => {
                        return self.stop(response, request, admitted).await;
                    }
                    Some(Decision::Refuse(refusal)) => return AttemptEnd::Refused(refusal),
                    Some(Decision::Start) | None => continue,
                },
            };
            match part {
                Some(Ok(part)) => {
                    let tokens = self.joiner.take(&part);
                    meter.note_tokens(tokens);
                }
                Some(Err(e)) => return AttemptEnd::Broke(e.to_string()),
                None => break,
            }
        }
        match self.joiner.whole() {
            Some(answer) => whole_answer(200, &answer),
            None => AttemptEnd::Broke("the stream ended early".to_owned()),
        }
    }

    /// Stops the run on the engine, and takes what it sent before it stopped.
    async fn stop(
        &mut self,
        mut response: EndpointResponse,
        request: &str,
        admitted: &Admitted,
    ) -> AttemptEnd {
        self.resume = admitted.shared.endpoint().cancel(request).await;
        if self.resume.is_none() {
            admitted.shared.metrics.count("side.resume_missing");
        }
        while let Some(Ok(part)) = response.next().await {
            self.joiner.take(&part);
        }
        if let Some(answer) = self.joiner.whole() {
            return whole_answer(200, &answer);
        }
        self.joiner.cut();
        AttemptEnd::Preempted
    }
}

async fn read_whole(mut response: EndpointResponse, status: u16) -> AttemptEnd {
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => AttemptEnd::Answered(ItemAnswer { status, body }),
        Err(e) => AttemptEnd::Broke(e.to_string()),
    }
}

fn whole_answer(status: u16, answer: &Value) -> AttemptEnd {
    let body = Bytes::from(answer.to_string());
    AttemptEnd::Answered(ItemAnswer { status, body })
}

/// Asks the engine for a stream, from which progress can be seen and which can be resumed.
fn streaming_body(body: &Bytes) -> Bytes {
    let Ok(mut value) = serde_json::from_slice::<Value>(body) else { return body.clone() };
    value["stream"] = json!(true);
    value["stream_options"] = json!({"include_usage": true});
    Bytes::from(value.to_string())
}
