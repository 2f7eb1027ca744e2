//! Tests of the smaller policies: routing, retries, ejection, suspects, membership, subsets and
//! budgets.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_policy::backoff::Backoff;
use mulberry_policy::client_rate_limit::ClientRateLimiter;
use mulberry_policy::concurrency_limit::ConcurrencyLimit;
use mulberry_policy::concurrency_limit::LimitSettings;
use mulberry_policy::ejection::Ejector;
use mulberry_policy::membership::HeartbeatSettings;
use mulberry_policy::membership::ListedSide;
use mulberry_policy::membership::Membership;
use mulberry_policy::membership::MembershipAction;
use mulberry_policy::retry::FailedAttempt;
use mulberry_policy::retry::MAX_ATTEMPTS;
use mulberry_policy::retry::RetryBudgets;
use mulberry_policy::retry::RetryCause;
use mulberry_policy::retry::RetryDecision;
use mulberry_policy::retry::decide_retry;
use mulberry_policy::routing::Candidate;
use mulberry_policy::routing::RoutingMode;
use mulberry_policy::routing::choose_endpoint;
use mulberry_policy::store_budget::CallClass;
use mulberry_policy::store_budget::CallPermit;
use mulberry_policy::store_budget::StoreBudget;
use mulberry_policy::store_budget::StoreRates;
use mulberry_policy::subset::EndpointPlace;
use mulberry_policy::subset::EntryPlace;
use mulberry_policy::subset::SubsetSizes;
use mulberry_policy::subset::choose_subset;
use mulberry_policy::suspects::RunRestriction;
use mulberry_policy::suspects::SuspectTable;
use mulberry_protocol::bundle::BundleBuilder;
use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::heartbeat::SideHeartbeat;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn candidate(hash: u64, near: bool, in_flight: u32) -> Candidate {
    Candidate {
        name_hash: hash,
        near,
        own_in_flight: in_flight,
        reported_online: 0,
        limit: 10,
        reported_wait_ms: 0,
        avoid: false,
    }
}

struct RouteCase {
    name: &'static str,
    candidates: Vec<Candidate>,
    allowed: Vec<usize>,
}

#[test]
fn affinity_prefers_near_endpoints_unless_loaded_or_avoided() {
    let avoided = Candidate { avoid: true, ..candidate(2, true, 0) };
    let cases = [
        RouteCase { name: "no candidates", candidates: vec![], allowed: vec![] },
        RouteCase {
            name: "one loaded candidate",
            candidates: vec![candidate(1, false, 99)],
            allowed: vec![0],
        },
        RouteCase {
            name: "same zone preferred",
            candidates: vec![candidate(1, false, 0), candidate(2, true, 0)],
            allowed: vec![1],
        },
        RouteCase {
            name: "same zone but loaded",
            candidates: vec![candidate(1, false, 0), candidate(2, true, 10)],
            allowed: vec![0],
        },
        RouteCase {
            name: "avoided",
            candidates: vec![avoided.clone(), candidate(3, true, 2)],
            allowed: vec![1],
        },
        RouteCase { name: "all avoided", candidates: vec![avoided], allowed: vec![0] },
    ];
    for case in cases {
        for prefix in 0..20 {
            let mode = RoutingMode::Affinity;
            let chosen = choose_endpoint(mode, &case.candidates, Some(prefix), &mut rng());
            let allowed = chosen.map_or(case.allowed.is_empty(), |c| case.allowed.contains(&c));
            assert!(allowed, "{}: {chosen:?}", case.name);
        }
    }
}

#[test]
fn a_prefix_keeps_its_endpoint_when_another_joins() {
    let mut candidates: Vec<Candidate> = (0..10).map(|i| candidate(i, true, 1)).collect();
    let choose = |candidates: &[Candidate], prefix| {
        choose_endpoint(RoutingMode::Affinity, candidates, Some(prefix), &mut rng())
    };
    let before: Vec<_> = (0..200).map(|p| choose(&candidates, p)).collect();
    candidates.push(candidate(10, true, 1));
    let after: Vec<_> = (0..200).map(|p| choose(&candidates, p)).collect();
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count();
    assert!(moved < 40, "{moved} of 200 prefixes moved");
}

struct AttemptCase {
    name: &'static str,
    refusal: Refusal,
    idempotent: bool,
    response_started: bool,
    attempts: u32,
    decision: RetryDecision,
}

#[test]
fn requests_run_twice_only_if_idempotent() {
    let not_run = |reason| Refusal::not_run(reason, "");
    let case = |name, refusal, idempotent, decision| AttemptCase {
        name,
        refusal,
        idempotent,
        response_started: false,
        attempts: 1,
        decision,
    };
    let busy = || not_run(RefusalReason::Busy);
    let link_failed = || Refusal::unknown(RefusalReason::LinkFailed, "");
    let crashed = || Refusal::ran(RefusalReason::EngineFailed, "");
    let give_up = RetryDecision::GiveUp;
    let cases = [
        case("busy, not idempotent", busy(), false, RetryDecision::Retry(RetryCause::Busy)),
        case("link failed, not idempotent", link_failed(), false, RetryDecision::AskWhetherStarted),
        case(
            "link failed, idempotent",
            link_failed(),
            true,
            RetryDecision::Retry(RetryCause::LinkFailed),
        ),
        case("crash, not idempotent", crashed(), false, give_up),
        case("crash, idempotent", crashed(), true, RetryDecision::Retry(RetryCause::EngineFailed)),
        case("poison", not_run(RefusalReason::Poison), true, give_up),
        case("malformed", not_run(RefusalReason::Malformed), true, give_up),
        AttemptCase {
            response_started: true,
            ..case("response started", link_failed(), true, give_up)
        },
        AttemptCase { attempts: 4, ..case("attempts used up", busy(), true, give_up) },
    ];
    for case in cases {
        let decision = decide_retry(&FailedAttempt {
            refusal: &case.refusal,
            attempts: case.attempts,
            not_run_attempts: 1,
            max_attempts: MAX_ATTEMPTS,
            idempotent: case.idempotent,
            response_started: case.response_started,
            left_ms: 100,
        });
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

#[test]
fn retries_are_a_bounded_share_of_first_attempts() {
    let mut budgets = RetryBudgets::default();
    let (client, service) = ("kavka".into(), "copywriter".into());
    let mut granted = 0;
    for _ in 0..1_000 {
        budgets.record_first_attempt(&client, &service, Millis(0));
        granted += u32::from(budgets.take_retry(&client, &service, Millis(0)));
    }
    assert!((200..=230).contains(&granted), "{granted} retries of 1,000 requests");
}

#[test]
fn ejection_never_takes_more_than_a_third() {
    let mut ejector = Ejector::default();
    let names: Vec<_> = (0..9).map(|i| format!("endpoint-{i}").as_str().into()).collect();
    for _ in 0..10 {
        for name in &names {
            ejector.record_failure(name, names.len(), Millis(0));
        }
    }
    let ejected = names.iter().filter(|n| ejector.is_ejected(n, Millis(1))).count();
    assert_eq!(ejected, 3);
    assert!(!names.iter().any(|n| ejector.is_ejected(n, Millis(60_000))));
}

#[test]
fn a_request_causes_at_most_two_crashes() {
    let mut table = SuspectTable::default();
    assert_eq!(table.restriction(7, Millis(0)), RunRestriction::Unrestricted);
    table.record_crash(&[(7, true), (8, true), (9, false)], Millis(0));
    // A request that had run for a while before the crash is not restricted yet.
    assert_eq!(table.restriction(9, Millis(1)), RunRestriction::Unrestricted);
    assert_eq!(table.restriction(7, Millis(1)), RunRestriction::Alone);
    table.record_completed(8);
    assert_eq!(table.restriction(8, Millis(1)), RunRestriction::Unrestricted);
    let known = table.record_crash(&[(7, true)], Millis(2));
    assert!(known[0].confirmed);
    assert_eq!(table.restriction(7, Millis(3)), RunRestriction::Refused);
    // Another entry learns of the confirmation, and a completion there does not clear it.
    let mut other = SuspectTable::default();
    assert!(other.merge(&table.suspects_to_send(Millis(3)), Millis(3)));
    assert!(!other.merge(&table.suspects_to_send(Millis(3)), Millis(3)));
    other.record_completed(7);
    assert_eq!(other.restriction(7, Millis(4)), RunRestriction::Refused);
}

#[test]
fn a_request_that_crashes_its_endpoint_late_is_confirmed_too() {
    let mut table = SuspectTable::default();
    table.record_crash(&[(1, false), (2, true)], Millis(0));
    assert_eq!(table.restriction(1, Millis(1)), RunRestriction::Unrestricted);
    table.record_crash(&[(1, false), (3, true)], Millis(2));
    assert_eq!(table.restriction(1, Millis(3)), RunRestriction::Alone);
    table.record_crash(&[(1, false)], Millis(4));
    assert_eq!(table.restriction(1, Millis(5)), RunRestriction::Refused);
}

#[test]
fn old_confirmed_requests_are_still_sent_to_peers() {
    let mut table = SuspectTable::default();
    table.record_crash(&[(7, true)], Millis(0));
    table.record_crash(&[(7, true)], Millis(1));
    let sent = table.suspects_to_send(Millis(3_600_000));
    assert_eq!(sent.iter().map(|s| s.fingerprint).collect::<Vec<_>>(), [7]);
}

#[test]
fn requests_that_crash_together_are_not_confirmed() {
    let mut table = SuspectTable::default();
    table.record_crash(&[(1, true), (2, true), (3, false)], Millis(0));
    table.record_crash(&[(1, true), (2, true)], Millis(1));
    // No request ran alone, so none is confirmed yet.
    assert_eq!(table.restriction(2, Millis(2)), RunRestriction::Alone);
}

fn listed(name: &str) -> ListedSide {
    let place = EndpointPlace {
        endpoint: name.into(),
        zone: "kochi-a".into(),
        service: "copywriter".into(),
    };
    ListedSide { place, address: ([127, 0, 0, 1], 7_000).into(), leaving: false }
}

fn heartbeat(name: &str, sequence: u64, presence: Presence) -> SideHeartbeat {
    SideHeartbeat {
        endpoint: name.into(),
        sequence,
        incarnation: 1,
        zone: "kochi-a".into(),
        service: "copywriter".into(),
        models: Vec::new(),
        load: SideLoad { online: 0, limit: 1, batch: 0, wait_ms: 0 },
        bundle: 1,
        bundle_done: 1,
        presence,
        suspects: Vec::new(),
    }
}

const HEARTBEATS: HeartbeatSettings = HeartbeatSettings { interval_ms: 1_000, max_missed: 3 };

fn new_membership(count: usize) -> Membership {
    let mut membership = Membership::new(HEARTBEATS);
    let names = (0..count).map(|i| listed(&format!("side-{i}")));
    membership.apply_list(names.collect(), Millis(0));
    for i in 0..count {
        membership
            .record_heartbeat(heartbeat(&format!("side-{i}"), 5, Presence::Serving), Millis(0));
    }
    membership
}

#[test]
fn a_silent_side_is_lost_and_returns() {
    let mut membership = new_membership(3);
    for i in 1..3 {
        membership
            .record_heartbeat(heartbeat(&format!("side-{i}"), 6, Presence::Serving), Millis(3_000));
    }
    let lost = MembershipAction::Lost("side-0".into());
    assert!(!membership.tick(Millis(3_400)).contains(&lost));
    assert!(membership.tick(Millis(3_600)).contains(&lost));
    assert_eq!(membership.routable().len(), 2);
    let joined =
        membership.record_heartbeat(heartbeat("side-0", 6, Presence::Serving), Millis(4_000));
    assert_eq!(joined, [MembershipAction::Joined("side-0".into())]);
}

#[test]
fn a_failed_link_makes_one_missed_heartbeat_enough() {
    let mut membership = new_membership(3);
    membership.record_link_failure(&"side-0".into(), Millis(100));
    let actions = membership.tick(Millis(1_600));
    assert!(actions.contains(&MembershipAction::Lost("side-0".into())));
}

#[test]
fn leaving_takes_effect_at_once_and_late_heartbeats_do_not_undo_it() {
    let mut membership = new_membership(2);
    let left = membership.record_heartbeat(heartbeat("side-0", 7, Presence::Leaving), Millis(10));
    assert_eq!(left, [MembershipAction::Leaving("side-0".into())]);
    membership.record_heartbeat(heartbeat("side-0", 6, Presence::Serving), Millis(20));
    assert_eq!(membership.routable().len(), 1);
}

#[test]
fn most_sides_lost_at_once_stay_routable() {
    let mut membership = new_membership(4);
    membership.tick(Millis(10_000));
    assert_eq!(membership.live_count(), 0);
    assert_eq!(membership.routable().len(), 4);
}

#[test]
fn a_side_that_answers_stays_although_it_is_no_longer_listed() {
    let mut membership = new_membership(2);
    membership.apply_list(vec![listed("side-1")], Millis(10));
    assert!(membership.contains(&"side-0".into()));
    assert_eq!(membership.routable().len(), 2);
}

fn places(count: usize, service_count: usize) -> (Vec<EntryPlace>, Vec<EndpointPlace>) {
    let zone = |i: usize| ["a", "b", "c"][i % 3].into();
    let entries = (0..count)
        .map(|i| EntryPlace { entry: format!("entry-{i}").as_str().into(), zone: zone(i) });
    let endpoints = (0..count * 3).map(|i| EndpointPlace {
        endpoint: format!("endpoint-{i}").as_str().into(),
        zone: zone(i),
        service: format!("service-{}", i % service_count).as_str().into(),
    });
    (entries.collect(), endpoints.collect())
}

#[test]
fn subsets_cover_every_endpoint_and_change_little() {
    let (mut entries, endpoints) = places(30, 4);
    let sizes = SubsetSizes { near_entries: 2, far_entries: 1, min_endpoints: 2 };
    let choose = |entries: &[EntryPlace], own: usize| {
        choose_subset(&entries[own], entries, &endpoints, sizes)
    };
    let subsets: Vec<Vec<usize>> = (0..30).map(|i| choose(&entries, i)).collect();
    for index in 0..endpoints.len() {
        let entry_count = subsets.iter().filter(|s| s.contains(&index)).count();
        assert!(entry_count >= 3, "endpoint {index} has {entry_count} entries");
    }
    for (own, subset) in subsets.iter().enumerate() {
        assert!(subset.len() <= 30, "{} endpoints", subset.len());
        let zones: std::collections::HashSet<_> =
            subset.iter().map(|i| endpoints[*i].zone.clone()).collect();
        assert!(zones.len() > 1, "entry {own} has endpoints of one zone only");
    }
    entries.pop();
    let changed: usize = (0..29)
        .map(|i| {
            let after = choose(&entries, i);
            after.iter().filter(|e| !subsets[i].contains(e)).count()
        })
        .sum();
    assert!(changed <= 30, "{changed} new pairs after one entry left");
}

#[test]
fn store_budget_reserves_calls_for_more_important_classes() {
    let rates = StoreRates { writes_per_s: 10.0, reads_per_s: 10.0 };
    let mut budget = StoreBudget::new(rates, Millis(0));
    let mut acquire = |class| budget.try_acquire(class, false, Millis(0)) == CallPermit::Granted;
    let granted: Vec<usize> =
        [CallClass::Listing, CallClass::Read, CallClass::Lease, CallClass::Commit]
            .into_iter()
            .map(|class| (0..20).filter(|_| acquire(class)).count())
            .collect();
    assert_eq!(granted.iter().sum::<usize>(), 10);
    assert!(granted.iter().all(|g| *g > 0), "{granted:?}");
}

#[test]
fn calls_to_a_failing_store_back_off() {
    let rates = StoreRates { writes_per_s: 1e6, reads_per_s: 1e6 };
    let mut budget = StoreBudget::new(rates, Millis(0));
    let mut rng = rng();
    let mut calls = 0;
    for ms in 0..60_000 {
        if budget.try_acquire(CallClass::Commit, true, Millis(ms)) == CallPermit::Granted {
            calls += 1;
            budget.record_failure(Millis(ms), &mut rng);
        }
    }
    assert!((10..60).contains(&calls), "{calls} calls in a minute of outage");
    assert!(budget.record_response());
    assert!(!budget.is_failing());
}

#[test]
fn backoff_grows_to_its_limit_and_resets() {
    let mut backoff = Backoff::new(100, 1_000);
    let delays: Vec<u64> = (0..8).map(|_| backoff.next_delay_ms(&mut rng())).collect();
    assert!(delays[0] <= 100 && delays[7] >= 500 && delays[7] <= 1_000, "{delays:?}");
    backoff.reset();
    assert!(backoff.next_delay_ms(&mut rng()) <= 100);
}

#[test]
fn one_clients_burst_does_not_limit_another_client() {
    let bundle = BundleBuilder::new("1").client("kavka", "k1").client("brhlik", "k2").build();
    let mut limiter = ClientRateLimiter::default();
    limiter.apply_bundle(&bundle, Millis(0));
    let admitted = (0..5_000).filter(|_| limiter.admit(&"kavka".into(), Millis(0)).is_ok()).count();
    assert_eq!(admitted, 1_000);
    assert_eq!(limiter.admit(&"kavka".into(), Millis(0)), Err(1));
    assert!(limiter.admit(&"brhlik".into(), Millis(0)).is_ok());
}

struct LimitCase {
    gap_ms: f64,
    running: u32,
    change: std::cmp::Ordering,
}

#[test]
fn concurrency_limit_follows_the_time_between_tokens() {
    use std::cmp::Ordering;
    let cases = [
        LimitCase { gap_ms: 10.0, running: 16, change: Ordering::Greater },
        LimitCase { gap_ms: 10.0, running: 3, change: Ordering::Equal },
        LimitCase { gap_ms: 40.0, running: 16, change: Ordering::Less },
    ];
    for case in cases {
        let mut limit = ConcurrencyLimit::new(LimitSettings::default(), Millis(0));
        for ms in 0..1_000 {
            limit.record_gap(case.gap_ms, case.running, Millis(ms));
        }
        assert_eq!(
            limit.get().cmp(&16),
            case.change,
            "{} ms, {} running",
            case.gap_ms,
            case.running
        );
    }
}
