//! Limits that endpoints name: permits under every kind of demand, and who gives them.

use mulberry_policy::endpoint_limits::EndpointLimits;
use mulberry_policy::endpoint_limits::MIN_RATE_PER_S;
use mulberry_policy::endpoint_limits::OtherEntry;
use mulberry_policy::endpoint_limits::PermitGiver;
use mulberry_policy::endpoint_limits::own_share;
use mulberry_policy::endpoint_limits::permit_giver;
use mulberry_protocol::limit::PermitClass;
use mulberry_protocol::limit::SeenLimit;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

const ENDPOINT: u64 = 7;

/// Interval at which permits are asked for, in milliseconds: far more often than any limit allows.
const ASK_MS: u64 = 5;

/// Length of the window in which the rule counts requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn limited(per_s: f64, now: Millis) -> EndpointLimits {
    let mut limits = EndpointLimits::default();
    assert!(limits.record(ENDPOINT, Some(per_s), now, now));
    limits
}

fn is_granted(limits: &mut EndpointLimits, class: PermitClass, share: f64, now: Millis) -> bool {
    limits.decide(&[ENDPOINT], class, share, now).granted == Some(0)
}

fn most_in_window(granted: &[u64]) -> usize {
    let in_window =
        |first: &u64| granted.iter().filter(|at| *at >= first && *at - first < WINDOW_MS).count();
    granted.iter().map(in_window).max().unwrap_or(0)
}

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * 4.0 + 5.0
}

struct Demand {
    name: &'static str,
    /// Whether a permit is asked for at this time, in milliseconds.
    asks: fn(u64) -> bool,
    /// Smallest part of the limit that is used in the end.
    min_used: f64,
}

const DEMANDS: &[Demand] = &[
    Demand { name: "steady", asks: |_| true, min_used: 0.95 },
    Demand { name: "a second of four", asks: |at| at / 1_000 % 4 == 0, min_used: 0.5 },
    Demand { name: "after a long pause", asks: |at| at > 20_000, min_used: 0.3 },
    Demand { name: "seconds in turn", asks: |at| at / 1_000 % 2 == 0, min_used: 0.9 },
];

#[test]
fn permits_keep_the_limit_in_every_window_and_use_it() {
    for demand in DEMANDS {
        for per_s in [0.0, 0.1, 0.5, 1.0, 2.5, 8.0, 40.0] {
            let mut limits = limited(per_s, Millis(0));
            let times = (0..40_000).step_by(ASK_MS as usize).filter(|at| (demand.asks)(*at));
            let granted: Vec<u64> = times
                .filter(|at| is_granted(&mut limits, PermitClass::Online, 1.0, Millis(*at)))
                .collect();
            let most = most_in_window(&granted);
            assert!(most as f64 <= allowed(per_s), "{}, {per_s} a second: {most}", demand.name);
            // None is there at the start.
            let usable = per_s.max(MIN_RATE_PER_S) * 40.0 - 1.0;
            let used = granted.len() as f64 / usable;
            assert!(used >= demand.min_used, "{}, {per_s} a second: {used}", demand.name);
        }
    }
}

/// Guards against LIMIT of issue 29 where the limit changes all the time: what is saved up at the higher
/// one is not used at the lower one.
#[test]
fn limit_that_rises_and_falls_each_second_is_kept() {
    let mut limits = limited(8.0, Millis(0));
    let mut granted = Vec::new();
    let mut low = Vec::new();
    for at in (0..40_000).step_by(ASK_MS as usize) {
        let per_s = if at / 1_000 % 2 == 0 { 8.0 } else { 1.0 };
        limits.record(ENDPOINT, Some(per_s), Millis(at), Millis(at));
        if is_granted(&mut limits, PermitClass::Online, 1.0, Millis(at)) {
            granted.push(at);
            low.extend((per_s == 1.0).then_some(at));
        }
    }
    assert!(most_in_window(&granted) as f64 <= allowed(4.5), "{}", most_in_window(&granted));
    assert!(most_in_window(&low) as f64 <= allowed(1.0), "{}", most_in_window(&low));
}

/// Guards against LIMIT of issue 29 where those that give the permits go one after the other, and the old
/// one and the new one both do so for a second.
#[test]
fn limit_is_kept_while_one_giver_follows_another_each_four_seconds() {
    for per_s in [0.5, 2.5, 8.0] {
        let mut givers: Vec<EndpointLimits> = Vec::new();
        let mut granted = Vec::new();
        for at in (0..40_000_u64).step_by(ASK_MS as usize) {
            if at.is_multiple_of(4_000) {
                givers.push(limited(per_s, Millis(at)));
            }
            let count = givers.len();
            let both = if at % 4_000 < 1_000 { 2 } else { 1 };
            for giver in &mut givers[count.saturating_sub(both)..] {
                if is_granted(giver, PermitClass::Online, 1.0, Millis(at)) {
                    granted.push(at);
                }
            }
        }
        let most = most_in_window(&granted);
        assert!(most as f64 <= allowed(per_s), "{per_s} a second: {most}");
    }
}

#[test]
fn items_get_one_permit_of_twenty_beside_online_requests_and_all_that_they_leave() {
    let mut limits = limited(4.0, Millis(0));
    let (mut online, mut batch) = (0, 0);
    for at in (0..60_000).step_by(ASK_MS as usize) {
        batch += usize::from(is_granted(&mut limits, PermitClass::Batch, 1.0, Millis(at)));
        online += usize::from(is_granted(&mut limits, PermitClass::Online, 1.0, Millis(at)));
    }
    assert!((10..=13).contains(&batch), "{batch} of 240");
    assert!(online >= 220, "{online} of 240");
    let idle: usize = (60_000..120_000)
        .step_by(ASK_MS as usize)
        .map(|at| usize::from(is_granted(&mut limits, PermitClass::Batch, 1.0, Millis(at))))
        .sum();
    assert!(idle >= 225, "{idle} of 240 where nothing online comes");
}

#[test]
fn later_responses_win_and_changes_are_told_for_a_while() {
    let mut limits = limited(2.0, Millis(1_000));
    assert!(!limits.record(ENDPOINT, Some(9.0), Millis(900), Millis(1_050)), "older");
    assert_eq!(limits.limit(ENDPOINT), Some(2.0));
    assert_eq!(limits.limits_to_tell(Millis(1_500)).len(), 1);
    assert!(limits.limits_to_tell(Millis(2_500)).is_empty(), "nothing new");
    let ended = SeenLimit { endpoint: ENDPOINT, per_s: None, seen_ms_ago: 100 };
    assert_eq!(limits.merge(std::slice::from_ref(&ended), Millis(3_000)), vec![ended]);
    assert_eq!(limits.limit(ENDPOINT), None);
    assert_eq!(limits.wait_ms(ENDPOINT, Millis(3_000)), 0);
    let old = SeenLimit { endpoint: ENDPOINT, per_s: Some(2.0), seen_ms_ago: 500 };
    assert!(limits.merge(&[old], Millis(3_050)).is_empty(), "it does not come back");
    assert_eq!(limits.limits_to_tell(Millis(3_100)).len(), 1, "its end is told");
    assert!(!limits.record(8, None, Millis(1), Millis(1)), "most endpoints have none");
}

fn names(count: usize) -> Vec<EntryName> {
    (0..count).map(|n| EntryName::new(format!("entry-{n}"))).collect()
}

/// Returns what the entry with this number knows of the others, if it hears those that `hears` names.
fn others(names: &[EntryName], own: usize, hears: impl Fn(usize) -> bool) -> Vec<OtherEntry<'_>> {
    let others = names.iter().enumerate().filter(|(n, _)| *n != own);
    others.map(|(n, name)| OtherEntry { name, silent_ms: 0, is_heard: hears(n) }).collect()
}

#[test]
fn all_entries_choose_the_same_giver() {
    let names = names(200);
    for service in ["captions", "editor"].map(ServiceName::new) {
        let own = (0..names.len()).filter(|own| {
            let others = others(&names, *own, |_| true);
            let giver = permit_giver(&service, Some(&names[*own]), &others);
            giver == PermitGiver::Own { share: 1.0 }
        });
        assert_eq!(own.count(), 1);
        let others: Vec<_> = others(&names, names.len(), |_| true);
        let giver = permit_giver(&service, None, &others);
        assert!(matches!(giver, PermitGiver::Other(_)), "one that is no entry asks an entry");
    }
}

/// Guards against LIMIT of issue 29 where processes don't hear each other: each would give the whole limit.
#[test]
fn entries_that_hear_a_part_of_the_others_give_that_part_of_the_limit() {
    let names = names(12);
    for group_size in [1, 3, 6] {
        let shares = (0..names.len()).step_by(group_size).map(|first| {
            own_share(&others(&names, first, |n| n / group_size == first / group_size))
        });
        let sum: f64 = shares.sum();
        assert!((sum - 1.0).abs() < 1e-9, "groups of {group_size}: {sum}");
    }
}
