//! Keeps the configuration and the endpoints in sync with the platform's store by list and watch.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use indexmap::IndexSet;
use tokio::sync::watch;
use tokio::time::Instant;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::Object;
use mulberry_platform::object_api::WatchBatch;
use mulberry_platform::object_api::WatchEvent;
use mulberry_platform::store::Store;
use mulberry_policy::endpoint_registry::EndpointRegistry;
use mulberry_policy::endpoint_registry::KeptEndpoint;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::time::Millis;

use crate::shared::SharedState;

/// Delay after a failed call, in milliseconds, in addition to the backoff of the store budget.
const RETRY_DELAY_MS: u64 = 150;

/// Interval at which calls that are not answered overlap.
const OVERLAP_INTERVAL: Duration = Duration::from_millis(300);

/// Most calls that overlap.
const MAX_OVERLAPPING_CALLS: usize = 6;

/// Delay between a change and the next watch call, in milliseconds, so that changes in quick
/// succession arrive with one call.
const COALESCE_DELAY_MS: u64 = 400;

/// How soon a watch must notice changes, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct WatchPace {
    /// Longest time for which the store holds a call that has no events. A lost answer costs as much.
    pub wait_ms: u64,
    /// Delay between a change and the next call.
    pub coalesce_ms: u64,
    /// Whether calls overlap while the store does not answer, so that its return shows at once.
    pub overlaps: bool,
}

/// Pace of watches whose changes may come late now and then.
pub const RELAXED_PACE: WatchPace =
    WatchPace { wait_ms: 10_000, coalesce_ms: COALESCE_DELAY_MS, overlaps: false };

/// Longest interval at which missing endpoints are checked for the end of their grace period, in
/// milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 200;

/// An update on the objects under a watched prefix.
pub enum StoreChange {
    /// A call is about to be made.
    Asking,
    /// The complete list of objects; it replaces what was known before.
    Listed(Vec<Object>),
    /// Changes since the last list or change.
    Changed(Vec<WatchEvent>),
    /// A call to the store failed.
    Failed,
    /// A watch call ended without a change.
    Unchanged,
    /// All changes up to this revision have been reported.
    UpTo(u64),
    /// Watching was interrupted; what is known may be out of date.
    Paused,
}

/// Where a watch goes on.
#[derive(Debug, Clone, Copy)]
enum Position {
    /// With a list, since nothing is known yet, or too little.
    Start,
    /// With the changes after this revision, if any, without waiting for one. The store may have been
    /// away: its answer tells at once that it is back, and what has changed meanwhile.
    CatchUp(u64),
    /// With the first change after this revision.
    Wait(u64),
}

impl Position {
    /// Returns the position after a call that may have failed because the store was away.
    fn after_trouble(self) -> Self {
        match self {
            Position::Start => Position::Start,
            Position::CatchUp(from) | Position::Wait(from) => Position::CatchUp(from),
        }
    }

    /// Returns the position after this error. Where an answer was lost, the next one with the same
    /// changes may get lost too, so that they are listed.
    fn after_error(self, error: &PlatformError) -> Self {
        match error {
            PlatformError::Compacted | PlatformError::NoAnswer { .. } => Position::Start,
            PlatformError::BudgetSpent { .. } => self,
            _ => self.after_trouble(),
        }
    }

    /// Returns the revision after which the next call asks for changes; zero for a list.
    fn revision(self) -> u64 {
        match self {
            Position::Start => 0,
            Position::CatchUp(from) | Position::Wait(from) => from,
        }
    }
}

/// Enables a watch while it holds a value. A new value restarts the watch with a list, because what
/// was known may be out of date. The sender lives as long as the process.
pub type WatchGate = watch::Receiver<Option<u64>>;

/// Lists and then watches a prefix while `gate` holds a value, and reports each update to
/// `on_change`. A change of `renewals` sends the pending call again. Runs until the process stops.
pub async fn list_and_watch(
    store: &Store,
    prefix: &str,
    pace: WatchPace,
    mut gate: WatchGate,
    mut renewals: watch::Receiver<u64>,
    mut on_change: impl FnMut(StoreChange),
) {
    let mut position = Position::Start;
    loop {
        let is_open = gate.borrow_and_update().is_some();
        let poll = async {
            if !is_open {
                return std::future::pending().await;
            }
            poll_once(store, prefix, pace, position, &mut on_change).await
        };
        tokio::select! {
            next = poll => position = next,
            changed = gate.changed() => {
                if changed.is_err() {
                    return;
                }
                position = Position::Start;
                on_change(StoreChange::Paused);
            }
            // The pending call may never be answered: it is sent again from the same revision.
            renewed = renewals.changed() => {
                if renewed.is_err() {
                    return;
                }
                position = position.after_trouble();
            }
        }
    }
}

/// Makes a read call, or read calls that overlap, until one is answered or all have failed. Each failure but the
/// last one is reported to `on_failure`. While the store is away, a single call would hide for long that
/// it is back: what was sent before is never answered.
async fn first_answer<T, C: Future<Output = Result<T, PlatformError>>>(
    store: &Store,
    overlaps: bool,
    call: impl Fn() -> C,
    mut on_failure: impl FnMut(&PlatformError),
) -> Result<T, PlatformError> {
    let mut calls = FuturesUnordered::new();
    let mut last_made = Instant::now();
    calls.push(call());
    loop {
        tokio::select! {
            Some(result) = calls.next() => match result {
                Err(e @ PlatformError::NoAnswer { .. }) if !calls.is_empty() => on_failure(&e),
                result => return result,
            },
            () = tokio::time::sleep_until(last_made + OVERLAP_INTERVAL), if overlaps => {
                last_made = Instant::now();
                if calls.len() < MAX_OVERLAPPING_CALLS {
                    store.end_delay();
                    calls.push(call());
                }
            }
        }
    }
}

/// Makes one list or watch call. Returns where to go on.
async fn poll_once(
    store: &Store,
    prefix: &str,
    pace: WatchPace,
    position: Position,
    on_change: &mut impl FnMut(StoreChange),
) -> Position {
    on_change(StoreChange::Asking);
    let started = Instant::now();
    let report = |error: &PlatformError| {
        log_event!(info, Event::WatchFailed, prefix, revision = position.revision(),
            waited_ms = started.elapsed().as_millis() as u64, error = %error);
    };
    let on_failure = |error: &PlatformError| {
        report(error);
        on_change(StoreChange::Failed);
    };
    let result = match position {
        Position::Start => {
            let list = || store.list_all(CallClass::Lease, prefix, true);
            let listed = first_answer(store, pace.overlaps, list, on_failure).await;
            listed.map(|(objects, revision)| {
                on_change(StoreChange::Listed(objects));
                revision
            })
        }
        Position::CatchUp(from) => {
            let watch = || store.watch(prefix, from, 0);
            let batch = first_answer(store, pace.overlaps, watch, on_failure).await;
            take_batch(batch, pace, from, on_change).await
        }
        Position::Wait(from) => {
            let batch = store.watch(prefix, from, pace.wait_ms).await;
            take_batch(batch, pace, from, on_change).await
        }
    };
    let error = match result {
        Ok(next) => {
            on_change(StoreChange::UpTo(next));
            return Position::Wait(next);
        }
        Err(e) => e,
    };
    match (&error, position) {
        (PlatformError::Compacted, _) => {}
        (PlatformError::BudgetSpent { retry_ms }, _) => {
            tokio::time::sleep(Duration::from_millis(*retry_ms)).await;
        }
        _ => {
            report(&error);
            on_change(StoreChange::Failed);
        }
    }
    let next = position.after_error(&error);
    // A lost answer has taken long enough.
    let is_lost_watch =
        matches!((position, next), (Position::CatchUp(_) | Position::Wait(_), Position::Start));
    if !is_lost_watch && !matches!(error, PlatformError::BudgetSpent { .. }) {
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    next
}

/// Reports the changes that a watch has brought, and lets further ones gather.
async fn take_batch(
    batch: Result<WatchBatch, PlatformError>,
    pace: WatchPace,
    from: u64,
    on_change: &mut impl FnMut(StoreChange),
) -> Result<u64, PlatformError> {
    let batch = batch?;
    if batch.events.is_empty() {
        on_change(StoreChange::Unchanged);
    } else {
        on_change(StoreChange::Changed(batch.events));
        tokio::time::sleep(Duration::from_millis(pace.coalesce_ms)).await;
    }
    Ok(batch.revision.max(from))
}

/// Keeps the configuration in force up to date and calls `on_list` after each list. A configuration
/// whose version is not higher than that in force is ignored.
pub async fn watch_configuration(
    shared: Arc<SharedState>,
    store: Store,
    gate: WatchGate,
    on_list: impl Fn(),
) {
    let key = shared.dialect.configuration_key();
    let prefix = key.split_inclusive('/').next().unwrap_or(key);
    let renewals = shared.renewals.subscribe();
    let settings = &shared.settings;
    // Peers tell the version too, and a store that has been away shows in the watch of endpoints.
    let pace = WatchPace {
        wait_ms: settings.revocation.configuration_wait_ms(settings.configuration_wait_ms),
        coalesce_ms: COALESCE_DELAY_MS,
        overlaps: false,
    };
    list_and_watch(&store, prefix, pace, gate, renewals, |change| match change {
        StoreChange::Listed(objects) => {
            objects.iter().filter(|o| o.key == key).for_each(|o| apply_configuration(&shared, o));
            on_list();
        }
        StoreChange::Changed(events) => {
            let changed = events.iter().filter(|e| !e.deleted && e.object.key == key);
            changed.for_each(|e| apply_configuration(&shared, &e.object));
        }
        StoreChange::Asking => shared.confirmation.record_call(shared.clock.now()),
        StoreChange::UpTo(_) => shared.confirmation.record_answer(),
        StoreChange::Failed | StoreChange::Unchanged | StoreChange::Paused => {}
    })
    .await;
}

fn apply_configuration(shared: &SharedState, object: &Object) {
    let parsed = match shared.dialect.parse_configuration(&object.value) {
        Ok(parsed) => parsed,
        Err(e) => {
            shared.metrics.count("direct.configurations_unreadable");
            log_event!(error, Event::ConfigurationUnreadable, revision = object.version, error = %e);
            return;
        }
    };
    let before = shared.version();
    if parsed.version <= before {
        return;
    }
    log_event!(
        info,
        Event::ConfigurationInForce,
        version = parsed.version,
        before,
        routes = parsed.routes.len(),
        revision = object.version
    );
    shared.configuration.store(Some(Arc::new(parsed)));
}

/// Keeps the known endpoints up to date and calls `on_list` after each list.
pub async fn watch_endpoints(
    shared: Arc<SharedState>,
    store: Store,
    gate: WatchGate,
    on_list: impl Fn(),
) {
    let registry = std::cell::RefCell::new(EndpointRegistry::default());
    let expire = async {
        loop {
            let next_expiry = registry.borrow().next_expiry();
            let left_ms = next_expiry.map(|at| at.since(shared.clock.now()).max(1));
            let pause_ms = left_ms.map_or(EXPIRY_INTERVAL_MS, |ms| ms.min(EXPIRY_INTERVAL_MS));
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            update_staleness(&shared, &registry.borrow());
            let due = registry.borrow().next_expiry().is_some_and(|at| at <= shared.clock.now());
            if due && registry.borrow_mut().expire(shared.clock.now()) {
                publish(&shared, &registry.borrow());
            }
        }
    };
    let prefix = shared.dialect.endpoint_prefix();
    let renewals = shared.endpoint_confirmation.renewals.subscribe();
    let pace = WatchPace {
        wait_ms: shared.settings.endpoint_wait_ms,
        coalesce_ms: COALESCE_DELAY_MS,
        overlaps: true,
    };
    let watch = list_and_watch(&store, prefix, pace, gate, renewals, |change| {
        let is_list = matches!(change, StoreChange::Listed(_));
        apply_endpoints(&shared, &mut registry.borrow_mut(), change);
        if is_list {
            on_list();
        }
    });
    tokio::join!(expire, watch);
}

fn apply_endpoints(shared: &SharedState, registry: &mut EndpointRegistry, change: StoreChange) {
    let now = shared.clock.now();
    match change {
        StoreChange::Paused => {
            *registry = EndpointRegistry::default();
            return;
        }
        StoreChange::Asking => return shared.endpoint_confirmation.calls.record_call(now),
        StoreChange::UpTo(revision) => {
            shared.endpoint_confirmation.calls.record_answer();
            return shared.record_endpoints_known(revision);
        }
        StoreChange::Failed => {
            registry.record_store_failure(now);
            return update_staleness(shared, registry);
        }
        StoreChange::Unchanged => {
            registry.record_store_response(now);
            return update_staleness(shared, registry);
        }
        StoreChange::Listed(objects) => {
            registry.record_store_response(now);
            let listed = objects.iter().filter_map(|o| parse_endpoint_object(shared, o)).collect();
            log_kept(&registry.replace_all(listed, now), now);
        }
        StoreChange::Changed(events) => {
            registry.record_store_response(now);
            let last = events.iter().map(|e| e.object.version).max();
            shared.record_endpoints_changed(last.unwrap_or(0));
            let mut removed = Vec::new();
            for event in events {
                let endpoint = (!event.deleted)
                    .then(|| parse_endpoint_object(shared, &event.object))
                    .flatten();
                match endpoint {
                    Some(endpoint) => {
                        removed.retain(|n| *n != endpoint.name);
                        registry.put(endpoint);
                    }
                    None => removed.push(EndpointName::new(endpoint_name(shared, &event.object))),
                }
            }
            log_kept(&registry.remove_all(&removed, now), now);
        }
    }
    publish(shared, registry);
}

/// Records whether changes of endpoints may have been missed. Once none may, what is known counts again.
fn update_staleness(shared: &SharedState, registry: &EndpointRegistry) {
    let was_stale = shared.endpoints_stale_ms() > 0;
    shared.set_endpoints_stale_since(registry.stale_since(shared.clock.now()));
    if was_stale && shared.endpoints_stale_ms() == 0 {
        publish(shared, registry);
    }
}

fn log_kept(kept: &[KeptEndpoint], now: Millis) {
    for KeptEndpoint { name, until, cause } in kept {
        log_event!(info, Event::EndpointMissing, endpoint = %name, left_ms = until.since(now),
            cause = cause.as_str());
    }
}

fn parse_endpoint_object(shared: &SharedState, object: &Object) -> Option<EndpointRecord> {
    match shared.dialect.parse_endpoint(endpoint_name(shared, object), &object.value) {
        Ok(endpoint) => Some(endpoint),
        Err(e) => {
            shared.metrics.count("direct.endpoints_unreadable");
            log_event!(warn, Event::EndpointUnreadable, key = object.key, error = %e);
            None
        }
    }
}

fn endpoint_name<'a>(shared: &SharedState, object: &'a Object) -> &'a str {
    object.key.strip_prefix(shared.dialect.endpoint_prefix()).unwrap_or(&object.key)
}

fn publish(shared: &SharedState, registry: &EndpointRegistry) {
    shared.set_endpoints_stale_since(registry.stale_since(shared.clock.now()));
    let before = shared.endpoints.load();
    for (name, endpoint) in registry.endpoints() {
        let old = before.get(name);
        if old.is_none_or(|o| o.state != endpoint.state || o.address != endpoint.address) {
            log_event!(info, Event::EndpointChanged, endpoint = %name, service = %endpoint.service,
                software = %endpoint.software, state = ?endpoint.state, address = %endpoint.address);
        }
    }
    for name in before.keys().filter(|n| !registry.endpoints().contains_key(*n)) {
        log_event!(info, Event::EndpointGone, endpoint = %name);
    }
    if shared.endpoints_stale_ms() == 0 {
        let endpoints = registry.endpoints().values();
        shared.version_history().record(endpoints, shared.clock.now());
    }
    let keys: IndexSet<u64> = registry.endpoints().values().map(|e| e.load_key()).collect();
    shared.limits().retain(|key| keys.contains(&key));
    shared.ejector().retain(|name| registry.endpoints().contains_key(name));
    shared.endpoints.store(Arc::new(registry.endpoints().clone()));
}
