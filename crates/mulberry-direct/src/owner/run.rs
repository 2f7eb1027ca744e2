//! Runs one item at one endpoint and collects its output.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use mulberry_policy::job_log::Progress;
use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::run_outcome::RunOutcome;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::events::EventSplitter;
use crate::exchange::EndpointRequest;
use crate::exchange::ExchangeError;
use crate::exchange::exchange;
use crate::owner::ItemKey;
use crate::owner::Owner;

/// Longest silence of an endpoint before its run is given up.
const SILENCE: Duration = Duration::from_millis(2_500);

/// What a run needs.
pub(crate) struct RunPlan {
    pub(crate) key: ItemKey,
    pub(crate) item: Arc<JobItem>,
    pub(crate) host: Arc<str>,
    pub(crate) endpoint: EndpointRecord,
    pub(crate) last_event: Option<u64>,
    /// Runs that may fail before the item is given up.
    pub(crate) max_failed: u32,
    pub(crate) generation: u64,
}

/// Runs an item and notes how it ended.
pub(crate) async fn run_item(owner: Rc<Owner>, plan: RunPlan) {
    let started = owner.now();
    let events_before = events_of(&owner, &plan);
    let load = owner.fleet.begin_load(plan.endpoint.load_key(), LoadClass::Batch);
    let (end, detail) = match read_run(&owner, &plan).await {
        Ok(end) => (end, String::new()),
        Err(ExchangeError::Broken { detail }) => (RunOutcome::Broken, detail),
        Err(e @ (ExchangeError::NotRun { .. } | ExchangeError::NotSent { .. })) => {
            (RunOutcome::NotRun, e.to_string())
        }
    };
    drop(load);
    match end {
        RunOutcome::Broken => {
            owner.fleet.metrics.count("direct.items_broken");
            let ejected = owner.fleet.note_endpoint_failure(&plan.endpoint.name);
            if let Some(span_ms) = ejected {
                owner.pool.clear(plan.endpoint.address);
                log_event!(warn, Event::EndpointEjected, endpoint = %plan.endpoint.name, span_ms,
                    cause = "item");
            }
        }
        _ => owner.fleet.note_endpoint_success(&plan.endpoint.name),
    }
    if !owner.is_current(plan.generation) {
        return;
    }
    let events = events_of(&owner, &plan);
    let progressed = events > events_before;
    let now = owner.now();
    let mut state = owner.state.borrow_mut();
    state.runs.swap_remove(&plan.key);
    if end == RunOutcome::Completed && events_before == 0 {
        state.pace.learn(events, now.since(started));
    }
    let Some(log) = state.jobs.get_mut(&plan.key.0) else { return };
    let verdict = log.note_run_outcome(plan.key.1, end, progressed, plan.max_failed, now);
    drop(state);
    log_event!(info, Event::ItemRunEnded, job = %plan.key.0, item = &*plan.item.id,
        endpoint = %plan.endpoint.name, end = ?end, verdict = ?verdict, events, events_before,
        span_ms = now.since(started), detail);
    owner.work.notify_one();
}

fn events_of(owner: &Owner, plan: &RunPlan) -> u32 {
    let state = owner.state.borrow();
    let item = state.jobs.get(&plan.key.0).and_then(|log| log.items().get(plan.key.1));
    item.map_or(0, |i| i.progress.events)
}

async fn read_run(owner: &Owner, plan: &RunPlan) -> Result<RunOutcome, ExchangeError> {
    let request = item_request(owner, plan)?;
    let asking = exchange(&owner.pool, owner.fleet.dialect.headers(), request);
    let mut answer = within(asking).await?;
    match answer.status.as_u16() {
        200..=299 => {}
        422 => return Ok(RunOutcome::Impossible),
        500 => return Ok(RunOutcome::Failed),
        status => return Err(ExchangeError::Broken { detail: format!("status {status}") }),
    }
    let mut splitter = EventSplitter::default();
    while let Some(part) = within(answer.next_part()).await? {
        let events = splitter.push(&part);
        let mut state = owner.state.borrow_mut();
        let log = state.jobs.get_mut(&plan.key.0);
        let Some(item) = log.and_then(|l| l.item_mut(plan.key.1)) else {
            return Ok(RunOutcome::Stopped);
        };
        for event in events {
            push_event(&mut item.progress, &event)?;
        }
    }
    if splitter.has_rest() {
        return Err(ExchangeError::Broken {
            detail: "the stream ended within an event".to_owned(),
        });
    }
    Ok(RunOutcome::Completed)
}

fn push_event(
    progress: &mut Progress,
    event: &crate::events::StreamEvent,
) -> Result<(), ExchangeError> {
    let Some(number) = event.number else {
        return Err(ExchangeError::Broken { detail: "an event has no number".to_owned() });
    };
    if progress.last_event.is_some_and(|last| number > last + 1) {
        return Err(ExchangeError::Broken {
            detail: format!("events before {number} are missing"),
        });
    }
    progress.push(number, &event.data);
    Ok(())
}

async fn within<T>(
    work: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let silent = || ExchangeError::Broken { detail: "the endpoint fell silent".to_owned() };
    tokio::time::timeout(SILENCE, work).await.unwrap_or_else(|_| Err(silent()))
}

fn item_request(owner: &Owner, plan: &RunPlan) -> Result<EndpointRequest, ExchangeError> {
    let unusable = |detail: String| ExchangeError::NotSent { detail };
    let names = owner.fleet.dialect.headers();
    let value = |text: &str| HeaderValue::from_str(text).map_err(|e| unusable(e.to_string()));
    let mut headers = HeaderMap::new();
    for (name, text) in &plan.item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|e| unusable(e.to_string()))?;
        headers.append(name, value(text)?);
    }
    let request_id = value(&plan.item.id)?;
    headers.insert(HOST, value(&plan.host)?);
    headers.insert(names.request_id.clone(), request_id.clone());
    headers.insert(names.expected_endpoint.clone(), value(plan.endpoint.name.as_str())?);
    if let Some(number) = plan.last_event {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(number));
    }
    let body = BASE64_STANDARD.decode(plan.item.body.as_bytes());
    let body = Bytes::from(body.map_err(|e| unusable(e.to_string()))?);
    let builder = Request::builder().method(Method::POST).uri(&*plan.item.path);
    let mut req = builder.body(Full::new(body)).map_err(|e| unusable(e.to_string()))?;
    *req.headers_mut() = headers;
    Ok(EndpointRequest { address: plan.endpoint.address, req, request_id })
}
