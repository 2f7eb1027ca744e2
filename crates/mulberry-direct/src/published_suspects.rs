//! Publishes suspects in the platform's store while some peer is not heard, and reads what others
//! publish. Heartbeats tell all that this does, at once and without calls, to those who hear them.

use std::sync::Arc;
use std::time::Duration;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::Store;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::crash_suspects::ToldSuspect;
use mulberry_policy::crash_suspects::told_suspects;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::published_suspects::PUBLISHED_SUSPECTS_PREFIX;
use mulberry_protocol::published_suspects::PublishedSuspects;

use crate::crashes::VerdictSource;
use crate::shared::SharedState;
use crate::store_watch::RELAXED_PACE;
use crate::store_watch::StoreChange;
use crate::store_watch::WatchGate;
use crate::store_watch::list_and_watch;

/// Interval at which a process looks for suspects to publish, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 500;

/// Peers up to which a process publishes at that interval. With more of them it grows in proportion,
/// so that all of them together write no more often.
const FULL_RATE_PEERS: usize = 24;

/// Silence of a peer after which it may not hear this process either, in milliseconds.
const UNHEARD_MS: u64 = 2_500;

/// Publishes suspects until the process stops.
pub async fn publish_suspects(shared: Arc<SharedState>, store: Store) {
    let mut version = None;
    let mut published_at = None;
    loop {
        let steps = shared.peers().len().div_ceil(FULL_RATE_PEERS).max(1);
        let interval_ms = PUBLISH_INTERVAL_MS * steps as u64;
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        if !has_unheard_peer(&shared) {
            continue;
        }
        let now = shared.clock.now();
        let told = shared.crash_suspects().suspects_to_publish(published_at, now);
        if told.is_empty() {
            continue;
        }
        match publish(&shared, &store, told, version).await {
            Ok(written) => {
                shared.metrics.count("direct.suspects_published");
                version = Some(written);
                published_at = Some(now);
            }
            Err(e) => log_event!(debug, Event::StoreFailed, error = %e, what = "suspects"),
        }
    }
}

/// Returns whether a process that is registered has been silent for long: one that does not run any
/// more, or one that is cut off from this one.
fn has_unheard_peer(shared: &SharedState) -> bool {
    let now = shared.clock.now();
    let peers = shared.peers();
    peers.values().any(|p| now.since(p.heard_at.unwrap_or(p.found_at)) > UNHEARD_MS)
}

/// Writes the suspects into this process's object, of which the version is known unless it has not been
/// written yet. Returns its new version.
async fn publish(
    shared: &SharedState,
    store: &Store,
    told: Vec<ToldSuspect>,
    version: Option<u64>,
) -> Result<u64, PlatformError> {
    let publisher = shared.settings.name.clone();
    let key = PublishedSuspects::key_of(&publisher);
    let published = PublishedSuspects {
        publisher,
        parts: told.iter().filter(|t| t.is_part).map(|t| t.suspect.fingerprint).collect(),
        suspects: told.iter().map(|t| t.suspect.clone()).collect(),
        details: told.into_iter().filter_map(|t| t.detail).collect(),
    };
    let value = to_json(&published)?;
    let written = match version {
        Some(version) => store.update(CallClass::Lease, &key, value.clone(), version).await?,
        None => store.create(CallClass::Lease, &key, value.clone()).await?,
    };
    let present = match written {
        WriteOutcome::Written(version) => return Ok(version),
        WriteOutcome::Conflict(Some(object)) => object.version,
        WriteOutcome::Conflict(None) => return Err(PlatformError::Conflict { key }),
    };
    match store.update(CallClass::Lease, &key, value, present).await? {
        WriteOutcome::Written(version) => Ok(version),
        WriteOutcome::Conflict(_) => Err(PlatformError::Conflict { key }),
    }
}

/// Takes over what other processes publish until this one stops. What was published before it began to
/// watch has an unknown age and is ignored.
pub async fn watch_published_suspects(shared: Arc<SharedState>, store: Store, gate: WatchGate) {
    let renewals = shared.renewals.subscribe();
    list_and_watch(&store, PUBLISHED_SUSPECTS_PREFIX, RELAXED_PACE, gate, renewals, |change| {
        let StoreChange::Changed(events) = change else { return };
        for event in events.iter().filter(|e| !e.deleted) {
            match parse_json::<PublishedSuspects>(&event.object) {
                Ok(published) => shared.merge_published_suspects(published),
                Err(e) => log_event!(warn, Event::StoreFailed, error = %e, what = "suspects"),
            }
        }
    })
    .await;
}

impl SharedState {
    fn merge_published_suspects(&self, published: PublishedSuspects) {
        if published.publisher == self.settings.name {
            return;
        }
        let told = told_suspects(&published.suspects, &published.details, &published.parts);
        let convicted = self.crash_suspects().merge_published(&told, self.clock.now());
        for verdict in convicted {
            self.report_conviction(verdict, VerdictSource::Peer(&published.publisher));
        }
    }
}
