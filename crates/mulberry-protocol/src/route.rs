//! The configuration in force: routes, the services that they lead to, and limits on callers.

use std::sync::Arc;

use crate::closed_set;
use crate::name::ServiceName;
use crate::value_type;

closed_set! {
    /// What may be repeated on a route.
    pub enum RouteKind {
        /// Requests may run more than once.
        Idempotent,
        /// Requests run at most once for each attempt of the caller.
        AtMostOnce,
        /// The answer is a stream of numbered events.
        Stream,
        /// Requests submit batch jobs.
        Batch,
    }
}

value_type! {
    /// A service that a route leads to, with its share of the requests.
    pub struct RouteTarget {
        /// The service.
        pub service: ServiceName,
        /// Share relative to the route's other targets.
        pub weight: u32,
    }
}

value_type! {
    /// What holds for batch jobs of a route.
    pub struct BatchLimits {
        /// Milliseconds from the first submission until all results are due.
        pub completion_ms: u64,
        /// Milliseconds from the first submission after which an item may be abandoned.
        pub retention_ms: u64,
        /// Most tokens that may wait on the route, zero for no limit.
        pub max_waiting_tokens: u64,
    }
}

value_type! {
    /// A route: which requests it takes and how they are served.
    pub struct Route {
        /// Name, unique within a configuration.
        pub name: Arc<str>,
        /// Host that requests name.
        pub host: Arc<str>,
        /// Start of the paths, with a slash at both ends.
        pub path_start: Arc<str>,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Longest time that a caller is kept waiting, in milliseconds, zero for no limit.
        pub timeout_ms: u64,
        /// Time in which an answer is on time, in milliseconds.
        pub target_ms: u64,
        /// Rank, zero is the most urgent.
        pub priority: u32,
        /// Services, never empty.
        pub targets: Vec<RouteTarget>,
        /// Most endpoints on which one attempt of a caller may run.
        pub attempts: u32,
        /// Whether a broken stream may go on at another endpoint.
        pub resumable: bool,
        /// What holds for batch jobs.
        pub batch: BatchLimits,
    }
}

impl Route {
    /// Tells whether a request may run a second time.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Stream => self.resumable,
            RouteKind::AtMostOnce => false,
        }
    }

    /// Chooses a service by weight; `draw` is uniform over all numbers.
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

value_type! {
    /// Limits on what callers send.
    pub struct CallerLimits {
        /// Largest head of a request, in bytes.
        pub header_bytes: usize,
        /// Largest body of a request, in bytes.
        pub body_bytes: usize,
        /// Time in which a head must arrive, in milliseconds.
        pub header_timeout_ms: u64,
        /// Time that a connection may stay idle, in milliseconds.
        pub idle_timeout_ms: u64,
    }
}

value_type! {
    /// One version of the configuration.
    pub struct Configuration {
        /// Version; rises with each change.
        pub version: u64,
        /// Routes in no order.
        pub routes: Vec<Arc<Route>>,
        /// Limits on callers.
        pub limits: CallerLimits,
    }
}

impl Configuration {
    /// Finds the route of a request: that of the host with the longest prefix of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.path_start))
            .max_by_key(|r| r.path_start.len())
    }

    /// Finds a route by its name.
    pub fn route_by_name(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|r| &*r.name == name)
    }
}
