//! Bundles in force, and reports of them.

use mulberry_policy::bundle_order::BundleOrder;
use mulberry_policy::bundle_order::BundleVerdict;
use mulberry_policy::bundle_order::BundleVersion;
use mulberry_protocol::digest::Digest;

use crate::explore;

#[derive(Debug, Clone)]
struct BundleWorld {
    order: BundleOrder,
    loading: Vec<u64>,
    before: u64,
    reverted: bool,
    reports_left: u32,
}

fn bundle(number: u64) -> BundleVersion {
    BundleVersion { number, digest: Digest::of(&number.to_le_bytes()) }
}

#[test]
fn a_bundle_in_force_never_reverts() {
    let start = BundleWorld {
        order: BundleOrder::default(),
        loading: Vec::new(),
        before: 0,
        reverted: false,
        reports_left: 5,
    };
    let steps = |world: &BundleWorld| {
        let mut next = Vec::new();
        for number in 1..=3 {
            if world.reports_left == 0 {
                break;
            }
            let mut told = world.clone();
            told.reports_left -= 1;
            if told.order.classify(&bundle(number)) == BundleVerdict::Load {
                told.loading.push(number);
            }
            next.push(told);
        }
        for index in 0..world.loading.len() {
            let mut loaded = world.clone();
            let number = loaded.loading.remove(index);
            loaded.order.put_in_force(bundle(number));
            loaded.reverted |= loaded.order.number() < world.order.number();
            loaded.before = world.order.number();
            next.push(loaded);
        }
        next
    };
    let (states, problem) = explore(start, steps, |w| w.reverted.then_some("a bundle reverted"));
    assert_eq!(problem, None);
    assert!(states > 100, "only {states} states");
}

struct ReportCase {
    in_force: Option<u64>,
    report: BundleVersion,
    verdict: BundleVerdict,
}

#[test]
fn reports_of_bundles_are_judged() {
    let forked = BundleVersion { number: 4, digest: Digest::of(b"other") };
    let cases = [
        ReportCase { in_force: None, report: bundle(4), verdict: BundleVerdict::Load },
        ReportCase { in_force: Some(4), report: bundle(5), verdict: BundleVerdict::Load },
        ReportCase { in_force: Some(4), report: bundle(4), verdict: BundleVerdict::Same },
        ReportCase { in_force: Some(4), report: bundle(3), verdict: BundleVerdict::Stale },
        ReportCase { in_force: Some(4), report: forked, verdict: BundleVerdict::Forked },
    ];
    for case in cases {
        let mut order = BundleOrder::default();
        if let Some(number) = case.in_force {
            order.put_in_force(bundle(number));
        }
        assert_eq!(order.classify(&case.report), case.verdict, "{:?}", case.report);
    }
}
