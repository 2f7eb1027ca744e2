//! Follows the bundle in force: from the store by a watch, from the disk at a cold start.

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

use crate::control::JudgeBundle;
use crate::control::PutBundle;
use crate::controls::Controls;
use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

/// Length of one watch, in milliseconds.
const WATCH_MS: u64 = 30_000;

/// First wait after a failure, in milliseconds.
const FIRST_WAIT_MS: u64 = 100;

/// Longest wait after failures, in milliseconds. A change must be in force within three seconds of
/// the store's return.
const MAX_WAIT_MS: u64 = 1_000;

/// Time between looks for the first heartbeat.
const FIRST_BEAT_LOOK: Duration = Duration::from_millis(20);

/// Looks for the first heartbeat, after which the store alone is believed.
const FIRST_BEAT_LOOKS: u32 = 25;

/// Name of the cold-start copy in the data folder.
const COPY_FILE: &str = "bundle-in-force.json";

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ColdCopy {
    number: u64,
    digest: Digest,
    text: String,
}

/// Follows the bundle in force until the process stops.
pub(crate) async fn follow_bundle(shared: Shared, controls: Controls) {
    load_cold_copy(&shared, &controls).await;
    wait_for_sides(&shared).await;
    let store = shared.store();
    let mut backoff = Backoff::new(FIRST_WAIT_MS, MAX_WAIT_MS);
    loop {
        let followed = tokio::select! {
            followed = follow_once(&store, &shared, &controls) => followed,
            () = shared.stopped.wait() => return,
        };
        let wait_ms = match followed {
            Ok(()) => {
                backoff.reset();
                0
            }
            Err(_) => backoff.next_wait_ms(&mut rand::rng()),
        };
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            () = shared.stopped.wait() => return,
        }
    }
}

/// Waits a moment for the first heartbeats. They say how new the bundle in force is at least, so that
/// a store that answers with old versions can't mislead a process that has just started.
async fn wait_for_sides(shared: &Shared) {
    for _ in 0..FIRST_BEAT_LOOKS {
        if shared.heard_side.load(Ordering::Relaxed) {
            return;
        }
        tokio::time::sleep(FIRST_BEAT_LOOK).await;
    }
}

/// Reads the bundle in force, then waits for its next change.
async fn follow_once(
    store: &Store,
    shared: &Shared,
    controls: &Controls,
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
        take(in_force, store, shared, controls).await?;
    }
    let mut revision = page.revision;
    loop {
        let batch = tokio::select! {
            batch = store.watch(object_key::BUNDLE_IN_FORCE, revision, WATCH_MS) => batch?,
            // A peer knows of a newer bundle than the watch has shown.
            () = shared.refresh_bundle.notified() => return Ok(()),
        };
        revision = batch.revision;
        if is_injected(InjectedFault::LateBundle) {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        if let Some(event) = batch.events.last().filter(|e| !e.deleted) {
            let in_force: InForceRecord = parse_json(&event.object)?;
            take(in_force, store, shared, controls).await?;
        }
    }
}

/// Puts a reported bundle in force if it is newer and was signed off.
async fn take(
    in_force: InForceRecord,
    store: &Store,
    shared: &Shared,
    controls: &Controls,
) -> Result<(), PlatformError> {
    let seen = BundleVersion { number: in_force.number, digest: in_force.digest.clone() };
    let verdict = controls.entry.send(JudgeBundle { seen }).await;
    match verdict.unwrap_or(BundleVerdict::Same) {
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
    match load(&in_force, store, shared).await? {
        Some(loaded) => {
            save_cold_copy(shared, &loaded);
            let weights: Vec<_> = loaded.bundle.clients.values().cloned().collect();
            controls.jobs.do_send(crate::jobs::WeightsSeen { clients: weights });
            // The actor lives as long as the process.
            let _stopping = controls.entry.send(PutBundle { loaded }).await;
        }
        None => {
            shared.metrics.count("entry.bundles_rejected");
            log_event!(error, Event::BundleRejected, number = in_force.number);
        }
    }
    Ok(())
}

/// Reads a bundle's content, and returns it if it is whole and signed off by another operator than
/// its author.
async fn load(
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
    let held = shared.snapshot.load().bundle.clone();
    if let Some(held) = held
        && let Some(loaded) = load_delta(in_force, &held, store).await?
    {
        return Ok(Some(loaded));
    }
    let content_key = object_key::bundle_content(digest);
    let content = store.read_json::<BundleContent>(CallClass::Lease, &content_key).await?;
    let Some((content, _)) = content else { return Ok(None) };
    if Digest::of(content.text.as_bytes()) != *digest || sign_off.by == content.author {
        return Ok(None);
    }
    Ok(into_loaded(in_force.number, digest.clone(), content.text, None))
}

/// Makes the content from the one held and a delta, if there is one that leads to its digest.
async fn load_delta(
    in_force: &InForceRecord,
    held: &LoadedBundle,
    store: &Store,
) -> Result<Option<LoadedBundle>, PlatformError> {
    let key = object_key::bundle_delta(&held.digest, &in_force.digest);
    let found = store.read_json::<BundleDelta>(CallClass::Lease, &key).await?;
    let Some((delta, _)) = found.filter(|(d, _)| d.to == in_force.digest) else {
        return Ok(None);
    };
    let Some(text) = apply_delta(&held.text, &delta) else { return Ok(None) };
    Ok(into_loaded(in_force.number, delta.to.clone(), text, Some(delta)))
}

fn into_loaded(
    number: u64,
    digest: Digest,
    text: String,
    delta: Option<BundleDelta>,
) -> Option<LoadedBundle> {
    let bundle = Arc::new(parse_bundle(&text, "bundle in force").ok()?);
    Some(LoadedBundle { number, digest, text: Arc::from(text), bundle, delta: delta.map(Arc::new) })
}

fn copy_path(shared: &Shared) -> Option<PathBuf> {
    shared.settings.data_dir.as_ref().map(|dir| dir.join(COPY_FILE))
}

/// Puts the copy on disk in force, so that an entry that starts during an outage can serve.
async fn load_cold_copy(shared: &Shared, controls: &Controls) {
    let Some(path) = copy_path(shared) else { return };
    let Ok(bytes) = std::fs::read(path) else { return };
    let Ok(copy) = serde_json::from_slice::<ColdCopy>(&bytes) else { return };
    if Digest::of(copy.text.as_bytes()) != copy.digest {
        return;
    }
    if let Some(loaded) = into_loaded(copy.number, copy.digest, copy.text, None) {
        // The actor lives as long as the process.
        let _stopping = controls.entry.send(PutBundle { loaded }).await;
    }
}

/// Writes the copy beside the old one and renames it, so that a crash leaves one of them whole.
fn save_cold_copy(shared: &Shared, loaded: &LoadedBundle) {
    let Some(path) = copy_path(shared) else { return };
    let copy = ColdCopy {
        number: loaded.number,
        digest: loaded.digest.clone(),
        text: loaded.text.to_string(),
    };
    let part = path.with_extension("part");
    let saved = serde_json::to_vec(&copy)
        .map_err(std::io::Error::other)
        .and_then(|bytes| std::fs::write(&part, bytes))
        .and_then(|()| std::fs::rename(&part, &path));
    if saved.is_err() {
        shared.metrics.count("entry.cold_copy_failures");
    }
}
