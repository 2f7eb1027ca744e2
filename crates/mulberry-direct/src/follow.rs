//! Follows the platform's store: the configuration and the endpoints, by list and watch.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::Object;
use mulberry_platform::object_api::WatchEvent;
use mulberry_platform::store::Store;
use mulberry_policy::endpoint_registry::EndpointRegistry;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;

use crate::shared::SharedState;

/// Time for which a watch waits, in milliseconds.
pub const WATCH_MS: u64 = 10_000;

/// Wait after a failed call, in milliseconds, beside the wait of the budget.
const RETRY_MS: u64 = 150;

/// Wait after a change before the next watch, in milliseconds, so that changes in quick succession
/// come with one call.
const GATHER_MS: u64 = 400;

/// Time between looks at entries whose grace may be over, in milliseconds.
const EXPIRE_MS: u64 = 200;

/// What a follower tells of the objects under a prefix.
pub enum Change {
    /// All objects, after which only changes follow.
    Listed(Vec<Object>),
    /// Changes since.
    Changed(Vec<WatchEvent>),
    /// The store gave no answer.
    Failed,
    /// The store answered without a change.
    Unchanged,
    /// Nothing was followed for a while; what is known may be old.
    Paused,
}

/// Whether something is to be followed. Another number means that what was known may be old; the sender
/// lives as long as the process.
pub type Wanted = watch::Receiver<Option<u64>>;

/// Lists and watches a prefix until the process stops, while it is wanted.
pub async fn follow(
    store: &Store,
    prefix: &str,
    mut wanted: Wanted,
    mut renewals: watch::Receiver<u64>,
    mut tell: impl FnMut(Change),
) {
    let mut revision: Option<u64> = None;
    loop {
        let is_wanted = wanted.borrow_and_update().is_some();
        let step = async {
            if !is_wanted {
                return std::future::pending().await;
            }
            step(store, prefix, revision, &mut tell).await
        };
        tokio::select! {
            next = step => revision = next,
            changed = wanted.changed() => {
                if changed.is_err() {
                    return;
                }
                revision = None;
                tell(Change::Paused);
            }
            // The call under way may never be answered; it is made again from the same revision.
            renewed = renewals.changed() => {
                if renewed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Makes one call. Returns the revision to go on from, or none to list anew.
async fn step(
    store: &Store,
    prefix: &str,
    revision: Option<u64>,
    tell: &mut impl FnMut(Change),
) -> Option<u64> {
    let result = match revision {
        None => list(store, prefix, tell).await,
        Some(from) => watch_prefix(store, prefix, from, tell).await,
    };
    match result {
        Ok(next) => Some(next),
        Err(PlatformError::Compacted) => None,
        Err(PlatformError::BudgetSpent { retry_ms }) => {
            tokio::time::sleep(Duration::from_millis(retry_ms)).await;
            revision
        }
        Err(_) => {
            tell(Change::Failed);
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            revision
        }
    }
}

async fn list(
    store: &Store,
    prefix: &str,
    tell: &mut impl FnMut(Change),
) -> Result<u64, PlatformError> {
    let (objects, revision) = store.list_all(CallClass::Lease, prefix, true).await?;
    tell(Change::Listed(objects));
    Ok(revision)
}

async fn watch_prefix(
    store: &Store,
    prefix: &str,
    from: u64,
    tell: &mut impl FnMut(Change),
) -> Result<u64, PlatformError> {
    let batch = store.watch(prefix, from, WATCH_MS).await?;
    if batch.events.is_empty() {
        tell(Change::Unchanged);
    } else {
        tell(Change::Changed(batch.events));
        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
    }
    Ok(batch.revision.max(from))
}

/// Keeps the configuration in force up to date. Versions never go back.
pub async fn follow_configuration(
    fleet: Arc<SharedState>,
    store: Store,
    wanted: Wanted,
    listed: impl Fn(),
) {
    let key = fleet.dialect.configuration_key();
    let prefix = key.split_inclusive('/').next().unwrap_or(key);
    let renewals = fleet.renewals.subscribe();
    follow(&store, prefix, wanted, renewals, |change| match change {
        Change::Listed(objects) => {
            objects.iter().filter(|o| o.key == key).for_each(|o| take_configuration(&fleet, o));
            listed();
        }
        Change::Changed(events) => {
            let changed = events.iter().filter(|e| !e.deleted && e.object.key == key);
            changed.for_each(|e| take_configuration(&fleet, &e.object));
        }
        Change::Failed | Change::Unchanged | Change::Paused => {}
    })
    .await;
}

fn take_configuration(fleet: &SharedState, object: &Object) {
    let read = match fleet.dialect.parse_configuration(&object.value) {
        Ok(read) => read,
        Err(e) => {
            fleet.metrics.count("direct.configurations_unreadable");
            log_event!(error, Event::ConfigurationUnreadable, revision = object.version, error = %e);
            return;
        }
    };
    let before = fleet.version();
    if read.version <= before {
        return;
    }
    log_event!(
        info,
        Event::ConfigurationInForce,
        version = read.version,
        before,
        routes = read.routes.len(),
        revision = object.version
    );
    fleet.configuration.store(Some(Arc::new(read)));
}

/// Keeps the known endpoints up to date.
pub async fn follow_endpoints(
    fleet: Arc<SharedState>,
    store: Store,
    wanted: Wanted,
    listed: impl Fn(),
) {
    let book = std::cell::RefCell::new(EndpointRegistry::default());
    let expire = async {
        loop {
            tokio::time::sleep(Duration::from_millis(EXPIRE_MS)).await;
            let due = book.borrow().next_expiry().is_some_and(|at| at <= fleet.clock.now());
            if due && book.borrow_mut().expire(fleet.clock.now()) {
                publish(&fleet, &book.borrow());
            }
        }
    };
    let prefix = fleet.dialect.endpoint_prefix();
    let renewals = fleet.renewals.subscribe();
    let follow = follow(&store, prefix, wanted, renewals, |change| {
        let is_list = matches!(change, Change::Listed(_));
        apply_endpoints(&fleet, &mut book.borrow_mut(), change);
        if is_list {
            listed();
        }
    });
    tokio::join!(expire, follow);
}

fn apply_endpoints(fleet: &SharedState, book: &mut EndpointRegistry, change: Change) {
    let now = fleet.clock.now();
    match change {
        Change::Paused => {
            *book = EndpointRegistry::default();
            return;
        }
        Change::Failed => return book.note_store_failure(),
        Change::Unchanged => return book.note_store_answer(now),
        Change::Listed(objects) => {
            book.note_store_answer(now);
            let entries = objects.iter().filter_map(|o| read_endpoint(fleet, o)).collect();
            book.replace_all(entries, now);
        }
        Change::Changed(events) => {
            book.note_store_answer(now);
            let mut gone = Vec::new();
            for event in events {
                let entry = (!event.deleted).then(|| read_endpoint(fleet, &event.object)).flatten();
                match entry {
                    Some(entry) => {
                        gone.retain(|n| *n != entry.name);
                        book.put(entry);
                    }
                    None => gone.push(EndpointName::new(name_of(fleet, &event.object))),
                }
            }
            book.remove_all(&gone, now);
        }
    }
    publish(fleet, book);
}

fn read_endpoint(fleet: &SharedState, object: &Object) -> Option<EndpointRecord> {
    match fleet.dialect.parse_endpoint(name_of(fleet, object), &object.value) {
        Ok(entry) => Some(entry),
        Err(e) => {
            fleet.metrics.count("direct.endpoints_unreadable");
            log_event!(warn, Event::EndpointUnreadable, key = object.key, error = %e);
            None
        }
    }
}

fn name_of<'a>(fleet: &SharedState, object: &'a Object) -> &'a str {
    object.key.strip_prefix(fleet.dialect.endpoint_prefix()).unwrap_or(&object.key)
}

fn publish(fleet: &SharedState, book: &EndpointRegistry) {
    let before = fleet.endpoints.load();
    for (name, entry) in book.entries() {
        let old = before.get(name);
        if old.is_none_or(|o| o.state != entry.state || o.address != entry.address) {
            log_event!(info, Event::EndpointChanged, endpoint = %name, service = %entry.service,
                state = ?entry.state, address = %entry.address);
        }
    }
    for name in before.keys().filter(|n| !book.entries().contains_key(*n)) {
        log_event!(info, Event::EndpointGone, endpoint = %name);
    }
    fleet.ejector().retain(|name| book.entries().contains_key(name));
    fleet.endpoints.store(Arc::new(book.entries().clone()));
}
