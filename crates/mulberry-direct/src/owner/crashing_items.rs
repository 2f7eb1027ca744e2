//! Gives up items under which endpoints crash, once the time for which they are kept is over.
//!
//! An accepted item is owed: endpoints may have crashed under it for another reason, so that it is run
//! again however often that happens, with growing pauses.

use mulberry_policy::job_log::ItemPhase;
use mulberry_policy::job_log::JobLog;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::time::Millis;

use crate::fingerprint::fingerprint_text;
use crate::owner::Owner;

/// Broken runs in a row after which an item is not kept beyond its time.
const MAX_OVERDUE_BROKEN_RUNS: u32 = 3;

/// Gives up the waiting items whose last runs all broke and whose retention time is over.
pub(crate) fn give_up_crashing_items(owner: &Owner, configuration: &Configuration) {
    let now = owner.now();
    let mut state = owner.state.borrow_mut();
    for (id, log) in state.jobs.iter_mut().filter(|(_, log)| !log.is_settled()) {
        let Some(route) = configuration.route_by_name(&log.route) else { continue };
        for index in find_items_to_give_up(route, log, now) {
            let Some(item) = log.give_up(index) else { continue };
            owner.shared.metrics.count("direct.items_given_up");
            log_event!(warn, Event::ItemGivenUp, job = %id, item = &*item.id,
                fingerprint = fingerprint_text(item.fingerprint()));
        }
    }
}

/// Returns the indices of the waiting items that are to be given up.
fn find_items_to_give_up(route: &Route, log: &JobLog, now: Millis) -> Vec<usize> {
    if now < log.known_since + route.batch.retention_ms {
        return Vec::new();
    }
    let waiting = log.items().iter().enumerate();
    let waiting = waiting.filter(|(_, item)| matches!(item.phase, ItemPhase::Waiting(_)));
    let broken = waiting.filter(|(_, item)| item.broken_runs() >= MAX_OVERDUE_BROKEN_RUNS);
    broken.map(|(index, _)| index).collect()
}
