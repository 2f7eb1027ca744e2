//! Pulls batch items from job owners and runs them in the capacity that online requests don't use.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
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
use mulberry_protocol::link::ItemResponse;
use mulberry_protocol::link::OWNER_LINK_SILENCE_LIMIT_MS;
use mulberry_protocol::link::ToOwner;
use mulberry_protocol::link::Urgency;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::control::Decision;
use crate::control::PullEnded;
use crate::control::PullRequest;
use crate::endpoint::EndpointResponse;
use crate::online::RequestGuard;
use crate::online::StreamMeter;
use crate::online::offer;
use crate::online::refusal_for_status;
use crate::online::report_broken_response;
use crate::process::Shared;
use crate::sse::ResponseAssembler;

/// Largest response to a batch item that isn't streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Queue of the messages to one job owner.
struct OwnerLink {
    address: SocketAddr,
    tx: mpsc::UnboundedSender<ToOwner>,
}

/// Sends the pulls that the control thread asks for until the process stops. Opens a link to an
/// owner if there is none to its current address.
pub(crate) async fn pull_items(mut pull_rx: mpsc::UnboundedReceiver<PullRequest>, shared: Shared) {
    let mut owners: IndexMap<EntryName, OwnerLink> = IndexMap::new();
    while let Some(request) = pull_rx.recv().await {
        let entry = request.entry.clone();
        let usable = owners
            .get(&entry)
            .is_some_and(|o| o.address == request.owner_link && !o.tx.is_closed());
        if !usable {
            let (tx, rx) = mpsc::unbounded_channel();
            let address = request.owner_link;
            actix_rt::spawn(run_owner_link(
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
            models: request.models,
            room: request.max_items,
        };
        let sent = owners.get(&entry).is_some_and(|o| o.tx.send(pull).is_ok());
        if !sent {
            shared.control.do_send(PullEnded { entry, items: 0 });
        }
    }
}

/// Runs one link to a job owner. When it ends, the items pulled through it are stopped, since the
/// owner hands them to other sides.
async fn run_owner_link(
    entry: EntryName,
    address: SocketAddr,
    rx: mpsc::UnboundedReceiver<ToOwner>,
    tx: mpsc::WeakUnboundedSender<ToOwner>,
    shared: Shared,
) {
    let ended = match LinkConnection::connect(address, &shared.secrets).await {
        Ok(connection) => {
            let (writer, reader) = connection.split();
            let stop_signals = Rc::new(JobStopSignals::default());
            let heard = Notify::new();
            let ended = tokio::select! {
                ended = send_to_owner(writer, rx, &heard) => ended,
                ended = receive_from_owner(reader, &entry, &tx, &heard, &stop_signals, &shared) => ended,
            };
            stop_signals.stop_all();
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

/// Sends the messages to an owner, and a sign of life for each that was heard from it.
async fn send_to_owner(
    mut writer: LinkWriter,
    mut rx: mpsc::UnboundedReceiver<ToOwner>,
    heard: &Notify,
) -> Result<(), LinkError> {
    loop {
        tokio::select! {
            message = rx.recv() => match message {
                Some(message) => writer.send(&message).await?,
                None => return Ok(()),
            },
            () = heard.notified() => writer.send_alive().await?,
        }
    }
}

async fn receive_from_owner(
    mut reader: LinkReader,
    entry: &EntryName,
    tx: &mpsc::WeakUnboundedSender<ToOwner>,
    heard: &Notify,
    stop_signals: &Rc<JobStopSignals>,
    shared: &Shared,
) -> Result<(), LinkError> {
    let limit = Duration::from_millis(OWNER_LINK_SILENCE_LIMIT_MS);
    loop {
        match reader.receive_while_alive(limit, || heard.notify_one()).await? {
            FromOwner::Items(items) => {
                let count = items.len();
                for item in items {
                    let Some(tx) = tx.upgrade() else { return Ok(()) };
                    actix_rt::spawn(run_and_report(item, tx, stop_signals.clone(), shared.clone()));
                }
                // The new tasks offer their items first, so that the next pull asks for no more
                // than the capacity then left.
                tokio::task::yield_now().await;
                shared.control.do_send(PullEnded { entry: entry.clone(), items: count });
            }
            FromOwner::Stop { jobs } => stop_signals.stop_jobs(&jobs),
            FromOwner::Bundle { .. } | FromOwner::BundleDelta { .. } | FromOwner::NoBundle => {}
        }
    }
}

/// Stop signals of the running items, one per job.
#[derive(Default)]
struct JobStopSignals {
    jobs: RefCell<IndexMap<JobId, watch::Sender<bool>>>,
}

impl JobStopSignals {
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

/// Runs one item and reports its outcome to the owner.
async fn run_and_report(
    item: BatchItem,
    tx: mpsc::UnboundedSender<ToOwner>,
    stop_signals: Rc<JobStopSignals>,
    shared: Shared,
) {
    let mut stop = stop_signals.subscribe(&item.job);
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
    // If the link to the owner has ended, the item is handed out again.
    let report = ToOwner::Done { job: item.job, index: item.index, result, suspects };
    let _link_ended = tx.send(report);
}

/// Runs one item until it is answered, refused or fails, with a new attempt after each preemption.
async fn run_item(
    item: &BatchItem,
    suspects: &mut Vec<Suspect>,
    shared: &Shared,
) -> Result<ItemResponse, Refusal> {
    let owner = Some((item.shard, item.owner_number));
    let mut guard = offer(&item.dispatch, Urgency::Batch, owner, shared).await?;
    let mut run = ItemRun::new(item);
    loop {
        match guard.decisions.recv().await {
            Some(Decision::Start) => {}
            Some(Decision::Refuse(refusal)) => return Err(run.with_run_state(refusal)),
            Some(Decision::Preempt) => continue,
            None => {
                let refusal = Refusal::not_run(RefusalReason::Leaving, "the side is stopping");
                return Err(run.with_run_state(refusal));
            }
        }
        match run.attempt(&mut guard).await {
            AttemptOutcome::Completed(response) => {
                guard.completed = true;
                return Ok(response);
            }
            AttemptOutcome::Preempted => {
                let progress = crate::control::Progress::Stopped { id: guard.id };
                shared.control.do_send(progress);
            }
            AttemptOutcome::Refused(refusal) => return Err(run.with_run_state(refusal)),
            AttemptOutcome::Broken(detail) => {
                *suspects = report_broken_response(&guard, item.dispatch.fingerprint).await;
                return Err(Refusal::ran(RefusalReason::EngineFailed, detail));
            }
        }
    }
}

/// Outcome of one attempt to run an item on the endpoint.
enum AttemptOutcome {
    Completed(ItemResponse),
    /// The item was stopped to make room for online requests.
    Preempted,
    Refused(Refusal),
    /// The endpoint failed before the response was complete, with the given detail.
    Broken(String),
}

/// State of one item across its attempts.
struct ItemRun<'a> {
    item: &'a BatchItem,
    body: Bytes,
    assembler: ResponseAssembler,
    /// Handle with which the engine continues the preempted attempt.
    resume_handle: Option<String>,
    attempts: u32,
}

impl<'a> ItemRun<'a> {
    fn new(item: &'a BatchItem) -> Self {
        let body = if item.dispatch.model.is_some() {
            streaming_body(&item.dispatch.body)
        } else {
            item.dispatch.body.clone()
        };
        Self {
            item,
            body,
            assembler: ResponseAssembler::default(),
            resume_handle: None,
            attempts: 0,
        }
    }

    /// Marks the refusal of a non-idempotent item as having run if an attempt was made, since the
    /// refusal itself may only say that the last attempt did not run.
    fn with_run_state(&self, mut refusal: Refusal) -> Refusal {
        let idempotent = self.item.dispatch.idempotent;
        if self.attempts > 0 && !idempotent {
            refusal.run = mulberry_protocol::refusal::RunState::Ran;
        }
        refusal
    }

    async fn attempt(&mut self, guard: &mut RequestGuard) -> AttemptOutcome {
        let dispatch = &self.item.dispatch;
        let endpoint = guard.shared.endpoint();
        self.attempts += 1;
        let request = format!("{:016x}-{}", dispatch.attempt, self.attempts);
        let resume_handle = self.resume_handle.take();
        let resume = resume_handle.as_deref().map(|handle| (handle, self.assembler.tokens()));
        let sent = endpoint.send(dispatch, &request, self.body.clone(), resume).await;
        let response = match sent {
            Ok(response) => response,
            Err(e) => return AttemptOutcome::Broken(e.to_string()),
        };
        let status = response.status().as_u16();
        if let Some(refusal) = refusal_for_status(dispatch, status) {
            return AttemptOutcome::Refused(refusal);
        }
        let resumed = response.headers().get("x-resumed").is_some_and(|v| v.as_bytes() == b"yes");
        if !resumed {
            // The engine no longer holds the state of the preempted attempt, so it generates the
            // response from its first token again.
            self.assembler.reset();
        }
        if dispatch.model.is_some() && status == 200 {
            self.read_stream(response, &request, guard).await
        } else {
            read_body(response, status).await
        }
    }

    async fn read_stream(
        &mut self,
        mut response: EndpointResponse,
        request: &str,
        guard: &mut RequestGuard,
    ) -> AttemptOutcome {
        let mut meter = StreamMeter::new(guard);
        loop {
            let part = tokio::select! {
                biased;
                part = response.next() => part,
                decision = guard.decisions.recv() => match decision {
                    Some(Decision::Preempt) => {
                        return self.preempt(response, request, guard).await;
                    }
                    Some(Decision::Refuse(refusal)) => return AttemptOutcome::Refused(refusal),
                    Some(Decision::Start) | None => continue,
                },
            };
            match part {
                Some(Ok(part)) => {
                    let tokens = self.assembler.push(&part);
                    meter.record_tokens(tokens);
                }
                Some(Err(e)) => return AttemptOutcome::Broken(e.to_string()),
                None => break,
            }
        }
        match self.assembler.assemble() {
            Some(assembled) => completed(200, &assembled),
            None => AttemptOutcome::Broken("the stream ended early".to_owned()),
        }
    }

    /// Cancels the attempt on the engine and reads what the engine sent before it stopped. The
    /// response may have been completed meanwhile.
    async fn preempt(
        &mut self,
        mut response: EndpointResponse,
        request: &str,
        guard: &RequestGuard,
    ) -> AttemptOutcome {
        self.resume_handle = guard.shared.endpoint().cancel(request).await;
        if self.resume_handle.is_none() {
            guard.shared.metrics.count("side.resume_missing");
        }
        while let Some(Ok(part)) = response.next().await {
            self.assembler.push(&part);
        }
        if let Some(assembled) = self.assembler.assemble() {
            return completed(200, &assembled);
        }
        self.assembler.discard_partial_event();
        AttemptOutcome::Preempted
    }
}

/// Reads a response that isn't streamed.
async fn read_body(response: EndpointResponse, status: u16) -> AttemptOutcome {
    match response.read(MAX_RESPONSE_BYTES).await {
        Ok(body) => AttemptOutcome::Completed(ItemResponse { status, body }),
        Err(e) => AttemptOutcome::Broken(e.to_string()),
    }
}

/// Returns the outcome of an attempt whose response was assembled from a stream.
fn completed(status: u16, assembled: &Value) -> AttemptOutcome {
    let body = Bytes::from(assembled.to_string());
    AttemptOutcome::Completed(ItemResponse { status, body })
}

/// Returns a request body that asks the engine for a stream, so that progress can be measured and a
/// preempted response resumed. A body that isn't JSON is returned as it is.
fn streaming_body(body: &Bytes) -> Bytes {
    let Ok(mut value) = serde_json::from_slice::<Value>(body) else { return body.clone() };
    value["stream"] = json!(true);
    value["stream_options"] = json!({"include_usage": true});
    Bytes::from(value.to_string())
}
