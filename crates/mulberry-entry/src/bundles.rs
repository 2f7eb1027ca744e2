//! Keeps the bundle in force up to date: watches it in the store, and reads a copy from disk at a
//! cold start.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::ListQuery;
use mulberry_platform::store::Store;
use mulberry_platform::store::parse_json;
use mulberry_policy::backoff::Backoff;
use mulberry_policy::bundle_order::BundleVerdict;
use mulberry_policy::bundle_order::BundleVersion;
use mulberry_policy::fault_injection::InjectedFault;
use mulberry_policy::fault_injection::is_injected;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::bundle::BundleContent;
use mulberry_protocol::bundle::BundleDelta;
use mulberry_protocol::bundle::InForceRecord;
use mulberry_protocol::bundle::SignOff;
use mulberry_protocol::bundle::apply_delta;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::object_key;

use crate::actors::ControlActors;
use crate::control::ActivateBundle;
use crate::control::ClassifyBundle;
use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

/// Timeout of one watch call, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 30_000;

/// First delay after a failed call, in milliseconds.
const FIRST_RETRY_DELAY_MS: u64 = 100;

/// Longest delay after failed calls, in milliseconds. A change must be in force within three
/// seconds of the store's recovery.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Interval at which a starting entry checks for its first heartbeat.
const HEARTBEAT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Checks for the first heartbeat, after which the entry relies on the store alone.
const MAX_HEARTBEAT_POLLS: u32 = 25;

/// File name of the cold-start copy in the data folder.
const COLD_START_FILE: &str = "bundle-in-force.json";

/// The bundle that was last in force, as stored on disk.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ColdStartCopy {
    number: u64,
    digest: Digest,
    text: String,
}

/// Loads the cold-start copy, then puts every new bundle in force until the process stops.
pub(crate) async fn watch_bundle(shared: Shared, actors: ControlActors) {
    load_cold_start_copy(&shared, &actors).await;
    wait_for_heartbeat(&shared).await;
    let store = shared.store();
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    loop {
        let watched = tokio::select! {
            watched = read_and_watch(&store, &shared, &actors) => watched,
            () = shared.stopped.wait() => return,
        };
        let delay_ms = match watched {
            Ok(()) => {
                backoff.reset();
                0
            }
            Err(_) => backoff.next_delay_ms(&mut rand::rng()),
        };
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(delay_ms)) => {}
            () = shared.stopped.wait() => return,
        }
    }
}

/// Waits a limited time for the first heartbeat. Heartbeats carry the bundle number that the sender
/// knows, so that a store that returns old versions can't put an older bundle in force in a process
/// that has just started.
async fn wait_for_heartbeat(shared: &Shared) {
    for _ in 0..MAX_HEARTBEAT_POLLS {
        if shared.heartbeat_received.load(Ordering::Relaxed) {
            return;
        }
        tokio::time::sleep(HEARTBEAT_POLL_INTERVAL).await;
    }
}

/// Reads the bundle in force, then watches it until a call fails or a heartbeat names a newer one.
async fn read_and_watch(
    store: &Store,
    shared: &Shared,
    actors: &ControlActors,
) -> Result<(), PlatformError> {
    let query = ListQuery {
        prefix: object_key::BUNDLE_IN_FORCE.to_owned(),
        after: None,
        limit: 1,
        values: true,
    };
    let page = store.list(CallClass::Lease, query).await?;
    if let Some(object) = page.objects.first() {
        let in_force: InForceRecord = parse_json(object)?;
        activate_if_newer(in_force, store, shared, actors).await?;
    }
    let mut revision = page.revision;
    loop {
        let batch = tokio::select! {
            batch = store.watch(object_key::BUNDLE_IN_FORCE, revision, WATCH_TIMEOUT_MS) => batch?,
            // A heartbeat names a newer bundle than the watch has returned: read it again.
            () = shared.bundle_refresh.notified() => return Ok(()),
        };
        revision = batch.revision;
        if is_injected(InjectedFault::LateBundle) {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        if let Some(event) = batch.events.last().filter(|e| !e.deleted) {
            let in_force: InForceRecord = parse_json(&event.object)?;
            activate_if_newer(in_force, store, shared, actors).await?;
        }
    }
}

/// Loads a reported bundle and puts it in force if it is newer and was signed off.
async fn activate_if_newer(
    in_force: InForceRecord,
    store: &Store,
    shared: &Shared,
    actors: &ControlActors,
) -> Result<(), PlatformError> {
    let seen = BundleVersion { number: in_force.number, digest: in_force.digest.clone() };
    let decision = actors.entry.send(ClassifyBundle { seen }).await;
    match decision.unwrap_or(BundleVerdict::Same) {
        BundleVerdict::Load => {}
        BundleVerdict::Same => return Ok(()),
        BundleVerdict::Stale => {
            shared.metrics.count("entry.bundles_stale");
            log_event!(info, Event::BundleStale, number = in_force.number);
            return Ok(());
        }
        BundleVerdict::Forked => {
            shared.metrics.count("entry.bundles_forked");
            log_event!(error, Event::BundleRejected, number = in_force.number);
            return Ok(());
        }
    }
    match load_bundle(&in_force, store, shared).await? {
        Some(loaded) => {
            save_cold_start_copy(shared, &loaded);
            let weights: Vec<_> = loaded.bundle.clients.values().cloned().collect();
            actors.jobs.do_send(crate::jobs::SetClientWeights { clients: weights });
            // Sending fails only if the actor has ended, which means that the process is stopping.
            let _mailbox_closed = actors.entry.send(ActivateBundle { loaded }).await;
        }
        None => {
            shared.metrics.count("entry.bundles_rejected");
            log_event!(error, Event::BundleRejected, number = in_force.number);
        }
    }
    Ok(())
}

/// Reads a bundle's content. Returns none unless the content matches its digest and was signed off
/// by an operator other than its author.
async fn load_bundle(
    in_force: &InForceRecord,
    store: &Store,
    shared: &Shared,
) -> Result<Option<LoadedBundle>, PlatformError> {
    let digest = &in_force.digest;
    let sign_off_key = object_key::sign_off(digest);
    let sign_off = store.read_json::<SignOff>(CallClass::Lease, &sign_off_key).await?;
    let Some((sign_off, _)) = sign_off else { return Ok(None) };
    if sign_off.digest != *digest || sign_off.by == sign_off.author {
        return Ok(None);
    }
    let current = shared.snapshot.load().bundle.clone();
    if let Some(current) = current
        && let Some(loaded) = load_delta(in_force, &current, store).await?
    {
        return Ok(Some(loaded));
    }
    let content_key = object_key::bundle_content(digest);
    let content = store.read_json::<BundleContent>(CallClass::Lease, &content_key).await?;
    let Some((content, _)) = content else { return Ok(None) };
    if Digest::of(content.text.as_bytes()) != *digest || sign_off.by == content.author {
        return Ok(None);
    }
    Ok(parse_loaded(in_force.number, digest.clone(), content.text, None))
}

/// Builds the content from the current bundle and a delta. Returns none if the store has no delta
/// between the two or if it can't be applied.
async fn load_delta(
    in_force: &InForceRecord,
    current: &LoadedBundle,
    store: &Store,
) -> Result<Option<LoadedBundle>, PlatformError> {
    let key = object_key::bundle_delta(&current.digest, &in_force.digest);
    let found = store.read_json::<BundleDelta>(CallClass::Lease, &key).await?;
    let Some((delta, _)) = found.filter(|(d, _)| d.to == in_force.digest) else {
        return Ok(None);
    };
    let Some(text) = apply_delta(&current.text, &delta) else { return Ok(None) };
    Ok(parse_loaded(in_force.number, delta.to.clone(), text, Some(delta)))
}

/// Parses a bundle's text. Returns none if it is invalid.
fn parse_loaded(
    number: u64,
    digest: Digest,
    text: String,
    delta: Option<BundleDelta>,
) -> Option<LoadedBundle> {
    let bundle = Arc::new(parse_bundle(&text, "bundle in force").ok()?);
    Some(LoadedBundle { number, digest, text: Arc::from(text), bundle, delta: delta.map(Arc::new) })
}

/// Returns the path of the cold-start copy, or none if no data folder is set.
fn cold_start_path(shared: &Shared) -> Option<PathBuf> {
    shared.settings.data_dir.as_ref().map(|dir| dir.join(COLD_START_FILE))
}

/// Puts the copy on disk in force, so that an entry that starts during a store outage can serve.
async fn load_cold_start_copy(shared: &Shared, actors: &ControlActors) {
    let Some(path) = cold_start_path(shared) else { return };
    let Ok(bytes) = std::fs::read(path) else { return };
    let Ok(copy) = serde_json::from_slice::<ColdStartCopy>(&bytes) else { return };
    if Digest::of(copy.text.as_bytes()) != copy.digest {
        return;
    }
    if let Some(loaded) = parse_loaded(copy.number, copy.digest, copy.text, None) {
        // Sending fails only if the actor has ended, which means that the process is stopping.
        let _mailbox_closed = actors.entry.send(ActivateBundle { loaded }).await;
    }
}

/// Writes a temporary file and renames it over the old copy, so that a crash never leaves a partial
/// one.
fn save_cold_start_copy(shared: &Shared, loaded: &LoadedBundle) {
    let Some(path) = cold_start_path(shared) else { return };
    let copy = ColdStartCopy {
        number: loaded.number,
        digest: loaded.digest.clone(),
        text: loaded.text.to_string(),
    };
    let temporary = path.with_extension("part");
    let saved = serde_json::to_vec(&copy)
        .map_err(std::io::Error::other)
        .and_then(|bytes| std::fs::write(&temporary, bytes))
        .and_then(|()| std::fs::rename(&temporary, &path));
    if saved.is_err() {
        shared.metrics.count("entry.cold_copy_failures");
    }
}
