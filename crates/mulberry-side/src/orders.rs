//! Keeps the models on the endpoint in line with the bundle in force: fetches newer bundles, orders
//! the engine to load and unload models, and corrects models that changed without an order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::bundle::ServiceKind;
use mulberry_protocol::bundle::apply_delta;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::event::Event;
use mulberry_protocol::link::FromOwner;
use mulberry_protocol::link::ToOwner;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ModelName;

use crate::control::GetBundleNews;
use crate::control::HealthChecked;
use crate::control::InstallBundle;
use crate::control::ModelsReported;
use crate::endpoint::OrderOutcome;
use crate::endpoint::OrdersReport;
use crate::process::Shared;

/// Time between checks of an endpoint that is unhealthy or not yet in line with the bundle.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between checks of an endpoint that is healthy and in line with the bundle. They detect
/// models that changed since.
const STEADY_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time since the last heartbeat of an entry at which orders are still given, in
/// milliseconds. A side that was paused may hold an old bundle, so it must first receive the
/// number in force.
const MAX_HEARTBEAT_AGE_MS: u64 = 5_000;

/// Checks the endpoint's health until the process stops and reports each result to the control
/// thread. A check is made at once when `health_probe` is notified.
pub(crate) async fn watch_health(shared: Shared) {
    loop {
        let healthy = shared.endpoint().is_healthy().await;
        shared.control.do_send(HealthChecked { healthy });
        let interval = if healthy { STEADY_INTERVAL } else { RETRY_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shared.health_probe.notified() => {}
            () = shared.stop.wait() => return,
        }
    }
}

/// Fetches newer bundles and brings the endpoint in line with the one in force, until the process
/// stops.
pub(crate) async fn sync_bundle(shared: Shared) {
    let mut last_fetched = LastFetched::default();
    loop {
        let news = shared.control.send(GetBundleNews).await.unwrap_or_default();
        let current = news.current.as_ref().map_or(0, |(number, _)| *number);
        if news.highest > current {
            fetch_from_any(&news.sources, news.highest, &mut last_fetched, &shared).await;
        }
        let mut in_sync = false;
        if let Some((number, bundle)) = &news.current
            && news.last_heartbeat_age_ms <= MAX_HEARTBEAT_AGE_MS
            && news.highest <= *number
        {
            in_sync = reconcile_endpoint(*number, bundle, &shared).await;
        }
        let interval = if in_sync { STEADY_INTERVAL } else { RETRY_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shared.bundle_notify.notified() => {}
            () = shared.stop.wait() => return,
        }
    }
}

/// Fetches a bundle from the first entry that has it and puts it in force in this process.
async fn fetch_from_any(
    sources: &[SocketAddr],
    number: u64,
    last_fetched: &mut LastFetched,
    shared: &Shared,
) {
    for source in sources {
        match fetch_bundle(*source, number, last_fetched, shared).await {
            Ok(Some((number, bundle))) => {
                shared.control.do_send(InstallBundle { number, bundle: Arc::new(bundle) });
                return;
            }
            Ok(None) => {}
            Err(e) => log_event!(debug, Event::LinkFailed, %source, error = %e),
        }
    }
}

/// Text of the last bundle fetched, to which an entry may send a delta.
#[derive(Default)]
struct LastFetched {
    text: String,
}

/// Fetches a bundle from one entry. Returns none if the entry doesn't have it or its content is
/// invalid.
async fn fetch_bundle(
    source: SocketAddr,
    number: u64,
    last_fetched: &mut LastFetched,
    shared: &Shared,
) -> Result<Option<(u64, Bundle)>, LinkError> {
    let mut connection = LinkConnection::connect(source, &shared.secrets).await?;
    let digest = (!last_fetched.text.is_empty()).then(|| Digest::of(last_fetched.text.as_bytes()));
    connection.send(&ToOwner::FetchBundle { number, held: digest }).await?;
    let (number, text) = match connection.receive().await? {
        FromOwner::Bundle { number, digest, text } => {
            let digest_matches = Digest::of(text.as_bytes()) == digest;
            (number, digest_matches.then_some(text))
        }
        FromOwner::BundleDelta { number, delta } => {
            (number, apply_delta(&last_fetched.text, &delta))
        }
        _ => return Ok(None),
    };
    let parsed = text.and_then(|text| Some((parse_bundle(&text, "bundle in force").ok()?, text)));
    let Some((bundle, text)) = parsed else {
        log_event!(error, Event::BundleRejected, number);
        return Ok(None);
    };
    last_fetched.text = text;
    Ok(Some((number, bundle)))
}

/// Compares the models on the engine with the bundle and orders the loads and unloads that are
/// missing. Unloads wait until every load is done, so that a model is never without a ready
/// version. Returns whether the endpoint already had every model of the bundle. Plain services have
/// no models.
async fn reconcile_endpoint(number: u64, bundle: &Bundle, shared: &Shared) -> bool {
    let service = &shared.settings.service;
    if shared.settings.kind.0 == ServiceKind::Plain {
        let models = Vec::new();
        shared.control.do_send(ModelsReported { models, bundle_done: number });
        return true;
    }
    let Some(report) = shared.endpoint().get_orders().await else { return false };
    if report.highest > number {
        // The engine has received orders of a newer bundle. This process started after them and
        // doesn't know that bundle yet.
        return false;
    }
    let mut all_loaded = true;
    for model in bundle.models_of_service(service) {
        let (name, version) = (model.name.as_str(), model.version.as_str());
        if !is_ready(&report, name, version) {
            all_loaded = false;
            send_order(number, "load", name, version, shared).await;
        }
    }
    if all_loaded {
        let wanted = |name: &str| bundle.models.get(&ModelName::new(name)).is_some();
        for extra in report.ready.iter().filter(|r| !wanted(&r.model)) {
            send_order(number, "unload", &extra.model, &extra.version, shared).await;
        }
    }
    let models = report.ready.iter().map(|r| ModelName::new(&r.model)).collect();
    let bundle_done = if all_loaded { number } else { 0 };
    shared.control.do_send(ModelsReported { models, bundle_done });
    all_loaded
}

fn is_ready(report: &OrdersReport, name: &str, version: &str) -> bool {
    report.ready.iter().any(|r| r.model == name && r.version == version)
}

async fn send_order(number: u64, action: &str, model: &str, version: &str, shared: &Shared) {
    match shared.endpoint().send_order(number, action, model, version).await {
        OrderOutcome::CarriedOut => {
            shared.metrics.count("side.orders_given");
            log_event!(info, Event::OrderGiven, action, model, version, number);
        }
        outcome => {
            shared.metrics.count("side.orders_failed");
            log_event!(warn, Event::OrderFailed, action, model, version, number, end = ?outcome);
        }
    }
}
