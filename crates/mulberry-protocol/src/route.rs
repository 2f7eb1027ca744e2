//! The configuration of a deployment without sides: routes to services, and limits on callers.

use std::sync::Arc;

use crate::account::Accounts;
use crate::closed_set;
use crate::digest::stable_hash;
use crate::job_address::JobAddress;
use crate::job_address::SubmittedPath;
use crate::name::ServiceName;
use crate::value_type;

closed_set! {
    /// How the requests of a route are answered, and whether they may be run again.
    pub enum RouteKind {
        /// Requests may run more than once.
        Idempotent,
        /// A request is run at most once each time that the caller sends it.
        AtMostOnce,
        /// The response is a stream of numbered events.
        Stream,
        /// Requests submit batch jobs.
        Batch,
    }
}

value_type! {
    /// A service that gets a share of a route's requests.
    pub struct RouteTarget {
        /// Name of the service.
        pub service: ServiceName,
        /// Share of the requests, relative to the route's other targets.
        pub weight: u32,
    }
}

value_type! {
    /// Deadlines and quota of a route's batch jobs.
    pub struct BatchLimits {
        /// Time from the first submission until all results are due, in milliseconds.
        pub completion_ms: u64,
        /// Time from the first submission after which an item may be given up, in milliseconds.
        pub retention_ms: u64,
        /// Most tokens that the waiting items of the route may have in total; zero for no limit.
        pub max_waiting_tokens: u64,
    }
}

value_type! {
    /// A route: which requests it takes and how they are served.
    pub struct Route {
        /// Name, unique within a configuration. In the next one it may be that of another route.
        pub name: Arc<str>,
        /// Host name of the requests, compared without regard to case.
        pub host: Arc<str>,
        /// Prefix of the requests' paths, with a slash at both ends.
        pub path_start: Arc<str>,
        /// How requests are answered and whether they may be run again.
        pub kind: RouteKind,
        /// Longest time that a caller is kept waiting, in milliseconds; zero for no limit.
        pub timeout_ms: u64,
        /// Longest time that a caller waits for the first part of a stream, in milliseconds; zero if the
        /// configuration does not tell.
        pub first_part_ms: u64,
        /// Priority of the requests; zero is the most urgent.
        pub priority: u32,
        /// Services that the requests are divided between; never empty.
        pub targets: Vec<RouteTarget>,
        /// Most endpoints at which a request may be run each time that the caller sends it.
        pub attempts: u32,
        /// Whether another endpoint can continue a broken stream.
        pub resumable: bool,
        /// Deadlines and quota of batch jobs.
        pub batch: BatchLimits,
        /// Whether requests need no API key where the configuration has client accounts.
        pub is_public: bool,
    }
}

impl Route {
    /// Returns whether a request may be run a second time.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Stream => self.resumable,
            RouteKind::AtMostOnce => false,
        }
    }

    /// Returns a hash of what selects the route, which is the same in each version that has it. `seed` is that of
    /// [`stable_hash`].
    pub fn place_hash(&self, seed: u64) -> u64 {
        let host = stable_hash(self.host.to_ascii_lowercase().as_bytes(), seed);
        stable_hash(self.path_start.as_bytes(), host)
    }

    /// Returns the targets that get requests: those whose weight is not zero.
    pub fn open_targets(&self) -> impl Iterator<Item = &RouteTarget> {
        self.targets.iter().filter(|t| t.weight > 0)
    }

    /// Picks a service by weight, given a random number that is uniform over `u64`: among those that are
    /// usable now or, if none is, among all. Returns `None` if all weights are zero.
    pub fn pick_service(
        &self,
        random: u64,
        is_usable: impl Fn(&ServiceName) -> bool,
    ) -> Option<&ServiceName> {
        let usable = self.open_targets().filter(|t| is_usable(&t.service));
        let usable: Vec<&RouteTarget> = usable.collect();
        if usable.is_empty() {
            return pick_by_weight(&self.open_targets().collect::<Vec<_>>(), random);
        }
        pick_by_weight(&usable, random)
    }
}

fn pick_by_weight<'a>(targets: &[&'a RouteTarget], random: u64) -> Option<&'a ServiceName> {
    let total: u64 = targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut offset = random.checked_rem(total)?;
    for target in targets {
        let weight = u64::from(target.weight);
        if offset < weight {
            return Some(&target.service);
        }
        offset -= weight;
    }
    None
}

value_type! {
    /// Limits on what callers send.
    pub struct CallerLimits {
        /// Largest request line and headers of a request, in bytes.
        pub header_bytes: usize,
        /// Largest body of a request, in bytes.
        pub body_bytes: usize,
        /// Time within which the headers must arrive, in milliseconds.
        pub header_timeout_ms: u64,
        /// Time for which a connection may stay idle, in milliseconds.
        pub idle_timeout_ms: u64,
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version number, which rises with each change.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Client accounts. Without them, requests need no API key.
    pub accounts: Option<Accounts>,
}

impl Configuration {
    /// Returns the route of a request: of the routes for the host, the one with the longest prefix
    /// of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        longest_prefix(self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host)), path)
    }

    /// Returns the route to which the items of a batch job belong: the batch route that takes its submission now. To
    /// the job's caller that is the same route, whatever its name is in this version.
    ///
    /// If the path of the submission is not known, that of the job's first item stands for it. A route's name only
    /// counts among the host's own routes, if the path finds none: the host is certain to be the caller's.
    pub fn route_of_job(&self, address: &JobAddress) -> Option<&Arc<Route>> {
        let is_of_host = |r: &&Arc<Route>| r.host.eq_ignore_ascii_case(&address.host);
        let batch = || self.routes.iter().filter(|r| r.kind == RouteKind::Batch).filter(is_of_host);
        match &address.path {
            SubmittedPath::Known(path) => longest_prefix(batch(), path),
            SubmittedPath::Unknown { route, item_path } => {
                longest_prefix(batch(), item_path).or_else(|| batch().find(|r| r.name == *route))
            }
        }
    }
}

/// Returns the route with the longest prefix of the path.
fn longest_prefix<'a>(
    routes: impl Iterator<Item = &'a Arc<Route>>,
    path: &str,
) -> Option<&'a Arc<Route>> {
    routes.filter(|r| path.starts_with(&*r.path_start)).max_by_key(|r| r.path_start.len())
}
