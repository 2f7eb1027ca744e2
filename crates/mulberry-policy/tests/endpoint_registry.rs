//! Endpoints that disappear from the store: during an outage, one by one, and many at once.

use mulberry_policy::endpoint_registry::EndpointRegistry;
use mulberry_policy::endpoint_registry::MASS_LOSS_GRACE_MS;
use mulberry_policy::endpoint_registry::MIN_OUTAGE_MS;
use mulberry_policy::endpoint_registry::REREGISTRATION_GRACE_MS;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::SoftwareVersion;
use mulberry_protocol::name::ZoneName;
use mulberry_protocol::time::Millis;

fn new_endpoint(number: usize, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::new(format!("e{number}")),
        service: ServiceName::new("captions"),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        software: SoftwareVersion::new("v1"),
        zone: ZoneName::new("a"),
        slots: 8,
        state,
        is_cold: false,
        started_unix_ms: 1,
    }
}

enum Step {
    StoreFails,
    StoreAnswers,
    Remove(&'static [usize]),
    ReplaceAll(&'static [usize]),
    Drain(usize),
    Register(usize),
    AdvanceMs(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    remaining: &'static [usize],
}

#[test]
fn missing_endpoints_are_kept_for_a_grace_period() {
    let cases = [
        Case {
            name: "one endpoint that disappears while the store works is dropped at once",
            steps: &[Step::StoreAnswers, Step::Remove(&[1])],
            remaining: &[0, 2, 3, 4, 5, 6, 7],
        },
        Case {
            name: "endpoints that expired during an outage are kept for the grace period",
            steps: &[
                Step::StoreFails,
                Step::StoreAnswers,
                Step::Remove(&[1, 2]),
                Step::AdvanceMs(1_500),
            ],
            remaining: &[0, 1, 2, 3, 4, 5, 6, 7],
        },
        Case {
            name: "a lost answer is no outage in which registrations lapse",
            steps: &[
                Step::StoreAnswers,
                Step::AdvanceMs(MIN_OUTAGE_MS - 1),
                Step::StoreFails,
                Step::StoreAnswers,
                Step::Remove(&[1]),
            ],
            remaining: &[0, 2, 3, 4, 5, 6, 7],
        },
        Case {
            name: "several lost answers may hide one",
            steps: &[
                Step::StoreAnswers,
                Step::AdvanceMs(1_000),
                Step::StoreFails,
                Step::AdvanceMs(1_000),
                Step::StoreFails,
                Step::StoreAnswers,
                Step::Remove(&[1]),
            ],
            remaining: &[0, 1, 2, 3, 4, 5, 6, 7],
        },
        Case {
            name: "those that have not registered again by its end are dropped",
            steps: &[
                Step::StoreFails,
                Step::StoreAnswers,
                Step::Remove(&[1, 2]),
                Step::Register(1),
                Step::AdvanceMs(REREGISTRATION_GRACE_MS),
            ],
            remaining: &[0, 1, 3, 4, 5, 6, 7],
        },
        Case {
            name: "a complete list without them counts as their removal",
            steps: &[
                Step::StoreFails,
                Step::StoreAnswers,
                Step::ReplaceAll(&[0, 1]),
                Step::AdvanceMs(REREGISTRATION_GRACE_MS),
            ],
            remaining: &[0, 1],
        },
        Case {
            name: "a draining endpoint gets no grace period",
            steps: &[Step::StoreFails, Step::StoreAnswers, Step::Drain(3), Step::Remove(&[3])],
            remaining: &[0, 1, 2, 4, 5, 6, 7],
        },
        Case {
            name: "a mass loss begins a grace period",
            steps: &[Step::StoreAnswers, Step::Remove(&[0, 1, 2]), Step::AdvanceMs(1_000)],
            remaining: &[0, 1, 2, 3, 4, 5, 6, 7],
        },
        Case {
            name: "the grace period of a mass loss ends",
            steps: &[
                Step::StoreAnswers,
                Step::Remove(&[0, 1, 2]),
                Step::AdvanceMs(MASS_LOSS_GRACE_MS),
            ],
            remaining: &[3, 4, 5, 6, 7],
        },
    ];
    for case in cases {
        let mut registry = EndpointRegistry::default();
        let mut now = Millis(10_000);
        registry.replace_all((0..8).map(|n| new_endpoint(n, EndpointState::Ready)).collect(), now);
        for step in case.steps {
            match step {
                Step::StoreFails => registry.record_store_failure(now),
                Step::StoreAnswers => registry.record_store_response(now),
                Step::Remove(numbers) => {
                    let names: Vec<_> = numbers
                        .iter()
                        .map(|n| new_endpoint(*n, EndpointState::Ready).name)
                        .collect();
                    registry.remove_all(&names, now);
                }
                Step::ReplaceAll(numbers) => {
                    let listed = numbers.iter().map(|n| new_endpoint(*n, EndpointState::Ready));
                    registry.replace_all(listed.collect(), now);
                }
                Step::Drain(number) => registry.put(new_endpoint(*number, EndpointState::Draining)),
                Step::Register(number) => registry.put(new_endpoint(*number, EndpointState::Ready)),
                Step::AdvanceMs(duration_ms) => {
                    now = now + *duration_ms;
                    registry.expire(now);
                }
            }
        }
        let mut remaining: Vec<String> =
            registry.endpoints().keys().map(|n| n.to_string()).collect();
        remaining.sort();
        let expected: Vec<String> = case.remaining.iter().map(|n| format!("e{n}")).collect();
        assert_eq!(remaining, expected, "{}", case.name);
    }
}
