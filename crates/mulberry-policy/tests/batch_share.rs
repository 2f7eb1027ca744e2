//! Batch items on endpoints that also serve online requests: which start and stop under which load.

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mulberry_policy::batch_share::BegunBy;
use mulberry_policy::batch_share::RESERVED_SLOTS;
use mulberry_policy::batch_share::RunningItem;
use mulberry_policy::batch_share::SharedEndpoint;
use mulberry_policy::batch_share::VERSION_WAIT_MS;
use mulberry_policy::batch_share::WaitingItem;
use mulberry_policy::batch_share::plan_batch;
use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::occupancy::LoadReport;
use mulberry_policy::occupancy::Occupancy;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::EndpointLoad;
use mulberry_protocol::time::Millis;

const SLOTS: u32 = 8;
const NOW: Millis = Millis(100_000);

/// Time from now up to which items are expected although they are late, in milliseconds.
const RETENTION_MS: u64 = 40_000;

/// Age up to which reported loads count, in milliseconds.
const LOAD_TTL_MS: u64 = 1_000;

fn report(incarnation: u64, sequence: u64, loads: &[EndpointLoad]) -> LoadReport<'_> {
    LoadReport { incarnation, sequence, ttl_ms: LOAD_TTL_MS, loads }
}

fn endpoint(key: u64, online: u32) -> SharedEndpoint {
    SharedEndpoint {
        key,
        slots: SLOTS,
        online,
        peer_batch: 0,
        open: true,
        version: key % 2,
        slowness_percent: 100,
    }
}

fn running(item: u32, endpoint: u64, slack_ms: u64) -> RunningItem<u32> {
    let due_at = NOW + (1_000 + slack_ms);
    RunningItem { item, endpoint, due_at, expected_until: NOW + RETENTION_MS, left_ms: 1_000 }
}

fn waiting(item: u32, slack_ms: u64) -> WaitingItem<u32> {
    WaitingItem {
        item,
        due_at: NOW + (5_000 + slack_ms),
        expected_until: NOW + RETENTION_MS,
        left_ms: 5_000,
        last_endpoint: None,
        begun_by: None,
    }
}

/// An item with output of the version, the last of which came at a time.
fn begun(item: u32, version: u64, updated_at: Millis) -> WaitingItem<u32> {
    WaitingItem { begun_by: Some(BegunBy { version, updated_at }), ..waiting(item, 0) }
}

struct LoadPattern {
    name: &'static str,
    endpoints: Vec<SharedEndpoint>,
    running: Vec<RunningItem<u32>>,
    waiting: Vec<WaitingItem<u32>>,
    stops: Vec<u32>,
    starts: Vec<(u32, u64)>,
}

#[test]
fn items_start_and_stop_by_online_load() {
    let room = SLOTS - RESERVED_SLOTS;
    let patterns = [
        LoadPattern {
            name: "no online load: batch uses all slots but the reserve",
            endpoints: vec![endpoint(1, 0)],
            running: Vec::new(),
            waiting: (0..20).map(|i| waiting(i, 0)).collect(),
            stops: Vec::new(),
            starts: (0..room).map(|i| (i, 1)).collect(),
        },
        LoadPattern {
            name: "start of a burst: items stop at once, those with the most slack first",
            endpoints: vec![endpoint(1, 7)],
            running: vec![running(0, 1, 100), running(1, 1, 9_000), running(2, 1, 500)],
            waiting: Vec::new(),
            stops: vec![1, 2],
            starts: Vec::new(),
        },
        LoadPattern {
            name: "peak of a burst: nothing starts",
            endpoints: vec![endpoint(1, 8), endpoint(2, 9)],
            running: Vec::new(),
            waiting: vec![waiting(0, 0)],
            stops: Vec::new(),
            starts: Vec::new(),
        },
        LoadPattern {
            name: "small rise: one more online request uses the reserve and stops nothing",
            endpoints: vec![endpoint(1, 1)],
            running: (0..room).map(|i| running(i, 1, 0)).collect(),
            waiting: Vec::new(),
            stops: Vec::new(),
            starts: Vec::new(),
        },
        LoadPattern {
            name: "backlog: items that can still meet their due time start first, by their slack",
            endpoints: vec![endpoint(1, 4)],
            running: Vec::new(),
            waiting: vec![
                WaitingItem { due_at: NOW, ..waiting(0, 0) },
                waiting(1, 8_000),
                waiting(2, 500),
                waiting(3, 2_000),
            ],
            stops: Vec::new(),
            starts: vec![(2, 1), (3, 1), (1, 1)],
        },
        LoadPattern {
            name: "backlog without end: a late item is served before its caller has given it up",
            endpoints: vec![endpoint(1, 5)],
            running: Vec::new(),
            waiting: vec![
                waiting(1, 8_000),
                WaitingItem { due_at: NOW, expected_until: NOW + 6_000, ..waiting(0, 0) },
                WaitingItem { due_at: NOW, expected_until: NOW, ..waiting(2, 0) },
                waiting(3, 9_000),
            ],
            stops: Vec::new(),
            starts: vec![(0, 1), (1, 1)],
        },
        LoadPattern {
            name: "uneven load: the endpoint with the most free slots first",
            endpoints: vec![endpoint(1, 6), endpoint(2, 3)],
            running: Vec::new(),
            waiting: vec![waiting(0, 0)],
            stops: Vec::new(),
            starts: vec![(0, 2)],
        },
        LoadPattern {
            name: "equal load: the slow endpoint first, which online requests avoid",
            endpoints: vec![
                endpoint(1, 3),
                SharedEndpoint { slowness_percent: 180, ..endpoint(2, 3) },
                endpoint(3, 3),
            ],
            running: Vec::new(),
            waiting: vec![waiting(0, 0)],
            stops: Vec::new(),
            starts: vec![(0, 2)],
        },
        LoadPattern {
            name: "an item with output goes on at its version, though another has more room",
            endpoints: vec![endpoint(1, 6), endpoint(2, 0)],
            running: Vec::new(),
            waiting: vec![begun(0, 1, NOW)],
            stops: Vec::new(),
            starts: vec![(0, 1)],
        },
        LoadPattern {
            name: "its version has no room: it waits, and others start",
            endpoints: vec![endpoint(1, 7), endpoint(2, 0)],
            running: Vec::new(),
            waiting: vec![begun(0, 1, NOW), waiting(1, 0)],
            stops: Vec::new(),
            starts: vec![(1, 2)],
        },
        LoadPattern {
            name: "its version has had no room for long: it begins anew at another",
            endpoints: vec![endpoint(1, 7), endpoint(2, 0)],
            running: Vec::new(),
            waiting: vec![begun(0, 1, Millis(NOW.0 - VERSION_WAIT_MS))],
            stops: Vec::new(),
            starts: vec![(0, 2)],
        },
        LoadPattern {
            name: "its version is gone: it begins anew at once",
            endpoints: vec![endpoint(2, 0)],
            running: Vec::new(),
            waiting: vec![begun(0, 1, NOW)],
            stops: Vec::new(),
            starts: vec![(0, 2)],
        },
        LoadPattern {
            name: "an ejected endpoint gets nothing new",
            endpoints: vec![SharedEndpoint { open: false, ..endpoint(1, 0) }],
            running: vec![running(0, 1, 0)],
            waiting: vec![waiting(1, 0)],
            stops: Vec::new(),
            starts: Vec::new(),
        },
    ];
    for pattern in patterns {
        let plan = plan_batch(&pattern.endpoints, &pattern.running, &pattern.waiting, NOW);
        assert_eq!(plan.stops, pattern.stops, "{}", pattern.name);
        assert_eq!(plan.starts, pattern.starts, "{}", pattern.name);
    }
}

/// Guards against sums that drift from what they sum up, as reports replace each other and expire.
#[test]
fn sums_of_loads_follow_the_reports() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut occupancy = Occupancy::default();
    let mut reported: IndexMap<u64, (Millis, Vec<EndpointLoad>)> = IndexMap::new();
    let mut now = NOW;
    for sequence in 1..2_000 {
        now = now + rng.random_range(0..200);
        let peer = rng.random_range(0..8);
        let load = |endpoint| EndpointLoad {
            endpoint,
            online: rng.random_range(0..4),
            batch: rng.random_range(0..3),
        };
        let loads: Vec<EndpointLoad> = (0..6).map(load).collect();
        let name = EntryName::new(format!("p{peer}"));
        occupancy.record_report(&name, report(7, sequence, &loads), now);
        reported.insert(peer, (now + LOAD_TTL_MS, loads));
        for endpoint in 0..6 {
            let counted = reported.values().filter(|(stale_at, _)| now < *stale_at);
            let loads = counted.map(|(_, loads)| loads[endpoint as usize].clone());
            let (online, batch) =
                loads.fold((0, 0), |s, l| (s.0 + u32::from(l.online), s.1 + u32::from(l.batch)));
            let sum = occupancy.total_load(endpoint, now);
            assert_eq!((sum.online, sum.batch), (online, batch), "after report {sequence}");
        }
    }
}

#[test]
fn loads_of_peers_count_until_they_expire() {
    let mut occupancy = Occupancy::default();
    occupancy.begin(1, LoadClass::Online);
    let loads = [EndpointLoad { endpoint: 1, online: 3, batch: 2 }];
    occupancy.record_report(&"p".into(), report(7, 5, &loads), NOW);
    let late = [EndpointLoad { endpoint: 1, online: 9, batch: 9 }];
    occupancy.record_report(&"p".into(), report(7, 4, &late), NOW);
    let all = occupancy.total_load(1, NOW);
    assert_eq!((all.online, all.batch), (4, 2), "an older datagram is ignored");
    assert_eq!([0, 700, LOAD_TTL_MS].map(|ms| occupancy.max_report_age_ms(NOW + ms)), [0, 700, 0]);
    assert_eq!(occupancy.total_load(1, NOW + LOAD_TTL_MS).online, 1);
    occupancy.record_report(&"p".into(), report(8, 1, &[]), NOW);
    assert_eq!(
        occupancy.total_load(1, NOW).total(),
        1,
        "the first report of a restarted peer is accepted"
    );
    occupancy.end(1, LoadClass::Online);
    assert!(occupancy.own_loads().is_empty());
}
