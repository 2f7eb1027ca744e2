//! Services that run one software version, several, or one after the other.

use mulberry_policy::version_history::VersionHistory;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::SoftwareVersion;
use mulberry_protocol::time::Millis;

const SPAN_MS: u64 = 1_000;

enum Step {
    /// The versions of the service's endpoints at a time.
    Seen(u64, &'static [&'static str]),
    /// Changes may have been missed.
    Stale,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// The only version at 5,000 ms, if there is one.
    only: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case { name: "nothing is known", steps: &[], only: None },
    Case { name: "one for long", steps: &[Step::Seen(0, &["v1", "v1"])], only: Some("v1") },
    Case { name: "one, known lately", steps: &[Step::Seen(4_500, &["v1"])], only: None },
    Case { name: "two", steps: &[Step::Seen(0, &["v1", "v2"])], only: None },
    Case {
        name: "one after another",
        steps: &[Step::Seen(0, &["v1"]), Step::Seen(4_500, &["v2"])],
        only: None,
    },
    Case {
        name: "a second one, for a moment",
        steps: &[
            Step::Seen(0, &["v1"]),
            Step::Seen(4_200, &["v1", "v2"]),
            Step::Seen(4_300, &["v1"]),
        ],
        only: None,
    },
    Case {
        name: "a second one, long ago",
        steps: &[Step::Seen(0, &["v1", "v2"]), Step::Seen(4_000, &["v2"])],
        only: Some("v2"),
    },
    Case {
        name: "no endpoints for a moment",
        steps: &[Step::Seen(0, &["v1"]), Step::Seen(4_500, &[]), Step::Seen(4_600, &["v1"])],
        only: Some("v1"),
    },
    Case {
        name: "changes may have been missed",
        steps: &[Step::Seen(0, &["v1"]), Step::Stale, Step::Seen(4_500, &["v1"])],
        only: None,
    },
];

fn endpoint(software: &str) -> EndpointRecord {
    EndpointRecord {
        name: "e".into(),
        service: "captions".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        software: software.into(),
        zone: "a".into(),
        slots: 8,
        state: EndpointState::Ready,
        is_cold: false,
        started_unix_ms: 1,
    }
}

#[test]
fn version_is_the_only_one_if_it_has_been_for_the_whole_span() {
    for case in CASES {
        let mut history = VersionHistory::default();
        for step in case.steps {
            match step {
                Step::Seen(at, versions) => {
                    let endpoints: Vec<_> = versions.iter().map(|v| endpoint(v)).collect();
                    history.record(endpoints.iter(), Millis(*at));
                }
                Step::Stale => history.clear(),
            }
        }
        let only = history.only_version(&"captions".into(), SPAN_MS, Millis(5_000));
        assert_eq!(only, case.only.map(SoftwareVersion::from).as_ref(), "{}", case.name);
    }
}
