//! Handlers for readiness and status.

use actix_web::HttpResponse;
use actix_web::web;
use serde_json::json;

use crate::actors::ControlActors;
use crate::control::ListSides;
use crate::jobs::SummarizeJobs;
use crate::shared::Shared;

/// Tells the load balancer whether this entry can serve callers.
pub(super) async fn readyz(shared: web::Data<Shared>) -> HttpResponse {
    let accepts_requests = !shared.is_leaving() && !shared.is_control_stalled();
    if shared.snapshot.load().ready && accepts_requests {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// Shows the state of the process, for operators inside the deployment.
pub(super) async fn status(
    shared: web::Data<Shared>,
    actors: web::Data<ControlActors>,
) -> HttpResponse {
    let sides = actors.entry.send(ListSides).await.unwrap_or_default();
    let jobs = actors.jobs.send(SummarizeJobs).await.unwrap_or_default();
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
