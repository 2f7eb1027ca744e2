//! Model of one process that receives bundle reports and loads bundles in any order.

use mulberry_policy::bundle_order::BundleOrder;
use mulberry_policy::bundle_order::BundleVerdict;
use mulberry_policy::bundle_order::BundleVersion;
use mulberry_protocol::digest::Digest;

use crate::explore;

#[derive(Debug, Clone)]
struct BundleModel {
    order: BundleOrder,
    loading: Vec<u64>,
    previous: u64,
    reverted: bool,
    reports_left: u32,
}

fn bundle(number: u64) -> BundleVersion {
    BundleVersion { number, digest: Digest::of(&number.to_le_bytes()) }
}

#[test]
fn a_bundle_in_force_never_reverts() {
    let start = BundleModel {
        order: BundleOrder::default(),
        loading: Vec::new(),
        previous: 0,
        reverted: false,
        reports_left: 5,
    };
    let steps = |model: &BundleModel| {
        let mut next = Vec::new();
        for number in 1..=3 {
            if model.reports_left == 0 {
                break;
            }
            let mut reported = model.clone();
            reported.reports_left -= 1;
            if reported.order.classify(&bundle(number)) == BundleVerdict::Load {
                reported.loading.push(number);
            }
            next.push(reported);
        }
        for index in 0..model.loading.len() {
            let mut loaded = model.clone();
            let number = loaded.loading.remove(index);
            loaded.order.put_in_force(bundle(number));
            loaded.reverted |= loaded.order.number() < model.order.number();
            loaded.previous = model.order.number();
            next.push(loaded);
        }
        next
    };
    let (states, problem) = explore(start, steps, |m| m.reverted.then_some("a bundle reverted"));
    assert_eq!(problem, None);
    assert!(states > 100, "only {states} states");
}

struct ReportCase {
    in_force: Option<u64>,
    report: BundleVersion,
    decision: BundleVerdict,
}

#[test]
fn reports_are_compared_with_the_bundle_in_force() {
    let forked = BundleVersion { number: 4, digest: Digest::of(b"other") };
    let cases = [
        ReportCase { in_force: None, report: bundle(4), decision: BundleVerdict::Load },
        ReportCase { in_force: Some(4), report: bundle(5), decision: BundleVerdict::Load },
        ReportCase { in_force: Some(4), report: bundle(4), decision: BundleVerdict::Same },
        ReportCase { in_force: Some(4), report: bundle(3), decision: BundleVerdict::Stale },
        ReportCase { in_force: Some(4), report: forked, decision: BundleVerdict::Forked },
    ];
    for case in cases {
        let mut order = BundleOrder::default();
        if let Some(number) = case.in_force {
            order.put_in_force(bundle(number));
        }
        assert_eq!(order.classify(&case.report), case.decision, "{:?}", case.report);
    }
}
