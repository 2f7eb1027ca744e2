//! Which endpoint an entry without sides takes, by load pattern.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_policy::routing::COLD_WAIT_MS;
use mulberry_policy::routing::Candidate;
use mulberry_policy::routing::RoutingMode;
use mulberry_policy::routing::choose_endpoint;

/// An endpoint: requests of all in flight, slots, and whether it is near, has just started, or failed.
#[derive(Clone, Copy)]
struct Endpoint {
    in_flight: u32,
    slots: u32,
    near: bool,
    cold: bool,
    failed: bool,
}

const AT_REST: Endpoint =
    Endpoint { in_flight: 0, slots: 8, near: true, cold: false, failed: false };

struct Pattern {
    name: &'static str,
    endpoints: &'static [Endpoint],
    /// Every endpoint that may be chosen, and no other.
    chosen: &'static [usize],
}

const PATTERNS: &[Pattern] = &[
    Pattern { name: "at rest: all alike", endpoints: &[AT_REST; 3], chosen: &[0, 1, 2] },
    Pattern {
        name: "the least loaded by share of its slots",
        endpoints: &[
            Endpoint { in_flight: 3, ..AT_REST },
            Endpoint { in_flight: 4, slots: 16, ..AT_REST },
        ],
        chosen: &[1],
    },
    Pattern {
        name: "another zone only when it is worth the way",
        endpoints: &[Endpoint { in_flight: 1, ..AT_REST }, Endpoint { near: false, ..AT_REST }],
        chosen: &[0],
    },
    Pattern {
        name: "a burst in one zone goes to the others",
        endpoints: &[
            Endpoint { in_flight: 9, ..AT_REST },
            Endpoint { in_flight: 2, near: false, ..AT_REST },
        ],
        chosen: &[1],
    },
    Pattern {
        name: "a release: endpoints that have just started get fewer",
        endpoints: &[Endpoint { in_flight: 3, ..AT_REST }, Endpoint { cold: true, ..AT_REST }],
        chosen: &[0],
    },
    Pattern {
        name: "a release in a burst: they help when the others are half full",
        endpoints: &[Endpoint { in_flight: 5, ..AT_REST }, Endpoint { cold: true, ..AT_REST }],
        chosen: &[1],
    },
    Pattern {
        name: "failed endpoints only when no other is left",
        endpoints: &[Endpoint { in_flight: 7, ..AT_REST }, Endpoint { failed: true, ..AT_REST }],
        chosen: &[0],
    },
    Pattern {
        name: "every endpoint has failed",
        endpoints: &[Endpoint { failed: true, ..AT_REST }; 2],
        chosen: &[0, 1],
    },
    Pattern { name: "there is none", endpoints: &[], chosen: &[] },
];

fn candidate(index: usize, endpoint: &Endpoint) -> Candidate {
    Candidate {
        name_hash: index as u64,
        near: endpoint.near,
        own_in_flight: 0,
        reported_online: endpoint.in_flight,
        limit: endpoint.slots,
        reported_wait_ms: if endpoint.cold { COLD_WAIT_MS } else { 0 },
        avoid: endpoint.failed,
    }
}

#[test]
fn load_patterns() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for pattern in PATTERNS {
        let candidates: Vec<Candidate> =
            pattern.endpoints.iter().enumerate().map(|(i, e)| candidate(i, e)).collect();
        let mut chosen: Vec<usize> = (0..100)
            .filter_map(|_| choose_endpoint(RoutingMode::LeastLoaded, &candidates, None, &mut rng))
            .collect();
        chosen.sort_unstable();
        chosen.dedup();
        assert_eq!(chosen, pattern.chosen, "{}", pattern.name);
    }
}
