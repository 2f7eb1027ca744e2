//! Runs the model on the machine's clock and hands tokens to the requests' streams.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::model::EngineRequest;
use super::model::EngineSimulation;
use super::model::TokenOut;
use super::record::RunOutcome;
use super::record::RunRecord;
use super::settings::EngineFaults;
use super::settings::EngineSettings;
use super::text::answer_tokens;
use super::text::estimate_tokens;
use super::text::prompt_text;

/// Tokens of an answer if the request gives no limit.
const DEFAULT_MAX_TOKENS: u64 = 64;

/// Cache events that can be read back.
const KEPT_CACHE_EVENTS: usize = 1_000;

/// What a request's stream receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamEvent {
    Token { index: u32, last: bool },
    Cancelled,
    Crashed,
}

/// A request that was taken.
pub(super) struct Ticket {
    pub id: u64,
    pub prompt_hash: u64,
    pub prompt_tokens: u32,
    pub answer_tokens: u32,
    pub limited: bool,
    /// Whether it goes on from a stopped run.
    pub resumed: bool,
    pub events: mpsc::UnboundedReceiver<StreamEvent>,
}

#[derive(Debug, Clone)]
pub(super) struct LoadedModel {
    pub version: String,
    pub ready_at: Instant,
    /// Version that serves until this one is ready.
    pub before: Option<String>,
}

impl LoadedModel {
    /// Returns the version that serves now, if any does.
    pub fn serving(&self) -> Option<&String> {
        if self.ready_at <= Instant::now() { Some(&self.version) } else { self.before.as_ref() }
    }
}

pub(super) struct Stream {
    tx: mpsc::UnboundedSender<StreamEvent>,
    record: usize,
}

pub(super) struct EngineState {
    pub model: EngineSimulation,
    pub settings: EngineSettings,
    pub faults: EngineFaults,
    pub models: IndexMap<String, LoadedModel>,
    pub highest_fence: u64,
    pub refused_orders: u64,
    pub orders: Vec<u64>,
    pub crash_prompts: Vec<(u64, u64)>,
    pub crash_times_ms: Vec<u64>,
    pub down_until: Option<Instant>,
    pub crashes: u64,
    pub reports: VecDeque<(Instant, usize, usize)>,
    pub cache_events: VecDeque<(u64, u64, Instant)>,
    records: Vec<RunRecord>,
    requests: IndexMap<String, u64>,
    streams: IndexMap<u64, Stream>,
    next_id: u64,
    next_cache_event: u64,
}

/// An engine that can be shared among threads.
#[derive(Clone)]
pub struct SharedEngine {
    state: Arc<Mutex<EngineState>>,
    work: Arc<Notify>,
}

impl SharedEngine {
    /// Makes an engine and starts its steps on the calling thread's runtime.
    pub fn start(settings: EngineSettings, models: &[(&str, &str)]) -> Self {
        let ready_at = Instant::now();
        let models = models.iter().map(|(name, version)| {
            let version = (*version).to_owned();
            let loaded = LoadedModel { version, ready_at, before: None };
            ((*name).to_owned(), loaded)
        });
        let state = EngineState {
            model: EngineSimulation::new(settings.clone()),
            settings,
            faults: EngineFaults::default(),
            models: models.collect(),
            highest_fence: 0,
            refused_orders: 0,
            orders: Vec::new(),
            crash_prompts: Vec::new(),
            crash_times_ms: Vec::new(),
            down_until: None,
            crashes: 0,
            reports: VecDeque::new(),
            cache_events: VecDeque::new(),
            records: Vec::new(),
            requests: IndexMap::new(),
            streams: IndexMap::new(),
            next_id: 0,
            next_cache_event: 0,
        };
        let host = Self { state: Arc::new(Mutex::new(state)), work: Arc::new(Notify::new()) };
        actix_rt::spawn(run_steps(host.clone()));
        host
    }

    /// Returns the record of every run.
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().records.clone()
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Returns the models that are ready with their versions.
    pub fn ready_models(&self) -> Vec<(String, String)> {
        let state = self.lock();
        let models = state.models.iter();
        models.filter_map(|(name, m)| Some((name.clone(), m.serving()?.clone()))).collect()
    }

    /// Returns the hashes of the prompts that crashed the engine, with the time in milliseconds since
    /// the Unix epoch.
    pub fn crash_prompts(&self) -> Vec<(u64, u64)> {
        self.lock().crash_prompts.clone()
    }

    /// Returns when the engine crashed, in milliseconds since the Unix epoch.
    pub fn crash_times_ms(&self) -> Vec<u64> {
        self.lock().crash_times_ms.clone()
    }

    /// Returns the fencing numbers of the orders carried out, in order.
    pub fn order_fences(&self) -> Vec<u64> {
        self.lock().orders.clone()
    }

    /// Returns the highest fencing number of any order carried out.
    pub fn highest_fence(&self) -> u64 {
        self.lock().highest_fence
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Crashes the engine: every stream breaks and it is away for its restart time.
    pub fn crash(&self) {
        crash(&mut self.lock());
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request, or none if the engine is away.
    ///
    /// A resume names the stopped request and the tokens that its caller has; those generated beyond
    /// them are sent again. If the state is gone, the answer starts anew.
    pub(super) fn submit(
        &self,
        request: &str,
        body: &Value,
        resume: Option<(&str, u32)>,
    ) -> Option<Ticket> {
        let mut state = self.lock();
        if state.is_down() {
            return None;
        }
        let prompt = prompt_text(body);
        let prompt_hash = xxh3_64(prompt.as_bytes());
        let limit = body.get("max_tokens").or_else(|| body.get("max_completion_tokens"));
        let limit = limit.and_then(Value::as_u64).unwrap_or(DEFAULT_MAX_TOKENS) as u32;
        let answer = answer_tokens(&prompt, limit);
        let prompt_tokens = estimate_tokens(&prompt);
        state.next_id += 1;
        let id = state.next_id;
        let handle = resume.and_then(|(handle, _)| state.requests.get(handle).copied());
        let generated = handle.and_then(|h| state.model.resume(h, id));
        let resumed = generated.is_some();
        if !resumed {
            state.model.submit(EngineRequest::new(id, &prompt, prompt_tokens, answer));
        }
        let (tx, events) = mpsc::unbounded_channel();
        let held = resume.map_or(0, |(_, tokens)| tokens);
        for index in held..generated.unwrap_or(0) {
            // The receiver is in this function's hands.
            let _sent = tx.send(StreamEvent::Token { index, last: false });
        }
        let record = state.records.len();
        state.records.push(RunRecord {
            request: request.to_owned(),
            prompt_hash,
            resumed,
            computed_prompt_tokens: 0,
            tokens: 0,
            started_at_ms: unix_ms(),
            end: RunOutcome::Running,
        });
        state.streams.insert(id, Stream { tx, record });
        state.requests.insert(request.to_owned(), id);
        let marked = !state.faults.crash_on.is_empty() && prompt.contains(&state.faults.crash_on);
        if marked {
            state.crash_prompts.push((prompt_hash, unix_ms()));
            crash(&mut state);
        }
        drop(state);
        self.work.notify_one();
        let limited = answer == limit;
        Some(Ticket {
            id,
            prompt_hash,
            prompt_tokens,
            answer_tokens: answer,
            limited,
            resumed,
            events,
        })
    }

    /// Stops a request. Returns the tokens generated, or none if it does not run.
    pub(super) fn cancel(&self, request: &str) -> Option<u32> {
        let mut state = self.lock();
        let id = state.requests.get(request).copied()?;
        let tokens = state.model.cancel(id)?;
        state.end_stream(id, RunOutcome::Cancelled, StreamEvent::Cancelled);
        Some(tokens)
    }

    /// Stops a request whose caller went away.
    pub(super) fn abandon(&self, id: u64) {
        let mut state = self.lock();
        if state.model.cancel(id).is_some() {
            state.end_stream(id, RunOutcome::Cancelled, StreamEvent::Cancelled);
        }
    }
}

impl EngineState {
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| until > Instant::now())
    }

    fn end_stream(&mut self, id: u64, end: RunOutcome, event: StreamEvent) {
        let Some(stream) = self.streams.swap_remove(&id) else { return };
        self.records[stream.record].end = end;
        // The receiver is gone if the caller hung up.
        let _caller_gone = stream.tx.send(event);
    }

    fn deliver(&mut self, token: TokenOut) {
        let Some(stream) = self.streams.get(&token.id) else { return };
        let record = &mut self.records[stream.record];
        record.tokens += 1;
        let event = StreamEvent::Token { index: token.index, last: token.last };
        if token.last {
            self.end_stream(token.id, RunOutcome::Finished, event);
        } else {
            let _caller_gone = stream.tx.send(event);
        }
    }

    fn record_cached(&mut self, blocks: &[u64]) {
        let now = Instant::now();
        for &block in blocks {
            self.next_cache_event += 1;
            let number = self.next_cache_event;
            let lost = number.is_multiple_of(u64::from(self.settings.lose_cache_event_in.max(1)));
            if !lost {
                self.cache_events.push_back((number, block, now));
            }
        }
        let excess = self.cache_events.len().saturating_sub(KEPT_CACHE_EVENTS);
        self.cache_events.drain(..excess);
    }

    fn record_load(&mut self) {
        let (running, waiting) = self.model.load();
        let now = Instant::now();
        self.reports.push_back((now, running, waiting));
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        while self.reports.get(1).is_some_and(|(at, ..)| *at + lag <= now) {
            self.reports.pop_front();
        }
    }
}

fn crash(state: &mut EngineState) {
    state.crashes += 1;
    state.crash_times_ms.push(unix_ms());
    let away = Duration::from_millis(state.settings.restart_ms);
    state.down_until = Some(Instant::now() + away);
    for id in state.model.crash() {
        state.end_stream(id, RunOutcome::Crashed, StreamEvent::Crashed);
    }
    state.requests.clear();
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Steps while there is work. Sleeps to the end of each step on an absolute schedule, so that late
/// wake-ups don't add up.
async fn run_steps(host: SharedEngine) {
    let mut step_end = Instant::now();
    loop {
        let report = {
            let mut state = host.lock();
            if state.model.is_idle() { None } else { Some(state.model.step()) }
        };
        let Some(report) = report else {
            host.work.notified().await;
            step_end = Instant::now();
            continue;
        };
        let slow = u64::from(host.lock().faults.slow_percent);
        let factor = if slow == 0 { 100 } else { slow };
        step_end += Duration::from_micros(report.duration_us * factor / 100);
        tokio::time::sleep_until(step_end.into()).await;
        let mut state = host.lock();
        for (id, tokens) in &report.computed {
            if let Some(record) = state.streams.get(id).map(|s| s.record) {
                state.records[record].computed_prompt_tokens += tokens;
            }
        }
        for token in report.tokens {
            state.deliver(token);
        }
        state.record_cached(&report.cached);
        state.record_load();
    }
}
