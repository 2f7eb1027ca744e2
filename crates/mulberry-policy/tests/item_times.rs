//! Estimates of how long items of batch jobs take.

use mulberry_policy::item_times::ItemTimes;

/// Guards against figures of one deployment that stand for another one until items have completed.
#[test]
fn nothing_is_assumed_before_an_item_was_measured() {
    let mut times = ItemTimes::default();
    assert_eq!(times.remaining_ms(0), 0);
    times.record(1_000, 50_000);
    assert_eq!(times.remaining_ms(0), 50_000, "one item tells more than none");
    assert_eq!(times.remaining_ms(600), 20_000);
    assert_eq!(times.remaining_ms(5_000), 5_000, "an item longer than usual is not at its end");
    (0..200).for_each(|_| times.record(10, 100));
    assert!((100..=120).contains(&times.remaining_ms(0)), "{}", times.remaining_ms(0));
}
