//! The routes of batch jobs, and what tells routes apart, whatever their names are.

use std::sync::Arc;

use mulberry_protocol::job_address::JobAddress;
use mulberry_protocol::job_address::SubmittedPath;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::route::BatchLimits;
use mulberry_protocol::route::CallerLimits;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::route::RouteKind;
use mulberry_protocol::route::RouteTarget;

fn route(name: &str, kind: RouteKind, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: host.into(),
        path_start: prefix.into(),
        kind,
        timeout_ms: 0,
        first_part_ms: 0,
        priority: 0,
        targets: vec![RouteTarget { service: ServiceName::new("svc"), weight: 1 }],
        attempts: 1,
        resumable: false,
        batch: BatchLimits { completion_ms: 0, retention_ms: 0, max_waiting_tokens: 0 },
        is_public: false,
    })
}

fn configuration() -> Configuration {
    let routes = vec![
        route("r-0", RouteKind::Batch, "a.example", "/x/"),
        route("r-1", RouteKind::Batch, "a.example", "/x/y/"),
        route("r-2", RouteKind::Idempotent, "a.example", "/x/z/"),
        route("r-3", RouteKind::Batch, "b.example", "/x/"),
        route("r-4", RouteKind::Idempotent, "c.example", "/x/"),
    ];
    let limits =
        CallerLimits { header_bytes: 0, body_bytes: 0, header_timeout_ms: 0, idle_timeout_ms: 0 };
    Configuration { version: 1, routes, limits, accounts: None }
}

struct Case {
    name: &'static str,
    host: &'static str,
    path: SubmittedPath,
    route: Option<&'static str>,
}

fn known(path: &str) -> SubmittedPath {
    SubmittedPath::Known(path.into())
}

fn unknown(route: &str, item_path: &str) -> SubmittedPath {
    SubmittedPath::Unknown { route: route.into(), item_path: item_path.into() }
}

/// Guards against ROUTE of review/12: the name decided, whatever the host and the path were.
#[test]
fn route_of_a_job_follows_from_host_and_path() {
    let cases = [
        Case { name: "host and path", host: "a.example", path: known("/x/s"), route: Some("r-0") },
        Case {
            name: "host in capitals",
            host: "A.Example",
            path: known("/x/"),
            route: Some("r-0"),
        },
        Case { name: "longest", host: "a.example", path: known("/x/y/s"), route: Some("r-1") },
        Case {
            name: "no jobs there",
            host: "a.example",
            path: known("/x/z/s"),
            route: Some("r-0"),
        },
        Case { name: "another host", host: "b.example", path: known("/x/y/s"), route: Some("r-3") },
        Case { name: "no batch route", host: "c.example", path: known("/x/s"), route: None },
        Case { name: "no route", host: "a.example", path: known("/w/s"), route: None },
        Case {
            name: "earlier build: the items' path before the name",
            host: "a.example",
            path: unknown("r-0", "/x/y/1"),
            route: Some("r-1"),
        },
        Case {
            name: "earlier build: the name where the items' path finds none",
            host: "a.example",
            path: unknown("r-1", "/run/1"),
            route: Some("r-1"),
        },
        Case {
            name: "earlier build: the name of another host's route",
            host: "a.example",
            path: unknown("r-3", "/run/1"),
            route: None,
        },
        Case {
            name: "earlier build: the name of a route that takes no jobs",
            host: "a.example",
            path: unknown("r-2", "/run/1"),
            route: None,
        },
    ];
    let configuration = configuration();
    for case in cases {
        let address = JobAddress { host: case.host.into(), path: case.path };
        let found = configuration.route_of_job(&address);
        assert_eq!(found.map(|r| &*r.name), case.route, "{}", case.name);
    }
}

/// Guards against the same cause among routes without accounts: a route had the share of the one that had borne its
/// name, and entries at two versions added up the requests of two routes.
#[test]
fn routes_are_told_apart_by_host_and_prefix() {
    let hash = |name, host, prefix| route(name, RouteKind::Stream, host, prefix).place_hash(7);
    let own = hash("r-0", "a.example", "/x/");
    assert_eq!(hash("r-1", "A.Example", "/x/"), own, "another name");
    assert_ne!(hash("r-0", "b.example", "/x/"), own, "another host");
    assert_ne!(hash("r-0", "a.example", "/y/"), own, "another prefix");
    assert_ne!(hash("r-0", "a.example/", "x/"), own, "the same text");
}
