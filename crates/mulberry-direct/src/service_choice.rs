//! Which service of a route gets a request or a batch item: one choice for both.

use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::route::Route;

use crate::shared::SharedState;

impl SharedState {
    /// Picks a service of the route by weight, given a random number that is uniform over `u64`. A service
    /// none of whose endpoints takes anything now is passed over as long as another one has one that
    /// does. The endpoints that `is_ruled_out` names don't count.
    pub(crate) fn pick_service<'a>(
        &self,
        route: &'a Route,
        random: u64,
        is_ruled_out: impl Fn(&EndpointRecord) -> bool,
    ) -> Option<&'a ServiceName> {
        if !is_split(route) {
            return route.pick_service(random, |_| true);
        }
        route.pick_service(random, |service| self.has_open_endpoint(service, &is_ruled_out))
    }

    /// Returns whether an endpoint of the service takes requests and items now: it is ready, neither leaving
    /// nor ejected, has not lately been full, and may get one within the limit that it names.
    pub(crate) fn has_open_endpoint(
        &self,
        service: &ServiceName,
        is_ruled_out: impl Fn(&EndpointRecord) -> bool,
    ) -> bool {
        let now = self.clock.now();
        let endpoints = self.endpoints.load();
        let ready =
            endpoints.values().filter(|e| e.service == *service && e.state == EndpointState::Ready);
        ready.into_iter().any(|e| {
            let key = e.load_key();
            !is_ruled_out(e)
                && !self.leaving().is_leaving(e)
                && !self.ejector().is_ejected(&e.name, now)
                && !self.is_full(key, now)
                && self.limits().wait_ms(key, now) == 0
        })
    }
}

/// Returns whether more than one service gets a share of the route's requests.
pub(crate) fn is_split(route: &Route) -> bool {
    route.open_targets().nth(1).is_some()
}
