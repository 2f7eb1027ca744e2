//! Gives up items that are no longer owed to their callers: those under which endpoints crash, once the time for
//! which they are kept is over, and those that nothing can run any more.
//!
//! An accepted item is owed: endpoints may have crashed under it for another reason, so that it is run
//! again however often that happens, with growing pauses.

use mulberry_policy::item_state::ItemPhase;
use mulberry_policy::job_log::JobLog;
use mulberry_policy::job_prospects::Stranded;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::time::Millis;

use crate::fingerprint::fingerprint_text;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::job_routes::route_of;
use crate::shared::Endpoints;

/// Broken runs in a row after which an item is not kept beyond its time.
const MAX_OVERDUE_BROKEN_RUNS: u32 = 3;

/// Gives up the waiting items whose last runs all broke and whose retention time is over, and those of jobs
/// that have had nothing to run at for a while.
pub(crate) fn give_up_items(owner: &Owner, configuration: &Configuration) {
    let now = owner.now();
    let endpoints = owner.shared.endpoints.load();
    let mut state = owner.state.borrow_mut();
    let OwnerState { jobs, prospects, .. } = &mut *state;
    prospects.retain(|id| jobs.get(id).is_some_and(|log| !log.is_settled()));
    for (id, log) in jobs.iter_mut().filter(|(_, log)| !log.is_settled()) {
        let route = route_of(configuration, log);
        if let Some(route) = route {
            give_up_crashing_items(owner, id, log, route);
        }
        let stranded = find_stranded(route, log, &endpoints, now);
        if let Some(cause) = prospects.observe(id, stranded, now) {
            give_up_stranded(owner, id, log, cause);
        }
    }
}

/// Returns why nothing can run a job's items, if so.
fn find_stranded(
    route: Option<&Route>,
    log: &JobLog,
    endpoints: &Endpoints,
    now: Millis,
) -> Option<Stranded> {
    let Some(route) = route else { return Some(Stranded::RouteGone) };
    let has_endpoint =
        || endpoints.values().any(|e| route.open_targets().any(|t| t.service == e.service));
    (is_overdue(route, log, now) && !has_endpoint()).then_some(Stranded::NoEndpoint)
}

/// Gives up the waiting items of a job that nothing can run. What runs may still complete.
fn give_up_stranded(owner: &Owner, id: &JobId, log: &mut JobLog, cause: Stranded) {
    let items = log.give_up_waiting();
    if items > 0 {
        owner.shared.metrics.add("direct.items_given_up", items as u64);
        log_event!(warn, Event::ItemsStranded, job = %id, route = &*log.route, cause = ?cause, items);
    }
}

fn give_up_crashing_items(owner: &Owner, id: &JobId, log: &mut JobLog, route: &Route) {
    for index in find_crashing_items(route, log, owner.now()) {
        let Some(item) = log.give_up(index) else { continue };
        owner.shared.metrics.count("direct.items_given_up");
        log_event!(warn, Event::ItemGivenUp, job = %id, item = &*item.id,
            fingerprint = fingerprint_text(item.fingerprint()));
    }
}

/// Returns whether the time is over for which a job's items are kept. It counts from when this process learned of
/// the job: the clocks of VMs differ, and an item must never be given up too soon.
fn is_overdue(route: &Route, log: &JobLog, now: Millis) -> bool {
    now >= log.known_since + route.batch.retention_ms
}

/// Returns the indices of the waiting items that are to be given up since endpoints crash under them.
fn find_crashing_items(route: &Route, log: &JobLog, now: Millis) -> Vec<usize> {
    if !is_overdue(route, log, now) {
        return Vec::new();
    }
    let waiting = log.items().iter().enumerate();
    let waiting = waiting.filter(|(_, item)| matches!(item.phase, ItemPhase::Waiting(_)));
    let broken = waiting.filter(|(_, item)| item.broken_runs() >= MAX_OVERDUE_BROKEN_RUNS);
    broken.map(|(index, _)| index).collect()
}
