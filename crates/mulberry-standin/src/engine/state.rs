//! Runs the simulated engine in real time and sends its tokens to the streams of the requests.

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

use super::record::RunOutcome;
use super::record::RunRecord;
use super::settings::EngineFaults;
use super::settings::EngineSettings;
use super::simulation::EngineRequest;
use super::simulation::EngineSimulation;
use super::simulation::GeneratedToken;
use super::text::answer_tokens;
use super::text::estimate_tokens;
use super::text::prompt_text;

/// Token limit of a request that sets none.
const DEFAULT_MAX_TOKENS: u64 = 64;

/// Number of cache events kept; older ones can't be read any more.
const KEPT_CACHE_EVENTS: usize = 1_000;

/// An event on the stream of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamEvent {
    Token {
        index: u32,
        last: bool,
    },
    /// The request was cancelled; its stream ends after all tokens generated.
    Cancelled,
    /// The engine crashed; the connection breaks.
    Crashed,
}

/// A request that the engine accepted, with the stream of its events.
pub(super) struct AcceptedRequest {
    pub id: u64,
    pub prompt_hash: u64,
    pub prompt_tokens: u32,
    pub answer_tokens: u32,
    /// Whether the answer is as long as the token limit.
    pub reaches_limit: bool,
    /// Whether the request continues a cancelled one.
    pub resumed: bool,
    pub events: mpsc::UnboundedReceiver<StreamEvent>,
}

/// A model that was ordered to be loaded.
#[derive(Debug, Clone)]
pub(super) struct LoadedModel {
    pub version: String,
    /// When the load ends.
    pub ready_at: Instant,
    /// Version that serves until this one is ready.
    pub previous_version: Option<String>,
}

impl LoadedModel {
    /// Returns the version that serves requests now, if any.
    pub fn serving_version(&self) -> Option<&String> {
        if self.ready_at <= Instant::now() {
            Some(&self.version)
        } else {
            self.previous_version.as_ref()
        }
    }
}

/// Sending end of an open stream.
pub(super) struct OpenStream {
    tx: mpsc::UnboundedSender<StreamEvent>,
    /// Index of the run in the records.
    record: usize,
}

pub(super) struct EngineState {
    pub simulation: EngineSimulation,
    pub settings: EngineSettings,
    pub faults: EngineFaults,
    pub models: IndexMap<String, LoadedModel>,
    /// Highest fencing number of any order carried out.
    pub highest_fence: u64,
    /// Number of orders with a fencing number lower than the highest, carried out or not.
    pub stale_orders: u64,
    /// Fencing numbers of the orders carried out, in order.
    pub order_fences: Vec<u64>,
    /// Hashes of the prompts that crashed the engine, with the Unix time in milliseconds.
    pub crash_prompts: Vec<(u64, u64)>,
    pub crash_times_ms: Vec<u64>,
    pub down_until: Option<Instant>,
    pub crashes: u64,
    /// Time, running sequences and waiting sequences of each load report.
    pub load_reports: VecDeque<(Instant, usize, usize)>,
    /// Number, block hash and time of each cache event.
    pub cache_events: VecDeque<(u64, u64, Instant)>,
    records: Vec<RunRecord>,
    /// Identifier of the last run of each request, by the value of its `x-request-id` header.
    run_ids: IndexMap<String, u64>,
    /// Open streams by the identifier of the run.
    streams: IndexMap<u64, OpenStream>,
    next_id: u64,
    next_cache_event: u64,
}

/// State of an engine, shared by its server, its steps and the test that runs it.
#[derive(Clone)]
pub struct SharedEngine {
    state: Arc<Mutex<EngineState>>,
    /// Wakes the steps when a request arrives.
    work_available: Arc<Notify>,
}

impl SharedEngine {
    /// Creates an engine with models given as name and version, and starts its steps on the calling
    /// thread's runtime.
    pub fn start(settings: EngineSettings, models: &[(&str, &str)]) -> Self {
        let ready_at = Instant::now();
        let models = models.iter().map(|(name, version)| {
            let version = (*version).to_owned();
            let loaded = LoadedModel { version, ready_at, previous_version: None };
            ((*name).to_owned(), loaded)
        });
        let state = EngineState {
            simulation: EngineSimulation::new(settings.clone()),
            settings,
            faults: EngineFaults::default(),
            models: models.collect(),
            highest_fence: 0,
            stale_orders: 0,
            order_fences: Vec::new(),
            crash_prompts: Vec::new(),
            crash_times_ms: Vec::new(),
            down_until: None,
            crashes: 0,
            load_reports: VecDeque::new(),
            cache_events: VecDeque::new(),
            records: Vec::new(),
            run_ids: IndexMap::new(),
            streams: IndexMap::new(),
            next_id: 0,
            next_cache_event: 0,
        };
        let engine =
            Self { state: Arc::new(Mutex::new(state)), work_available: Arc::new(Notify::new()) };
        actix_rt::spawn(run_steps(engine.clone()));
        engine
    }

    /// Returns the record of every run, in the order of their start.
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().records.clone()
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Returns the name and version of every model that can serve requests now.
    pub fn ready_models(&self) -> Vec<(String, String)> {
        let state = self.lock();
        let models = state.models.iter();
        models.filter_map(|(name, m)| Some((name.clone(), m.serving_version()?.clone()))).collect()
    }

    /// Returns the hashes of the prompts that crashed the engine, with the time in milliseconds
    /// since the Unix epoch.
    pub fn crash_prompts(&self) -> Vec<(u64, u64)> {
        self.lock().crash_prompts.clone()
    }

    /// Returns when the engine crashed, in milliseconds since the Unix epoch.
    pub fn crash_times_ms(&self) -> Vec<u64> {
        self.lock().crash_times_ms.clone()
    }

    /// Returns the fencing numbers of the orders that the engine carried out, in that order.
    pub fn order_fences(&self) -> Vec<u64> {
        self.lock().order_fences.clone()
    }

    /// Returns the highest fencing number of any order that the engine carried out.
    pub fn highest_fence(&self) -> u64 {
        self.lock().highest_fence
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Crashes the engine: every stream breaks, the simulation's state is lost, and the engine is
    /// down for its restart time.
    pub fn crash(&self) {
        crash(&mut self.lock());
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts a request, or returns none if the engine is down.
    ///
    /// `resume` holds the identifier of a cancelled request and the number of tokens that its
    /// caller has received; tokens generated beyond those are sent again. If the cancelled
    /// request's state was dropped, the answer starts from its first token.
    pub(super) fn submit(
        &self,
        request: &str,
        body: &Value,
        resume: Option<(&str, u32)>,
    ) -> Option<AcceptedRequest> {
        let mut state = self.lock();
        if state.is_down() {
            return None;
        }
        let prompt = prompt_text(body);
        let prompt_hash = xxh3_64(prompt.as_bytes());
        let limit = body.get("max_tokens").or_else(|| body.get("max_completion_tokens"));
        let limit = limit.and_then(Value::as_u64).unwrap_or(DEFAULT_MAX_TOKENS) as u32;
        let answer_tokens = answer_tokens(&prompt, limit);
        let prompt_tokens = estimate_tokens(&prompt);
        state.next_id += 1;
        let id = state.next_id;
        let handle = resume.and_then(|(handle, _)| state.run_ids.get(handle).copied());
        let generated = handle.and_then(|h| state.simulation.resume(h, id));
        let resumed = generated.is_some();
        if !resumed {
            state.simulation.submit(EngineRequest::new(id, &prompt, prompt_tokens, answer_tokens));
        }
        let (tx, events) = mpsc::unbounded_channel();
        let received = resume.map_or(0, |(_, tokens)| tokens);
        for index in received..generated.unwrap_or(0) {
            // Can't fail: the receiver is still a local variable here.
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
        state.streams.insert(id, OpenStream { tx, record });
        state.run_ids.insert(request.to_owned(), id);
        let crashes = !state.faults.crash_on.is_empty() && prompt.contains(&state.faults.crash_on);
        if crashes {
            state.crash_prompts.push((prompt_hash, unix_ms()));
            crash(&mut state);
        }
        drop(state);
        self.work_available.notify_one();
        let reaches_limit = answer_tokens == limit;
        Some(AcceptedRequest {
            id,
            prompt_hash,
            prompt_tokens,
            answer_tokens,
            reaches_limit,
            resumed,
            events,
        })
    }

    /// Cancels a request by its identifier from the caller. Returns the number of tokens generated,
    /// or none if the request does not run.
    pub(super) fn cancel(&self, request: &str) -> Option<u32> {
        let mut state = self.lock();
        let id = state.run_ids.get(request).copied()?;
        let tokens = state.simulation.cancel(id)?;
        state.end_stream(id, RunOutcome::Cancelled, StreamEvent::Cancelled);
        Some(tokens)
    }

    /// Cancels a run whose caller closed the connection.
    pub(super) fn abandon(&self, id: u64) {
        let mut state = self.lock();
        if state.simulation.cancel(id).is_some() {
            state.end_stream(id, RunOutcome::Cancelled, StreamEvent::Cancelled);
        }
    }
}

impl EngineState {
    /// Returns whether the engine is down after a crash.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| until > Instant::now())
    }

    /// Sends the last event of a run's stream and records the outcome of the run.
    fn end_stream(&mut self, id: u64, outcome: RunOutcome, event: StreamEvent) {
        let Some(stream) = self.streams.swap_remove(&id) else { return };
        self.records[stream.record].end = outcome;
        // The receiver is dropped if the caller closed the connection.
        let _caller_disconnected = stream.tx.send(event);
    }

    /// Sends a generated token to its stream and counts it in the record of the run.
    fn send_token(&mut self, token: GeneratedToken) {
        let Some(stream) = self.streams.get(&token.id) else { return };
        let record = &mut self.records[stream.record];
        record.tokens += 1;
        let event = StreamEvent::Token { index: token.index, last: token.last };
        if token.last {
            self.end_stream(token.id, RunOutcome::Finished, event);
        } else {
            let _caller_disconnected = stream.tx.send(event);
        }
    }

    /// Records cache events for blocks that entered the prefix cache, and loses some as configured.
    fn record_cached_blocks(&mut self, blocks: &[u64]) {
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

    /// Records a load report, and drops those that a newer report past the lag supersedes.
    fn record_load(&mut self) {
        let (running, waiting) = self.simulation.load();
        let now = Instant::now();
        self.load_reports.push_back((now, running, waiting));
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        while self.load_reports.get(1).is_some_and(|(at, ..)| *at + lag <= now) {
            self.load_reports.pop_front();
        }
    }
}

/// Crashes the engine: breaks every stream and keeps the engine down for its restart time.
fn crash(state: &mut EngineState) {
    state.crashes += 1;
    state.crash_times_ms.push(unix_ms());
    let restart = Duration::from_millis(state.settings.restart_ms);
    state.down_until = Some(Instant::now() + restart);
    for id in state.simulation.crash() {
        state.end_stream(id, RunOutcome::Crashed, StreamEvent::Crashed);
    }
    state.run_ids.clear();
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Runs steps while there are requests, and waits for one otherwise. The end of each step is
/// computed from the end of the step before, not from the time of waking, so that late wake-ups
/// don't add up.
async fn run_steps(engine: SharedEngine) {
    let mut step_end = Instant::now();
    loop {
        let report = {
            let mut state = engine.lock();
            if state.simulation.is_idle() { None } else { Some(state.simulation.step()) }
        };
        let Some(report) = report else {
            engine.work_available.notified().await;
            step_end = Instant::now();
            continue;
        };
        let slow_percent = u64::from(engine.lock().faults.slow_percent);
        let duration_percent = if slow_percent == 0 { 100 } else { slow_percent };
        step_end += Duration::from_micros(report.duration_us * duration_percent / 100);
        tokio::time::sleep_until(step_end.into()).await;
        let mut state = engine.lock();
        for (id, tokens) in &report.computed {
            if let Some(record) = state.streams.get(id).map(|s| s.record) {
                state.records[record].computed_prompt_tokens += tokens;
            }
        }
        for token in report.tokens {
            state.send_token(token);
        }
        state.record_cached_blocks(&report.cached);
        state.record_load();
    }
}
