//! The store as the rest of the system uses it: budgeted calls whose lost answers are read back.

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

/// Longest wait for the budget within one call, in milliseconds.
const MAX_BUDGET_WAIT_MS: u64 = 1_000;

/// Most tries to learn how a write without an answer ended.
const SETTLE_TRIES: u32 = 3;

/// The same where each wait for an answer is short.
const PATIENT_SETTLE_TRIES: u32 = 6;

/// Objects in one page of a list.
const PAGE_OBJECTS: u32 = 1_000;

/// Objects in one page of a list with values, so that a page stays within a few megabytes.
const VALUE_PAGE_OBJECTS: u32 = 100;

/// How a conditional write ended.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// It took effect; the object has this version.
    Written(u64),
    /// It did not, because the object is another one, or absent.
    Conflict(Option<Object>),
}

/// The budget that the threads of one process share.
#[derive(Clone)]
pub struct SharedBudget {
    budget: Arc<Mutex<StoreBudget>>,
    /// The wait for answers, where it follows those that come.
    patience: Option<Arc<Mutex<AdaptiveTimeout>>>,
    /// Times that the store has answered again after it had not.
    returns: Arc<AtomicU64>,
    clock: SharedClock,
    metrics: Metrics,
}

impl SharedBudget {
    /// Makes the budget of a process.
    pub fn new(rates: StoreRates, clock: SharedClock, metrics: Metrics) -> Self {
        let budget = StoreBudget::new(rates, clock.now());
        Self::from_budget(budget, clock, metrics)
    }

    /// Shares a budget among the threads of a process.
    pub fn from_budget(budget: StoreBudget, clock: SharedClock, metrics: Metrics) -> Self {
        Self {
            budget: Arc::new(Mutex::new(budget)),
            patience: None,
            returns: Arc::default(),
            clock,
            metrics,
        }
    }

    /// Gives calls up that take far longer than usual, instead of after a fixed time only.
    pub fn with_adaptive_timeout(mut self) -> Self {
        self.patience = Some(Arc::default());
        self
    }

    /// Tells whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.lock().is_failing()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn permit(&self, class: CallClass, is_write: bool) -> Result<(), PlatformError> {
        let started = self.clock.now();
        loop {
            let now = self.clock.now();
            let verdict = self.lock().try_acquire(class, is_write, now);
            let CallPermit::Wait(wait_ms) = verdict else { return Ok(()) };
            if now.since(started) + wait_ms > MAX_BUDGET_WAIT_MS {
                self.metrics.count_reason("store.budget_spent", class.as_str());
                return Err(PlatformError::BudgetSpent { retry_ms: wait_ms });
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    fn settle_tries(&self) -> u32 {
        if self.patience.is_some() { PATIENT_SETTLE_TRIES } else { SETTLE_TRIES }
    }

    /// Waits for an answer as long as answers usually take, several times over.
    async fn in_time<T>(
        &self,
        call: &'static str,
        answering: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let Some(patience) = &self.patience else { return answering.await };
        let lock = || patience.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = Duration::from_millis(lock().timeout_ms());
        let started = self.clock.now();
        match tokio::time::timeout(wait, answering).await {
            Ok(result) => {
                lock().record_response(self.clock.now().since(started));
                result
            }
            Err(_) => {
                lock().record_timeout();
                Err(PlatformError::NoAnswer { call, detail: "no answer in time".to_owned() })
            }
        }
    }

    fn record<T>(&self, call: &'static str, result: &Result<T, PlatformError>) {
        self.metrics.count_reason("store.calls", call);
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
                    self.returns.fetch_add(1, Ordering::Relaxed);
                    log_event!(info, Event::StoreRecovered);
                }
            }
        }
    }
}

/// A thread's client of the store.
#[derive(Clone)]
pub struct Store {
    api: Rc<dyn ObjectApi>,
    budget: SharedBudget,
}

impl Store {
    /// Makes a client on the calling thread.
    pub fn new(api: Rc<dyn ObjectApi>, budget: SharedBudget) -> Self {
        Self { api, budget }
    }

    /// Returns how often the store has answered again after it had not.
    pub fn recoveries(&self) -> u64 {
        self.budget.returns.load(Ordering::Relaxed)
    }

    /// Reads an object.
    pub async fn read(&self, class: CallClass, key: &str) -> Result<Option<Object>, PlatformError> {
        self.budget.permit(class, false).await?;
        let result = self.budget.in_time("read", self.api.read(key)).await;
        self.budget.record("read", &result);
        result
    }

    /// Reads an object's JSON.
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

    /// Creates an object if it is absent. A lost answer is read back.
    pub async fn create(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
    ) -> Result<WriteOutcome, PlatformError> {
        self.settle_write(class, key, value, WriteCondition::Absent).await
    }

    /// Updates an object if it has the version. A lost answer is read back.
    pub async fn update(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        version: u64,
    ) -> Result<WriteOutcome, PlatformError> {
        self.settle_write(class, key, value, WriteCondition::Version(version)).await
    }

    /// Deletes an object if it has the version.
    pub async fn delete(
        &self,
        class: CallClass,
        key: &str,
        version: u64,
    ) -> Result<(), PlatformError> {
        self.budget.permit(class, true).await?;
        let result = self.api.delete(key, version).await;
        self.budget.record("delete", &result);
        result
    }

    /// Lists one page.
    pub async fn list(
        &self,
        class: CallClass,
        query: ListQuery,
    ) -> Result<ListPage, PlatformError> {
        self.budget.permit(class, false).await?;
        let result = self.api.list(query).await;
        self.budget.record("list", &result);
        result
    }

    /// Lists every object with a prefix, and returns the revision of the first page.
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

    /// Waits for changes.
    pub async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, PlatformError> {
        self.budget.permit(CallClass::Lease, false).await?;
        let result = self.api.watch(prefix, revision, wait_ms).await;
        self.budget.record("watch", &result);
        result
    }

    async fn settle_write(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<WriteOutcome, PlatformError> {
        let mut last = self.write_once(class, key, value.clone(), condition).await;
        for _ in 0..self.budget.settle_tries() {
            match last {
                Ok(version) => return Ok(WriteOutcome::Written(version)),
                Err(PlatformError::Conflict { .. } | PlatformError::NoAnswer { .. }) => {}
                Err(other) => return Err(other),
            }
            // After an answer lost, or a conflict with an own write whose answer was lost, only
            // the object itself tells what happened.
            let lost_answer = matches!(last, Err(PlatformError::NoAnswer { .. }));
            match self.read(class, key).await {
                Ok(Some(object)) if object.value == value => {
                    return Ok(WriteOutcome::Written(object.version));
                }
                Ok(found) if lost_answer && is_untouched(&found, condition) => {
                    last = self.write_once(class, key, value.clone(), condition).await;
                }
                Ok(found) => return Ok(WriteOutcome::Conflict(found)),
                Err(e) if lost_answer => {
                    last = Err(PlatformError::NoAnswer { call: "write", detail: e.to_string() });
                }
                Err(e) => return Err(e),
            }
        }
        match last {
            Ok(version) => Ok(WriteOutcome::Written(version)),
            Err(e) => Err(e),
        }
    }

    async fn write_once(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<u64, PlatformError> {
        self.budget.permit(class, true).await?;
        let writing = self.api.write(key, value, condition);
        let result = self.budget.in_time("write", writing).await;
        self.budget.record("write", &result);
        result
    }
}

/// Tells whether the object is still as it was before the write.
fn is_untouched(found: &Option<Object>, condition: WriteCondition) -> bool {
    match (found, condition) {
        (None, WriteCondition::Absent) => true,
        (Some(object), WriteCondition::Version(version)) => object.version == version,
        _ => false,
    }
}

/// Parses an object's JSON.
pub fn parse_json<T: DeserializeOwned>(object: &Object) -> Result<T, PlatformError> {
    serde_json::from_slice(&object.value).map_err(|e| PlatformError::BadAnswer {
        call: "read",
        detail: format!("`{}`: {e}", object.key),
    })
}

/// Writes a value as JSON.
pub fn to_json<T: Serialize>(value: &T) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|e| PlatformError::BadAnswer { call: "write", detail: e.to_string() })
}
