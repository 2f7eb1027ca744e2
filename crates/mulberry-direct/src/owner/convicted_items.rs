//! Items of batch jobs that are convicted of crashing endpoints: when they may run, and when they are
//! given up.
//!
//! An accepted item is kept until its route's retention time is over, so that it is not given up
//! earlier, however often it has crashed endpoints.

use mulberry_policy::crash_suspects::ItemPermission;
use mulberry_policy::job_log::ItemPhase;
use mulberry_policy::job_log::ItemState;
use mulberry_policy::job_log::JobLog;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;

use crate::fingerprint::fingerprint_text;
use crate::owner::Owner;

/// Returns whether an item of the job may run now.
pub(crate) fn item_permission(
    owner: &Owner,
    route: &Route,
    log: &JobLog,
    item: &ItemState,
) -> ItemPermission {
    let Some(target) = route.targets.first() else { return ItemPermission::Run };
    let kept_until = log.known_since + route.batch.retention_ms;
    let suspects = owner.shared.crash_suspects();
    suspects.item_permission(item.fingerprint, &target.service, kept_until, owner.now())
}

/// Gives up the convicted items whose retention time is over.
pub(crate) fn give_up_convicted_items(owner: &Owner, configuration: &Configuration) {
    let mut state = owner.state.borrow_mut();
    for (id, log) in state.jobs.iter_mut().filter(|(_, log)| !log.is_settled()) {
        let Some(route) = configuration.route_by_name(&log.route) else { continue };
        for index in find_items_to_give_up(owner, route, log) {
            let Some(item) = log.give_up(index) else { continue };
            owner.shared.metrics.count("direct.items_given_up");
            log_event!(warn, Event::ItemGivenUp, job = %id, item = &*item.id,
                fingerprint = fingerprint_text(item.fingerprint()));
        }
    }
}

/// Returns the indices of the waiting items that are to be given up.
fn find_items_to_give_up(owner: &Owner, route: &Route, log: &JobLog) -> Vec<usize> {
    let items = log.items().iter().enumerate();
    let waiting = items.filter(|(_, item)| matches!(item.phase, ItemPhase::Waiting(_)));
    let is_over =
        |item: &ItemState| item_permission(owner, route, log, item) == ItemPermission::GiveUp;
    waiting.filter(|(_, item)| is_over(item)).map(|(index, _)| index).collect()
}
