//! Runs one batch item at one endpoint and collects its output.

use std::cell::Cell;
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

use mulberry_policy::endpoint_continuity::certain_in_ms;
use mulberry_policy::event_sequence::BlockForm;
use mulberry_policy::event_sequence::is_continuation;
use mulberry_policy::item_state::ItemState;
use mulberry_policy::item_state::Progress;
use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::run_outcome::RunOutcome;
use mulberry_policy::stream_end::StreamEnd;
use mulberry_policy::stream_end::StreamEnding;
use mulberry_policy::stream_end::StreamPosition;
use mulberry_policy::stream_end::StreamVerdict;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::MAX_SEGMENT_BYTES;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::time::Millis;

use crate::accounts::set_account;
use crate::connection::BreakCause;
use crate::exchange::EndpointRequest;
use crate::exchange::ExchangeError;
use crate::exchange::exchange;
use crate::fingerprint::fingerprint_text;
use crate::origins::make_certain;
use crate::origins::origin_of;
use crate::owner::ItemKey;
use crate::owner::Owner;
use crate::sse::SseParser;

/// Time without data from the endpoint after which a run is given up.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Most bytes of an item's output. A result must fit into a page of results.
const MAX_ITEM_OUTPUT_BYTES: usize = MAX_SEGMENT_BYTES;

/// Parameters of one run of an item.
pub(crate) struct RunSpec {
    pub(crate) key: ItemKey,
    pub(crate) item: Arc<JobItem>,
    pub(crate) fingerprint: u64,
    pub(crate) host: Arc<str>,
    pub(crate) account: Option<ClientName>,
    pub(crate) endpoint: EndpointRecord,
    pub(crate) last_event: Option<u64>,
    /// Number of failed runs after which the item is given up.
    pub(crate) max_failed: u32,
    pub(crate) generation: u64,
    /// Since when the connection had been held on which the endpoint answered; `None` before it did.
    pub(crate) held_since: Cell<Option<Millis>>,
}

/// Runs an item and records how the run ended.
pub(crate) async fn run_item(owner: Rc<Owner>, spec: RunSpec) {
    let started = owner.now();
    let events_before = count_events(&owner, &spec);
    let load = owner.shared.begin_load(spec.endpoint.load_key(), LoadClass::Batch);
    let mut broke = None;
    let (outcome, detail) = match stream_output(&owner, &spec).await {
        Ok(outcome) => (outcome, String::new()),
        Err(ExchangeError::Broken { cause, detail }) => {
            owner.shared.metrics.count_reason("direct.endpoint_failures", cause.as_str());
            broke = Some(cause);
            (RunOutcome::Broken, detail)
        }
        Err(e @ (ExchangeError::NotRun { .. } | ExchangeError::NotSent { .. })) => {
            match e {
                ExchangeError::NotRun { notice, .. } => {
                    owner.shared.record_notice(&spec.endpoint, notice);
                }
                _ => {
                    let mut state = owner.state.borrow_mut();
                    state.record_unreached(spec.endpoint.load_key(), owner.now());
                }
            }
            (RunOutcome::NotRun, e.to_string())
        }
    };
    drop(load);
    match outcome {
        RunOutcome::Broken => {
            owner.shared.metrics.count("direct.items_broken");
            let ejected = owner.shared.record_endpoint_failure(&spec.endpoint.name);
            if let Some(ejection_ms) = ejected {
                owner.pool.clear(spec.endpoint.address);
                log_event!(warn, Event::EndpointEjected, endpoint = %spec.endpoint.name,
                    span_ms = ejection_ms,
                    cause = "item");
            }
        }
        _ => owner.shared.record_endpoint_success(&spec.endpoint.name),
    }
    let progressed = count_events(&owner, &spec) > events_before;
    if outcome == RunOutcome::Broken && progressed {
        settle_origin(&owner, &spec).await;
    }
    if matches!(outcome, RunOutcome::Completed | RunOutcome::Impossible | RunOutcome::Failed) {
        owner.shared.record_run_completed(spec.fingerprint, &spec.endpoint, started);
    }
    if !owner.is_current(spec.generation) {
        return;
    }
    let events = count_events(&owner, &spec);
    let now = owner.now();
    let mut state = owner.state.borrow_mut();
    state.runs.swap_remove(&spec.key);
    if outcome == RunOutcome::Broken && !progressed {
        // What the endpoint had read of the prompt is hardly there any more.
        state.last_endpoints.swap_remove(&spec.key);
    }
    if outcome == RunOutcome::Completed && events_before == 0 {
        state.item_times.record(events, now.since(started));
    }
    let Some(log) = state.jobs.get_mut(&spec.key.0) else { return };
    let decision = log.record_run_outcome(spec.key.1, outcome, progressed, spec.max_failed, now);
    drop(state);
    log_event!(info, Event::ItemRunEnded, job = %spec.key.0, item = &*spec.item.id,
        endpoint = %spec.endpoint.name, service = %spec.endpoint.service,
        software = %spec.endpoint.software, end = ?outcome, verdict = ?decision, events, events_before,
        fingerprint = fingerprint_text(spec.fingerprint), broke = broke.map_or("", BreakCause::as_str),
        span_ms = now.since(started), detail);
    owner.work.notify_one();
}

pub(crate) fn count_events(owner: &Owner, spec: &RunSpec) -> u32 {
    let state = owner.state.borrow();
    let item = state.jobs.get(&spec.key.0).and_then(|log| log.items().get(spec.key.1));
    item.map_or(0, |i| i.progress.events)
}

fn discard_progress(owner: &Owner, spec: &RunSpec) {
    let mut state = owner.state.borrow_mut();
    let log = state.jobs.get_mut(&spec.key.0);
    if let Some(item) = log.and_then(|log| log.item_mut(spec.key.1)) {
        item.progress.discard();
    }
}

async fn stream_output(owner: &Owner, spec: &RunSpec) -> Result<RunOutcome, ExchangeError> {
    let events_before = count_events(owner, spec);
    let mut request = item_request(owner, spec)?;
    if spec.last_event.is_some() {
        let certain = make_certain(&owner.shared, &owner.pool, &spec.endpoint).await;
        let held_ms = certain.map_err(|e| ExchangeError::NotSent { detail: e.detail })?;
        request.min_held_ms = Some(held_ms);
    }
    if !owner.shared.may_send_item(&spec.endpoint).await {
        let detail = "the endpoint has had what its limit allows".to_owned();
        return Err(ExchangeError::NotSent { detail });
    }
    let sending = exchange(&owner.pool, owner.shared.dialect.headers(), request);
    let mut response = with_read_timeout(sending).await?;
    owner.shared.record_notice(&spec.endpoint, response.notice);
    match response.status.as_u16() {
        status if is_continuation(status, response.is_event_stream()) => {}
        422 => return Ok(RunOutcome::Impossible),
        500 => return Ok(RunOutcome::Failed),
        status => {
            return Err(ExchangeError::invalid(format!("unexpected status {status}")));
        }
    }
    spec.held_since.set(Some(owner.now() - response.held_ms));
    let mut is_certain = false;
    let mut parser = SseParser::default();
    let mut end = StreamEnd::default();
    while let Some(chunk) = with_read_timeout(response.next_chunk()).await? {
        end.push(&chunk);
        if end.is_overlong() {
            return Err(ExchangeError::invalid("an event does not end"));
        }
        let events = parser.push(&chunk);
        is_certain = is_certain || is_origin_certain(owner, spec);
        let mut state = owner.state.borrow_mut();
        let log = state.jobs.get_mut(&spec.key.0);
        let Some(item) = log.and_then(|l| l.item_mut(spec.key.1)) else {
            return Ok(RunOutcome::Stopped);
        };
        for event in events {
            append_event(&mut item.progress, &event)?;
        }
        if item.progress.text.len() > MAX_ITEM_OUTPUT_BYTES {
            item.progress.discard();
            return Err(ExchangeError::invalid("the output does not end"));
        }
        item.progress.updated_at = owner.now();
        if item.progress.origin.is_none() && is_certain {
            item.progress.origin = Some(origin_of(&spec.endpoint));
        }
    }
    let ending = StreamEnding {
        framing: response.framing,
        position: end.position(),
        is_continued: spec.last_event.is_some(),
        is_event_owed: false,
    };
    let has_ended = end.position() != StreamPosition::WithinEvent;
    if has_ended && count_events(owner, spec) == events_before {
        // Whether nothing is left behind the last event, nobody knows: the item begins anew.
        discard_progress(owner, spec);
        return Err(ExchangeError::invalid("the response has no event that is new"));
    }
    match owner.shared.judge_ending(ending, &spec.endpoint).await {
        StreamVerdict::Whole => Ok(RunOutcome::Completed),
        StreamVerdict::BrokenOff => Err(ExchangeError::broken_off(end.position())),
    }
}

/// Returns whether it is certain that the item's endpoint is the registered one.
fn is_origin_certain(owner: &Owner, spec: &RunSpec) -> bool {
    let Some(held_since) = spec.held_since.get() else { return false };
    let held_ms = owner.now().since(held_since);
    owner.shared.certain_in(held_ms) == 0 && owner.shared.is_current_record(&spec.endpoint)
}

/// Waits until it is certain which version wrote the output of a run that broke, so that the item can
/// go on behind it.
async fn settle_origin(owner: &Owner, spec: &RunSpec) {
    let has_origin = |item: &ItemState| item.progress.origin.is_some();
    let is_settled = {
        let state = owner.state.borrow();
        let item = state.jobs.get(&spec.key.0).and_then(|log| log.items().get(spec.key.1));
        item.is_none_or(has_origin)
    };
    if is_settled {
        return;
    }
    if let Some(held_since) = spec.held_since.get() {
        let held_ms = owner.now().since(held_since);
        let wait_ms = certain_in_ms(held_ms, 0);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let _in_time = owner.shared.confirm_endpoints(owner.now()).await;
    }
    if !owner.is_current(spec.generation) || !is_origin_certain(owner, spec) {
        return;
    }
    let mut state = owner.state.borrow_mut();
    let log = state.jobs.get_mut(&spec.key.0);
    if let Some(item) = log.and_then(|log| log.item_mut(spec.key.1)) {
        item.progress.origin = Some(origin_of(&spec.endpoint));
    }
}

fn append_event(
    progress: &mut Progress,
    event: &crate::sse::SseEvent,
) -> Result<(), ExchangeError> {
    let number = match (event.form, event.number) {
        (BlockForm::Comment, _) => return Ok(()),
        (BlockForm::Malformed, _) => return Err(ExchangeError::invalid("a block is no event")),
        (BlockForm::Event, None) => {
            return Err(ExchangeError::invalid("an event has no numeric ID"));
        }
        (BlockForm::Event, Some(number)) => number,
    };
    if number > progress.last_event.unwrap_or(0) + 1 {
        return Err(ExchangeError::invalid(format!("events before {number} are missing")));
    }
    progress.push(number, &event.data);
    Ok(())
}

async fn with_read_timeout<T>(
    work: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let timed_out = || ExchangeError::Broken {
        cause: BreakCause::Silent,
        detail: format!("no data from the endpoint for {} ms", READ_TIMEOUT.as_millis()),
    };
    tokio::time::timeout(READ_TIMEOUT, work).await.unwrap_or_else(|_| Err(timed_out()))
}

fn item_request(owner: &Owner, spec: &RunSpec) -> Result<EndpointRequest, ExchangeError> {
    let unusable = |detail: String| ExchangeError::NotSent { detail };
    let names = owner.shared.dialect.headers();
    let value = |text: &str| HeaderValue::from_str(text).map_err(|e| unusable(e.to_string()));
    let mut headers = HeaderMap::new();
    for (name, text) in &spec.item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|e| unusable(e.to_string()))?;
        headers.append(name, value(text)?);
    }
    let configuration = owner.shared.configuration.load();
    let has_accounts = configuration.as_ref().is_some_and(|c| c.accounts.is_some());
    if has_accounts || spec.account.is_some() {
        set_account(&mut headers, names, spec.account.as_ref())
            .map_err(|refusal| unusable(refusal.detail))?;
    }
    let request_id = value(&spec.item.id)?;
    headers.insert(HOST, value(&spec.host)?);
    headers.insert(names.request_id.clone(), request_id.clone());
    headers.insert(names.expected_endpoint.clone(), value(spec.endpoint.name.as_str())?);
    if let Some(number) = spec.last_event {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(number));
    }
    let body = BASE64_STANDARD.decode(spec.item.body.as_bytes());
    let body = Bytes::from(body.map_err(|e| unusable(e.to_string()))?);
    let builder = Request::builder().method(Method::POST).uri(&*spec.item.path);
    let mut req = builder.body(Full::new(body)).map_err(|e| unusable(e.to_string()))?;
    *req.headers_mut() = headers;
    Ok(EndpointRequest { address: spec.endpoint.address, req, request_id, min_held_ms: None })
}
