//! Tests of admission control: online priority, preemption of batch items, and early refusals.

use mulberry_policy::admission::Admission;
use mulberry_policy::admission::AdmissionAction;
use mulberry_policy::admission::AdmissionMode;
use mulberry_policy::admission::AdmissionSettings;
use mulberry_policy::admission::Offer;
use mulberry_policy::concurrency_limit::LimitSettings;
use mulberry_protocol::bundle::BatchFill;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

fn new_admission(mode: AdmissionMode, slots: u32) -> Admission {
    let limit = LimitSettings { min: slots, max: slots, initial: slots, gap_target_ms: 20.0 };
    let fill = BatchFill::Full;
    let settings =
        AdmissionSettings { mode, limit, fill, headroom: 0, ..AdmissionSettings::default() };
    Admission::new(settings, Millis(0))
}

fn offer(id: u64) -> Offer {
    Offer { id, deadline_ms: 10_000, prompt_tokens: id as u32, alone: false }
}

fn starts(actions: &[AdmissionAction]) -> Vec<u64> {
    let started = |a: &AdmissionAction| match a {
        AdmissionAction::Start(id) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

/// Offers batch items and reports their first tokens, so that none of them is in prefill.
fn fill_with_batch(admission: &mut Admission, ids: std::ops::Range<u64>) {
    for id in ids.clone() {
        admission.offer_batch(offer(id), Millis(0));
    }
    for id in ids {
        admission.record_first_token(id, Millis(1));
    }
}

struct BurstCase {
    mode: AdmissionMode,
    started: usize,
    preempted: usize,
}

#[test]
fn an_online_burst_starts_as_far_as_the_mode_allows() {
    let cases = [
        BurstCase { mode: AdmissionMode::Preemptive, started: 3, preempted: 3 },
        BurstCase { mode: AdmissionMode::Priority, started: 0, preempted: 0 },
        BurstCase { mode: AdmissionMode::Shared, started: 0, preempted: 0 },
        BurstCase { mode: AdmissionMode::Split { batch: 2 }, started: 2, preempted: 0 },
        BurstCase { mode: AdmissionMode::OnlineOnly, started: 3, preempted: 0 },
    ];
    for case in cases {
        let mut admission = new_admission(case.mode, 4);
        fill_with_batch(&mut admission, 1..5);
        let mut actions = Vec::new();
        for id in 10..13 {
            actions.extend(admission.offer_online(offer(id), Millis(5)));
        }
        let preempted = actions.iter().filter(|a| matches!(a, AdmissionAction::Preempt(_)));
        assert_eq!(starts(&actions).len(), case.started, "{:?}", case.mode);
        assert_eq!(preempted.count(), case.preempted, "{:?}", case.mode);
    }
}

#[test]
fn the_item_with_fewest_tokens_is_preempted_and_restarts_first() {
    let mut admission = new_admission(AdmissionMode::Preemptive, 2);
    fill_with_batch(&mut admission, 1..3);
    admission.offer_batch(offer(3), Millis(1));
    admission.record_tokens(1, 50, 10.0, Millis(2));
    let actions = admission.offer_online(offer(9), Millis(3));
    assert!(actions.contains(&AdmissionAction::Preempt(2)), "{actions:?}");
    admission.record_stopped(2, Millis(4));
    let resumed = admission.record_ended(9, Millis(5));
    assert_eq!(starts(&resumed), [2]);
}

#[test]
fn no_batch_items_are_wanted_while_online_requests_wait() {
    let mut admission = new_admission(AdmissionMode::Preemptive, 1);
    assert!(admission.wanted_batch_items() > 0);
    admission.offer_online(offer(1), Millis(0));
    admission.offer_online(offer(2), Millis(0));
    assert_eq!(admission.wanted_batch_items(), 0);
}

struct RefusalCase {
    name: &'static str,
    online_before: u64,
    deadline_ms: u32,
    leaving: bool,
    refused: Option<RefusalReason>,
}

#[test]
fn requests_that_cannot_be_served_are_refused_immediately() {
    let cases = [
        RefusalCase {
            name: "free slot",
            online_before: 0,
            deadline_ms: 1,
            leaving: false,
            refused: None,
        },
        RefusalCase {
            name: "deadline before expected start",
            online_before: 4,
            deadline_ms: 10,
            leaving: false,
            refused: Some(RefusalReason::Deadline),
        },
        RefusalCase {
            name: "queue full",
            online_before: 20,
            deadline_ms: 1_000_000,
            leaving: false,
            refused: Some(RefusalReason::Busy),
        },
        RefusalCase {
            name: "leaving",
            online_before: 0,
            deadline_ms: 1_000,
            leaving: true,
            refused: Some(RefusalReason::Leaving),
        },
    ];
    for case in cases {
        let mut admission = new_admission(AdmissionMode::Preemptive, 4);
        for id in 0..case.online_before {
            admission.offer_online(Offer { deadline_ms: 1_000_000, ..offer(id) }, Millis(0));
        }
        if case.leaving {
            admission.leave();
        }
        let offered = Offer { deadline_ms: case.deadline_ms, ..offer(100) };
        let actions = admission.offer_online(offered, Millis(0));
        let expected = case.refused.map(|r| AdmissionAction::Refuse(100, r));
        let refused = actions.into_iter().find(|a| matches!(a, AdmissionAction::Refuse(..)));
        assert_eq!(refused, expected, "{}", case.name);
    }
}

#[test]
fn a_waiting_request_is_refused_when_its_deadline_passes() {
    let mut admission = new_admission(AdmissionMode::Preemptive, 1);
    admission.offer_online(offer(1), Millis(0));
    admission.offer_online(Offer { deadline_ms: 800, ..offer(2) }, Millis(0));
    assert!(admission.tick(Millis(799)).is_empty());
    let late = admission.tick(Millis(800));
    assert_eq!(late, [AdmissionAction::Refuse(2, RefusalReason::Deadline)]);
}

#[test]
fn gentle_batch_stays_below_recent_online_peaks() {
    let limit = LimitSettings { min: 64, max: 64, initial: 64, gap_target_ms: 20.0 };
    let settings = AdmissionSettings { limit, batch_prefetch: 0, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings, Millis(0));
    // No online request has come yet, so batch may use all slots but the headroom.
    assert_eq!(admission.wanted_batch_items(), 63);
    for second in 0..40 {
        for id in 0..30 {
            admission.offer_online(offer(id), Millis(second * 1_000));
        }
        for id in 2..30 {
            admission.record_ended(id, Millis(second * 1_000 + 500));
        }
        for id in 0..2 {
            admission.record_ended(id, Millis(second * 1_000 + 900));
        }
    }
    // Peaks of 30 less the margin leave 20 slots, of which the headroom is one.
    assert_eq!(admission.wanted_batch_items(), 19);
    admission.set_fill(BatchFill::Full);
    assert_eq!(admission.wanted_batch_items(), 63);
}

#[test]
fn a_request_whose_first_token_would_come_too_late_is_not_started() {
    let mut admission = new_admission(AdmissionMode::Preemptive, 1);
    for id in 0..50 {
        admission.offer_online(offer(id), Millis(id * 1_000));
        admission.record_first_token(id, Millis(id * 1_000 + 200));
        admission.record_ended(id, Millis(id * 1_000 + 300));
    }
    // First tokens take about 200 ms; 100 ms are left to the second request when a slot is free.
    admission.offer_online(offer(100), Millis(60_000));
    admission.offer_online(Offer { deadline_ms: 1_000, ..offer(101) }, Millis(60_000));
    let actions = admission.record_ended(100, Millis(60_900));
    assert_eq!(actions, [AdmissionAction::Refuse(101, RefusalReason::Deadline)]);
}

#[test]
fn a_suspect_runs_alone() {
    let mut admission = new_admission(AdmissionMode::Preemptive, 4);
    fill_with_batch(&mut admission, 1..3);
    admission.offer_online(offer(5), Millis(2));
    let actions = admission.offer_online(Offer { alone: true, ..offer(6) }, Millis(3));
    assert!(starts(&actions).is_empty());
    admission.record_stopped(1, Millis(4));
    admission.record_stopped(2, Millis(4));
    let started = admission.record_ended(5, Millis(5));
    assert_eq!(starts(&started), [6]);
    // No other request starts beside it.
    assert!(starts(&admission.offer_online(offer(7), Millis(6))).is_empty());
    let after = admission.record_ended(6, Millis(7));
    assert!(starts(&after).contains(&7));
}

#[test]
fn leaving_refuses_waiting_batch_items() {
    let mut admission = new_admission(AdmissionMode::Preemptive, 1);
    admission.offer_batch(offer(1), Millis(0));
    admission.offer_batch(offer(2), Millis(0));
    let actions = admission.leave();
    assert_eq!(actions, [AdmissionAction::Refuse(2, RefusalReason::Leaving)]);
    assert_eq!(admission.wanted_batch_items(), 0);
}

#[test]
fn gentle_batch_keeps_its_minimum_of_free_slots() {
    let limit = LimitSettings { min: 8, max: 8, initial: 8, gap_target_ms: 20.0 };
    let settings = AdmissionSettings { limit, batch_prefetch: 0, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings, Millis(0));
    for id in 0..4 {
        admission.offer_online(offer(id), Millis(1));
    }
    assert_eq!(admission.wanted_batch_items(), 2);
    for id in 4..8 {
        admission.offer_online(offer(id), Millis(2));
    }
    assert_eq!(admission.wanted_batch_items(), 0);
}
