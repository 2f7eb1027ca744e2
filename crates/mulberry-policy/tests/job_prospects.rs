//! Jobs that have nothing to run at: when their items are given up.

use mulberry_policy::job_prospects::JobProspects;
use mulberry_policy::job_prospects::STRANDED_GRACE_MS;
use mulberry_policy::job_prospects::Stranded;
use mulberry_protocol::time::Millis;

struct Case {
    name: &'static str,
    /// What was seen, each with its time in milliseconds.
    seen: &'static [(u64, Option<Stranded>)],
    /// Why the items are given up at the last time.
    given_up: Option<Stranded>,
}

const GONE: Option<Stranded> = Some(Stranded::RouteGone);
const NO_ENDPOINT: Option<Stranded> = Some(Stranded::NoEndpoint);

/// Guards against LOST of review/7 (items that nothing ends) and against its opposite: items that are given up
/// though the next version of the configuration brings their route back.
#[test]
fn items_are_given_up_once_their_job_was_stranded_for_a_while() {
    let cases = [
        Case { name: "just stranded", seen: &[(0, GONE)], given_up: None },
        Case {
            name: "almost long enough",
            seen: &[(0, GONE), (STRANDED_GRACE_MS - 1, GONE)],
            given_up: None,
        },
        Case { name: "long enough", seen: &[(0, GONE), (STRANDED_GRACE_MS, GONE)], given_up: GONE },
        Case {
            name: "back in between, so that the time begins anew",
            seen: &[(0, GONE), (3_000, None), (4_000, GONE), (STRANDED_GRACE_MS + 3_000, GONE)],
            given_up: None,
        },
        Case {
            name: "the route is back, but not its endpoints",
            seen: &[(0, GONE), (3_000, NO_ENDPOINT), (STRANDED_GRACE_MS, NO_ENDPOINT)],
            given_up: NO_ENDPOINT,
        },
    ];
    for case in cases {
        let mut prospects = JobProspects::default();
        let observe = |(at, stranded): &(u64, _)| prospects.observe(&"j", *stranded, Millis(*at));
        let last = case.seen.iter().map(observe).last().flatten();
        assert_eq!(last, case.given_up, "{}", case.name);
    }
}

#[test]
fn each_job_has_its_own_time() {
    let mut prospects = JobProspects::default();
    prospects.observe(&"a", GONE, Millis(0));
    prospects.observe(&"b", GONE, Millis(4_000));
    assert_eq!(prospects.observe(&"a", GONE, Millis(STRANDED_GRACE_MS)), GONE);
    assert_eq!(prospects.observe(&"b", GONE, Millis(STRANDED_GRACE_MS)), None);
    prospects.retain(|job| *job != "a");
    assert_eq!(prospects.observe(&"a", GONE, Millis(STRANDED_GRACE_MS)), None, "forgotten");
}
