//! The routes to which batch jobs belong, and the services that their items go to.

use indexmap::IndexSet;

use mulberry_policy::batch_share::VERSION_WAIT_MS;
use mulberry_policy::item_state::ItemState;
use mulberry_policy::job_log::JobLog;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::route::RouteKind;
use mulberry_protocol::time::Millis;

use crate::owner::Owner;
use crate::service_choice::is_split;

/// Returns the route to which a job's items belong now, if there is one.
pub(crate) fn route_of<'a>(configuration: &'a Configuration, log: &JobLog) -> Option<&'a Route> {
    configuration.route_of_job(&log.address).map(|route| &**route)
}

/// Returns whether an endpoint of the service takes items now, as far as this owner can reach it.
fn has_open_endpoint(owner: &Owner, service: &ServiceName) -> bool {
    let now = owner.now();
    let state = owner.state.borrow();
    let is_unreached =
        |e: &EndpointRecord| state.unreached.get(&e.load_key()).is_some_and(|until| now < *until);
    owner.shared.has_open_endpoint(service, is_unreached)
}

/// Which items of split routes a plan for one service takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Round {
    /// Those that are the service's by the weights.
    OwnShare,
    /// Those of other services that would be late if they waited there any longer.
    Overflow,
}

/// An item that waits, with what decides about its service.
pub(crate) struct WaitingAt<'a> {
    pub(crate) route: &'a Route,
    pub(crate) item: &'a ItemState,
    /// When it must begin to be in time.
    pub(crate) latest_start: Millis,
}

/// The services that batch routes send items to, as seen at the beginning of a plan.
pub(crate) struct BatchServices {
    /// All that get a share of some batch route.
    pub(crate) all: IndexSet<ServiceName>,
    /// Those that share a route with others, and have an endpoint that takes items now.
    pub(crate) open_of_split: IndexSet<ServiceName>,
}

impl BatchServices {
    /// Lists the services of the configuration.
    pub(crate) fn list(owner: &Owner, configuration: &Configuration) -> Self {
        let mut services = Self { all: IndexSet::new(), open_of_split: IndexSet::new() };
        for route in configuration.routes.iter().filter(|r| r.kind == RouteKind::Batch) {
            let is_split = is_split(route);
            for target in route.open_targets() {
                services.all.insert(target.service.clone());
                if is_split && has_open_endpoint(owner, &target.service) {
                    services.open_of_split.insert(target.service.clone());
                }
            }
        }
        services
    }

    /// Returns whether a waiting item may start at the service in this round.
    pub(crate) fn takes(
        &self,
        service: &ServiceName,
        waiting: &WaitingAt<'_>,
        round: Round,
        now: Millis,
    ) -> bool {
        let is_own = self.service_of(waiting) == Some(service);
        match round {
            Round::OwnShare => is_own,
            Round::Overflow => {
                let WaitingAt { route, item, latest_start } = *waiting;
                let is_awaited = item.awaited_origin().is_some()
                    && now.since(item.progress.updated_at) < VERSION_WAIT_MS;
                let is_target = || route.open_targets().any(|t| t.service == *service);
                !is_own && !is_awaited && now >= latest_start && is_target()
            }
        }
    }

    /// Returns the service of a waiting item: the one that began its output, else one by weight, the same one
    /// in each plan as long as the weights and the open services stay the same.
    fn service_of<'a>(&self, waiting: &WaitingAt<'a>) -> Option<&'a ServiceName> {
        let WaitingAt { route, item, .. } = waiting;
        if !is_split(route) {
            return route.open_targets().next().map(|t| &t.service);
        }
        let is_open = |service: &ServiceName| self.open_of_split.contains(service);
        let began = item.awaited_origin().map(|origin| &origin.service);
        let goes_on = route.open_targets().find(|t| Some(&t.service) == began);
        match goes_on.filter(|t| is_open(&t.service)) {
            Some(target) => Some(&target.service),
            None => route.pick_service(stable_hash(item.item.id.as_bytes(), 0), is_open),
        }
    }
}
