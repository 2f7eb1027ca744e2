//! Client of the store that the rest of the system uses. It keeps all calls of a process within a
//! shared budget, and reads an object back when the response to a write was lost, so that callers
//! learn how the write ended.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use mulberry_policy::adaptive_timeout::AdaptiveTimeout;
use mulberry_policy::store_budget::CallClass;
use mulberry_policy::store_budget::CallPermit;
use mulberry_policy::store_budget::StoreBudget;
use mulberry_policy::store_budget::StoreRates;
use mulberry_process::clock::SharedClock;
use mulberry_process::metrics::Metrics;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::error::PlatformError;
use crate::object_api::ListPage;
use crate::object_api::ListQuery;
use crate::object_api::Object;
use crate::object_api::ObjectApi;
use crate::object_api::WatchBatch;
use crate::object_api::WriteCondition;
use crate::response::no_answer;

/// Timeout of the wait until the budget allows a call, in milliseconds. A call that would have to
/// wait longer fails with [`PlatformError::BudgetSpent`].
const BUDGET_TIMEOUT_MS: u64 = 1_000;

/// Most attempts to learn how a write without a response ended, with the fixed timeout.
const RESOLVE_ATTEMPTS: u32 = 3;

/// Most attempts with an adaptive timeout, where each wait for a response is short.
const ADAPTIVE_RESOLVE_ATTEMPTS: u32 = 6;

/// Shortest time that a watch may take beyond the wait it asks for, with an adaptive timeout, in
/// milliseconds.
const MIN_WATCH_MARGIN_MS: u64 = 250;

/// Objects in one page of a list without values.
const PAGE_OBJECTS: u32 = 1_000;

/// Objects in one page of a list with values, so that a page stays within a few megabytes.
const VALUE_PAGE_OBJECTS: u32 = 100;

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect, and the object has this version.
    Written(u64),
    /// The object is not, or no longer, as the write would have left it, and the write will not take effect
    /// any more. Holds the object as it is now, or none if it does not exist.
    Conflict(Option<Object>),
}

/// The budget of calls to the store that the threads of one process share, and whether the store is
/// failing.
#[derive(Clone)]
pub struct SharedBudget {
    budget: Arc<Mutex<StoreBudget>>,
    /// Timeout that follows the latency of responses; none where only the client's own one applies.
    adaptive_timeout: Option<Arc<Mutex<AdaptiveTimeout>>>,
    /// Number of times that the store responded again after failed calls.
    recoveries: Arc<AtomicU64>,
    clock: SharedClock,
    metrics: Metrics,
}

impl SharedBudget {
    /// Creates a full budget for a process with these rates.
    pub fn new(rates: StoreRates, clock: SharedClock, metrics: Metrics) -> Self {
        let budget = StoreBudget::new(rates, clock.now());
        Self::from_budget(budget, clock, metrics)
    }

    /// Makes a budget shareable among the threads of a process.
    pub fn from_budget(budget: StoreBudget, clock: SharedClock, metrics: Metrics) -> Self {
        Self {
            budget: Arc::new(Mutex::new(budget)),
            adaptive_timeout: None,
            recoveries: Arc::default(),
            clock,
            metrics,
        }
    }

    /// Times out reads and writes that take far longer than responses usually do, in addition to
    /// the client's fixed timeout.
    pub fn with_adaptive_timeout(mut self) -> Self {
        self.adaptive_timeout = Some(Arc::default());
        self
    }

    /// Returns whether the last call failed because the store was down or overloaded.
    pub fn is_failing(&self) -> bool {
        self.lock().is_failing()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the budget allows a call. Fails if that takes too long.
    async fn acquire(&self, class: CallClass, is_write: bool) -> Result<(), PlatformError> {
        let started = self.clock.now();
        loop {
            let now = self.clock.now();
            let permit = self.lock().try_acquire(class, is_write, now);
            let CallPermit::Wait(wait_ms) = permit else { return Ok(()) };
            if now.since(started) + wait_ms > BUDGET_TIMEOUT_MS {
                self.metrics.count_reason("store.budget_spent", class.as_str());
                return Err(PlatformError::BudgetSpent { retry_ms: wait_ms });
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    fn max_resolve_attempts(&self) -> u32 {
        if self.adaptive_timeout.is_some() { ADAPTIVE_RESOLVE_ATTEMPTS } else { RESOLVE_ATTEMPTS }
    }

    /// Waits for the response to a call, up to the adaptive timeout if there is one, and records
    /// how long the response took.
    async fn with_timeout<T>(
        &self,
        call: &'static str,
        response: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let Some(adaptive) = &self.adaptive_timeout else { return response.await };
        let lock = || adaptive.lock().unwrap_or_else(PoisonError::into_inner);
        let timeout_ms = lock().timeout_ms();
        let started = self.clock.now();
        match tokio::time::timeout(Duration::from_millis(timeout_ms), response).await {
            Ok(result) => {
                lock().record_response(self.clock.now().since(started));
                result
            }
            Err(_) => {
                lock().record_timeout();
                let detail = "no answer in time".to_owned();
                Err(PlatformError::NoAnswer { call, detail })
            }
        }
    }

    /// Waits for the response to a watch, which may take `wait_ms` longer than that to another call.
    async fn with_watch_timeout<T>(
        &self,
        wait_ms: u64,
        response: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let Some(adaptive) = &self.adaptive_timeout else { return response.await };
        let lock = || adaptive.lock().unwrap_or_else(PoisonError::into_inner);
        let margin_ms = lock().timeout_ms().max(MIN_WATCH_MARGIN_MS);
        let started = self.clock.now();
        let timeout = Duration::from_millis(wait_ms + margin_ms);
        match tokio::time::timeout(timeout, response).await {
            Ok(result) => {
                let elapsed_ms = self.clock.now().since(started);
                if elapsed_ms >= wait_ms {
                    lock().record_response(elapsed_ms - wait_ms);
                }
                result
            }
            Err(_) => {
                lock().record_timeout();
                let detail = "no answer in time".to_owned();
                Err(PlatformError::NoAnswer { call: "watch", detail })
            }
        }
    }

    /// Counts a call, updates the budget's backoff by its result, and logs when the store starts to
    /// fail and when it responds again.
    fn record_result<T>(&self, call: &'static str, key: &str, result: &Result<T, PlatformError>) {
        self.metrics.count_reason("store.calls", call);
        self.metrics.count_reason("store.calls_by_kind", &format!("{}-{call}", kind_of(key)));
        match result {
            Err(e) if e.is_outage() => {
                let now = self.clock.now();
                let mut budget = self.lock();
                if !budget.is_failing() {
                    log_event!(warn, Event::StoreLost, call, error = %e);
                }
                budget.record_failure(now, &mut rand::rng());
                drop(budget);
                self.metrics.count_reason("store.failures", call);
                log_event!(debug, Event::StoreFailed, error = %e);
            }
            _ => {
                if self.lock().record_response() {
                    self.recoveries.fetch_add(1, Ordering::Relaxed);
                    log_event!(info, Event::StoreRecovered);
                }
            }
        }
    }
}

/// Client of the store for one thread. Clones share its connections and the process's budget.
#[derive(Clone)]
pub struct Store {
    api: Rc<dyn ObjectApi>,
    budget: SharedBudget,
}

impl Store {
    /// Creates a client that makes its calls through `api` within `budget`.
    pub fn new(api: Rc<dyn ObjectApi>, budget: SharedBudget) -> Self {
        Self { api, budget }
    }

    /// Lets the next call go at once though an earlier one has failed, for a caller that paces its calls
    /// itself.
    pub fn end_delay(&self) {
        let now = self.budget.clock.now();
        self.budget.lock().end_delay(now);
    }

    /// Returns how often the store responded again after failed calls of this process.
    pub fn recoveries(&self) -> u64 {
        self.budget.recoveries.load(Ordering::Relaxed)
    }

    /// Reads an object. Returns none if it does not exist.
    pub async fn read(&self, class: CallClass, key: &str) -> Result<Option<Object>, PlatformError> {
        self.budget.acquire(class, false).await?;
        let result = self.budget.with_timeout("read", self.api.read(key)).await;
        self.budget.record_result("read", key, &result);
        result
    }

    /// Reads an object and parses its value as JSON. Returns the value and the object's version.
    pub async fn read_json<T: DeserializeOwned>(
        &self,
        class: CallClass,
        key: &str,
    ) -> Result<Option<(T, u64)>, PlatformError> {
        match self.read(class, key).await? {
            Some(object) => Ok(Some((parse_json(&object)?, object.version))),
            None => Ok(None),
        }
    }

    /// Creates an object if it does not exist. If the response is lost, reads the object back to
    /// learn whether the write took effect.
    pub async fn create(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
    ) -> Result<WriteOutcome, PlatformError> {
        self.write_resolved(class, key, value, WriteCondition::Absent).await
    }

    /// Replaces an object's value if it has this version. If the response is lost, reads the object
    /// back to learn whether the write took effect.
    pub async fn update(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        version: u64,
    ) -> Result<WriteOutcome, PlatformError> {
        self.write_resolved(class, key, value, WriteCondition::Version(version)).await
    }

    /// Deletes an object if it has this version. A lost response is not resolved by a read, but
    /// fails with [`PlatformError::NoAnswer`].
    pub async fn delete(
        &self,
        class: CallClass,
        key: &str,
        version: u64,
    ) -> Result<(), PlatformError> {
        self.budget.acquire(class, true).await?;
        let result = self.api.delete(key, version).await;
        self.budget.record_result("delete", key, &result);
        result
    }

    /// Lists one page of objects.
    pub async fn list(
        &self,
        class: CallClass,
        query: ListQuery,
    ) -> Result<ListPage, PlatformError> {
        self.budget.acquire(class, false).await?;
        let prefix = query.prefix.clone();
        let result = self.api.list(query).await;
        self.budget.record_result("list", &prefix, &result);
        result
    }

    /// Lists every object with a prefix, page by page. Returns the objects and the revision of the
    /// first page, from which a watch sees every change made while the later pages were read.
    pub async fn list_all(
        &self,
        class: CallClass,
        prefix: &str,
        values: bool,
    ) -> Result<(Vec<Object>, u64), PlatformError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut revision = None;
        loop {
            let query = ListQuery {
                prefix: prefix.to_owned(),
                after: objects.last().map(|o| o.key.clone()),
                limit: if values { VALUE_PAGE_OBJECTS } else { PAGE_OBJECTS },
                values,
            };
            let page = self.list(class, query).await?;
            let first_revision = *revision.get_or_insert(page.revision);
            let is_last = !page.more || page.objects.is_empty();
            objects.extend(page.objects);
            if is_last {
                return Ok((objects, first_revision));
            }
        }
    }

    /// Waits up to `wait_ms` milliseconds for changes after `revision` of objects with the prefix.
    /// Uses the budget of [`CallClass::Lease`].
    pub async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, PlatformError> {
        self.budget.acquire(CallClass::Lease, false).await?;
        let response = self.api.watch(prefix, revision, wait_ms);
        let result = self.budget.with_watch_timeout(wait_ms, response).await;
        self.budget.record_result("watch", prefix, &result);
        result
    }

    /// Makes a conditional write, and repeats it or reads the object back until its outcome is
    /// known or the attempts are used up.
    ///
    /// A try without a response may take effect as long as its condition holds, also after later tries of
    /// the same write. From then on a refusal of a later try says nothing of the write: it fails with
    /// [`PlatformError::NoAnswer`].
    async fn write_resolved(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<WriteOutcome, PlatformError> {
        let mut result = self.write_once(class, key, value.clone(), condition).await;
        let mut may_take_effect = false;
        for _ in 0..self.budget.max_resolve_attempts() {
            let error = match result {
                Ok(version) => return Ok(WriteOutcome::Written(version)),
                Err(e) => e,
            };
            let is_response_lost = error.may_have_taken_effect();
            may_take_effect |= is_response_lost;
            if !is_response_lost && !matches!(error, PlatformError::Conflict { .. }) {
                return Err(self.settle_failure(class, key, error, may_take_effect));
            }
            // A conflict may be with an earlier try of the same write whose response was lost. Only
            // the object shows what happened.
            result = match self.read(class, key).await {
                Ok(Some(object)) if object.value == value => Ok(object.version),
                Ok(found) if is_response_lost && condition_holds(&found, condition) => {
                    self.write_once(class, key, value.clone(), condition).await
                }
                Ok(found) => return Ok(WriteOutcome::Conflict(found)),
                Err(e) if is_response_lost => Err(no_answer("write", e)),
                Err(e) => return Err(self.settle_failure(class, key, e, true)),
            };
        }
        match result {
            Ok(version) => Ok(WriteOutcome::Written(version)),
            Err(e) => Err(self.settle_failure(class, key, e, may_take_effect)),
        }
    }

    /// Returns the error of a write whose last call failed with `error`. `may_take_effect` says whether an
    /// earlier call leaves open how the write ends.
    fn settle_failure(
        &self,
        class: CallClass,
        key: &str,
        error: PlatformError,
        may_take_effect: bool,
    ) -> PlatformError {
        if !may_take_effect && !error.may_have_taken_effect() {
            return error;
        }
        self.budget.metrics.count_reason("store.writes_unknown", class.as_str());
        log_event!(info, Event::WriteUnknown, key, error = %error);
        no_answer("write", error)
    }

    async fn write_once(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<u64, PlatformError> {
        self.budget.acquire(class, true).await?;
        let response = self.api.write(key, value, condition);
        let result = self.budget.with_timeout("write", response).await;
        self.budget.record_result("write", key, &result);
        result
    }
}

/// Returns the kind of the objects under a key or prefix, its part before the first slash.
fn kind_of(key: &str) -> &str {
    key.split('/').next().unwrap_or(key)
}

/// Returns whether the condition of a write still holds for the object read back, so that the write
/// has not taken effect.
fn condition_holds(found: &Option<Object>, condition: WriteCondition) -> bool {
    match (found, condition) {
        (None, WriteCondition::Absent) => true,
        (Some(object), WriteCondition::Version(version)) => object.version == version,
        _ => false,
    }
}

/// Parses an object's value as JSON. Fails with [`PlatformError::BadAnswer`].
pub fn parse_json<T: DeserializeOwned>(object: &Object) -> Result<T, PlatformError> {
    serde_json::from_slice(&object.value).map_err(|e| PlatformError::BadAnswer {
        call: "read",
        detail: format!("`{}`: {e}", object.key),
    })
}

/// Serializes a value as JSON, to be stored as an object's value.
pub fn to_json<T: Serialize>(value: &T) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|e| PlatformError::BadAnswer { call: "write", detail: e.to_string() })
}
