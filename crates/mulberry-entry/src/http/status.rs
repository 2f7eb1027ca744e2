//! Health, readiness and status.

use actix_web::HttpResponse;
use actix_web::web;
use serde_json::json;

use crate::control::AskSides;
use crate::controls::Controls;
use crate::jobs::AskJobs;
use crate::shared::Shared;

/// Tells the balancer whether to send callers here.
pub(super) async fn readyz(shared: web::Data<Shared>) -> HttpResponse {
    let serves = !shared.is_leaving() && !shared.is_control_stuck();
    if shared.snapshot.load().ready && serves {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// Shows the state of the process, for operators inside the deployment.
pub(super) async fn status(
    shared: web::Data<Shared>,
    controls: web::Data<Controls>,
) -> HttpResponse {
    let sides = controls.entry.send(AskSides).await.unwrap_or_default();
    let jobs = controls.jobs.send(AskJobs).await.unwrap_or_default();
    let snapshot = shared.snapshot.load();
    let bundle = snapshot.bundle.as_ref();
    HttpResponse::Ok().json(json!({
        "entry": shared.settings.entry.as_str(),
        "zone": shared.settings.zone.as_str(),
        "leaving": shared.is_leaving(),
        "ready": snapshot.ready,
        "bundle": bundle.map_or(0, |b| b.number),
        "digest": bundle.map(|b| b.digest.as_str().to_owned()),
        "store-failing": shared.budget.is_failing(),
        "sides": sides,
        "jobs": jobs,
        "counters": shared.metrics.totals(),
    }))
}
