//! Keeps the endpoint in step with the bundle in force: fetches it, gives orders, finds drift.

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

use crate::control::AskBundleNews;
use crate::control::HealthSeen;
use crate::control::ModelsSeen;
use crate::control::PutBundle;
use crate::endpoint::OrderEnd;
use crate::endpoint::OrdersReport;
use crate::process::Shared;

/// Time between looks at an endpoint that is not well or not in step with the bundle.
const LOOK_SOON: Duration = Duration::from_millis(200);

/// Time between looks at an endpoint that is well and in step, to find drift.
const LOOK_LATER: Duration = Duration::from_secs(2);

/// Orders are given only if an entry confirmed the bundle within this time, in milliseconds: a side
/// that was paused must hear the present number first.
const FRESH_NEWS_MS: u64 = 5_000;

/// Watches the endpoint's health and reports every change.
pub(crate) async fn watch_health(shared: Shared) {
    loop {
        let healthy = shared.endpoint().is_healthy().await;
        shared.control.do_send(HealthSeen { healthy });
        let wait = if healthy { LOOK_LATER } else { LOOK_SOON };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.probe.notified() => {}
            () = shared.stopped.wait() => return,
        }
    }
}

/// Fetches newer bundles and brings the endpoint in line with the one in force.
pub(crate) async fn follow_bundle(shared: Shared) {
    let mut fetched = Held::default();
    loop {
        let news = shared.control.send(AskBundleNews).await.unwrap_or_default();
        let held = news.held.as_ref().map_or(0, |(number, _)| *number);
        if news.highest > held {
            fetch_from_any(&news.sources, news.highest, &mut fetched, &shared).await;
        }
        let mut in_step = false;
        if let Some((number, bundle)) = &news.held
            && news.heard_ms_ago <= FRESH_NEWS_MS
            && news.highest <= *number
        {
            in_step = align_endpoint(*number, bundle, &shared).await;
        }
        let wait = if in_step { LOOK_LATER } else { LOOK_SOON };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.news.notified() => {}
            () = shared.stopped.wait() => return,
        }
    }
}

async fn fetch_from_any(sources: &[SocketAddr], number: u64, held: &mut Held, shared: &Shared) {
    for source in sources {
        match fetch_bundle(*source, number, held, shared).await {
            Ok(Some((number, bundle))) => {
                shared.control.do_send(PutBundle { number, bundle: Arc::new(bundle) });
                return;
            }
            Ok(None) => {}
            Err(e) => log_event!(debug, Event::LinkFailed, %source, error = %e),
        }
    }
}

/// The text of the last bundle fetched, from which a delta may start.
#[derive(Default)]
struct Held {
    text: String,
}

async fn fetch_bundle(
    source: SocketAddr,
    number: u64,
    held: &mut Held,
    shared: &Shared,
) -> Result<Option<(u64, Bundle)>, LinkError> {
    let mut connection = LinkConnection::connect(source, &shared.secrets).await?;
    let digest = (!held.text.is_empty()).then(|| Digest::of(held.text.as_bytes()));
    connection.send(&ToOwner::FetchBundle { number, held: digest }).await?;
    let (number, text) = match connection.receive().await? {
        FromOwner::Bundle { number, digest, text } => {
            let genuine = Digest::of(text.as_bytes()) == digest;
            (number, genuine.then_some(text))
        }
        FromOwner::BundleDelta { number, delta } => (number, apply_delta(&held.text, &delta)),
        _ => return Ok(None),
    };
    let parsed = text.and_then(|text| Some((parse_bundle(&text, "bundle in force").ok()?, text)));
    let Some((bundle, text)) = parsed else {
        log_event!(error, Event::BundleRejected, number);
        return Ok(None);
    };
    held.text = text;
    Ok(Some((number, bundle)))
}

/// Gives the orders that are still missing. Loads come before unloads, so that a model is never
/// without a ready version. Returns whether the endpoint was in step already.
async fn align_endpoint(number: u64, bundle: &Bundle, shared: &Shared) -> bool {
    let service = &shared.settings.service;
    if shared.settings.kind.0 == ServiceKind::Plain {
        let models = Vec::new();
        shared.control.do_send(ModelsSeen { models, bundle_done: number });
        return true;
    }
    let Some(report) = shared.endpoint().orders().await else { return false };
    if report.highest > number {
        // The endpoint has seen a newer bundle than this process, which started since.
        return false;
    }
    let mut done = true;
    for model in bundle.models_of_service(service) {
        let (name, version) = (model.name.as_str(), model.version.as_str());
        if !is_ready(&report, name, version) {
            done = false;
            give_order(number, "load", name, version, shared).await;
        }
    }
    if done {
        let wanted = |name: &str| bundle.models.get(&ModelName::new(name)).is_some();
        for extra in report.ready.iter().filter(|r| !wanted(&r.model)) {
            give_order(number, "unload", &extra.model, &extra.version, shared).await;
        }
    }
    let models = report.ready.iter().map(|r| ModelName::new(&r.model)).collect();
    let bundle_done = if done { number } else { 0 };
    shared.control.do_send(ModelsSeen { models, bundle_done });
    done
}

fn is_ready(report: &OrdersReport, name: &str, version: &str) -> bool {
    report.ready.iter().any(|r| r.model == name && r.version == version)
}

async fn give_order(number: u64, action: &str, model: &str, version: &str, shared: &Shared) {
    match shared.endpoint().order(number, action, model, version).await {
        OrderEnd::CarriedOut => {
            shared.metrics.count("side.orders_given");
            log_event!(info, Event::OrderGiven, action, model, version, number);
        }
        end => {
            shared.metrics.count("side.orders_failed");
            log_event!(warn, Event::OrderFailed, action, model, version, number, ?end);
        }
    }
}
