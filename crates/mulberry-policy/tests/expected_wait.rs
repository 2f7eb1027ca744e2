//! What is expected at endpoints by reports of different age, and which of them are chosen.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_policy::expected_wait::EndpointView;
use mulberry_policy::expected_wait::ReportQuality;
use mulberry_policy::expected_wait::choose_by_wait;
use mulberry_policy::expected_wait::expected_loads;
use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::occupancy::LoadReport;
use mulberry_policy::occupancy::Occupancy;
use mulberry_policy::run_times::CompletedRun;
use mulberry_policy::run_times::RunTimes;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::EndpointLoad;
use mulberry_protocol::time::Millis;

const RUN_MS: Option<f64> = Some(700.0);

fn view(own: u32, peers: u32, slowness: f64) -> EndpointView {
    EndpointView { near: true, own, peers, slots: 8, slowness, extra_wait_ms: 0, avoid: false }
}

fn reports(age_ms: f64) -> ReportQuality {
    ReportQuality { age_ms, run_ms: RUN_MS, others: 22 }
}

/// Guards against reports that count alike whatever their age, and own requests that fade with them.
#[test]
fn old_reports_fade_and_own_requests_do_not() {
    let views = [view(4, 0, 1.0), view(0, 8, 1.0), view(0, 0, 1.0)];
    let loads = |age_ms: f64| expected_loads(&views, reports(age_ms));
    let (fresh, old) = (loads(0.0), loads(5_000.0));
    for (load, exact) in fresh.iter().zip([0.5, 1.0, 0.0]) {
        assert!((load - exact).abs() < 1e-6, "fresh reports count in full: {fresh:?}");
    }
    assert!((old[1] - old[2]).abs() < 0.01, "what was reported is long over: {old:?}");
    assert!((old[0] - old[2] - 0.5).abs() < 0.01, "own requests count in full: {old:?}");
    let sum = |loads: &[f64]| loads.iter().sum::<f64>();
    assert!((sum(&fresh) - sum(&old)).abs() < 0.01, "the sum stays");
}

/// Guards against a choice that jumps when peers fall silent: by the time at which their reports are
/// dropped, they no longer tell endpoints apart.
#[test]
fn silent_peers_are_forgotten_without_a_jump() {
    let views = |peers: [u32; 3]| peers.map(|peers| view(1, peers, 1.0));
    let spread = |loads: &[f64]| {
        loads.iter().copied().fold(0.0, f64::max) - loads.iter().copied().fold(9.0, f64::min)
    };
    let mut before = f64::INFINITY;
    for age_ms in (0..1_000).step_by(100) {
        let now = spread(&expected_loads(&views([8, 4, 0]), reports(f64::from(age_ms))));
        assert!(now < before, "after {age_ms} ms the spread is {now:.3}");
        before = now;
    }
    let dropped = spread(&expected_loads(&views([0, 0, 0]), reports(0.0)));
    assert!(before - dropped < 0.1, "{before:.3} before, {dropped:.3} after");
}

/// Guards against a slow endpoint that gets an equal share, or none.
#[test]
fn slow_endpoint_gets_fewer_requests_but_some() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut counts = [0_u32; 4];
    // Requests end in proportion to the speed of their endpoint.
    let slowness = [1.82, 1.0, 1.0, 1.0];
    let mut in_flight = [0.0_f64; 4];
    for _ in 0..4_000 {
        let loads = in_flight.iter().zip(slowness);
        let views: Vec<EndpointView> = loads.map(|(n, s)| view(n.round() as u32, 0, s)).collect();
        let chosen = choose_by_wait(&views, reports(10.0), &mut rng).unwrap();
        counts[chosen] += 1;
        in_flight[chosen] += 1.0;
        in_flight.iter_mut().zip(slowness).for_each(|(n, s)| *n -= *n / (24.0 * s));
    }
    let share = f64::from(counts[0]) / 4_000.0;
    assert!((0.08..0.2).contains(&share), "{counts:?}");
}

/// Guards against requests that take longer than they must while faster endpoints are idle, and against
/// chance differences that count as slowness.
#[test]
fn idle_fast_endpoints_go_before_idle_slow_ones() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for (slowness, chosen) in [(1.82, vec![1, 2]), (1.1, vec![0, 1, 2])] {
        let views = [view(0, 0, slowness), view(0, 0, 1.0), view(0, 0, 1.0)];
        let mut seen: Vec<usize> =
            (0..100).filter_map(|_| choose_by_wait(&views, reports(10.0), &mut rng)).collect();
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen, chosen, "slowness {slowness}");
    }
}

/// Guards against a slow endpoint whose queue is as long as that of a fast one.
#[test]
fn slow_endpoint_may_have_fewer_requests_waiting() {
    let service = ServiceName::new("captions");
    let mut times = RunTimes::default();
    let run = CompletedRun { first_ms: 50, rest_ms: 400, in_flight: 1, slots: 8 };
    (0..40).for_each(|_| times.record_run(&service, run));
    for (unseen_ms, wait_ms) in [(250.0, 4_000), (1_000.0, 280)] {
        let max = |slowness: f64| times.max_online(&service, 8, slowness, unseen_ms, wait_ms);
        assert!(max(1.82) < max(1.0), "{} and {}", max(1.82), max(1.0));
        assert!(max(0.7) > max(1.0), "{} and {}", max(0.7), max(1.0));
    }
}

/// Guards against metrics that call a foreseen change an error, or miss an unforeseen one.
#[test]
fn error_of_the_view_is_what_a_report_tells_otherwise() {
    let mut occupancy = Occupancy::default();
    occupancy.begin(1, LoadClass::Online);
    let peer = EntryName::new("entry-1");
    let loads = |online: [u16; 2]| {
        [1, 2].map(|e| EndpointLoad { endpoint: e, online: online[e as usize - 1], batch: 0 })
    };
    let first = loads([4, 0]);
    assert_eq!(occupancy.report_error(&peer, &first, RUN_MS, Millis(0)).misjudged, 4.0);
    let report = LoadReport { incarnation: 1, sequence: 1, ttl_ms: 5_000, loads: &first };
    occupancy.record_report(&peer, report, Millis(0));
    let error = |loads: &[EndpointLoad], at| {
        occupancy.report_error(&peer, loads, RUN_MS, Millis(at)).misjudged
    };
    assert_eq!(error(&first, 0), 0.0);
    assert_eq!(error(&loads([4, 3]), 0), 3.0);
    assert!(error(&loads([2, 2]), 4_000) < 0.1, "levelled after several runs");
    assert_eq!(occupancy.mean_report_age_ms(Millis(300)), 300.0);
}
