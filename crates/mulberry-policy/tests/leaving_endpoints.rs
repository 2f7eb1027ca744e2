//! Endpoints that say that they leave, and those that are registered under their names afterwards.

use mulberry_policy::leaving_endpoints::LeavingEndpoints;
use mulberry_policy::leaving_endpoints::MAX_LEAVING;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;

fn endpoint(number: usize, started_unix_ms: u64) -> EndpointRecord {
    EndpointRecord {
        name: format!("e{number}").as_str().into(),
        service: "captions".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        software: "v1".into(),
        zone: "a".into(),
        slots: 8,
        state: EndpointState::Ready,
        is_cold: false,
        started_unix_ms,
    }
}

#[test]
fn endpoint_leaves_until_another_process_has_its_name() {
    let mut leaving = LeavingEndpoints::default();
    assert!(leaving.record(&endpoint(1, 5)));
    assert!(!leaving.record(&endpoint(1, 5)), "it says so in each response");
    assert!(leaving.is_leaving(&endpoint(1, 5)));
    assert!(!leaving.is_leaving(&endpoint(2, 5)));
    assert!(!leaving.is_leaving(&endpoint(1, 6)), "the next process of that name");
    assert!(leaving.record(&endpoint(1, 6)));
    assert!(leaving.is_leaving(&endpoint(1, 6)));
}

#[test]
fn number_of_leaving_endpoints_is_bounded() {
    let mut leaving = LeavingEndpoints::default();
    (0..=MAX_LEAVING).for_each(|number| {
        leaving.record(&endpoint(number, 1));
    });
    assert!(!leaving.is_leaving(&endpoint(0, 1)));
    assert!(leaving.is_leaving(&endpoint(1, 1)) && leaving.is_leaving(&endpoint(MAX_LEAVING, 1)));
}
