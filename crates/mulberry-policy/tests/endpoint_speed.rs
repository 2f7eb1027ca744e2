//! What is learned of endpoints' speeds from the times of their responses.

use mulberry_policy::endpoint_speed::EndpointSpeeds;
use mulberry_policy::endpoint_speed::ObservedRun;
use mulberry_policy::endpoint_speed::told_with;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::SoftwareVersion;
use mulberry_protocol::name::ZoneName;
use mulberry_protocol::peer::EndpointLoad;
use mulberry_protocol::peer::EndpointSlowness;
use mulberry_protocol::peer::Member;
use mulberry_protocol::peer::PeerDatagram;
use mulberry_protocol::peer::PeerHeartbeat;
use mulberry_protocol::peer::PeerPlace;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::peer::encode_peer_datagram;
use mulberry_protocol::time::Millis;

const SLOTS: u32 = 8;

fn record(index: usize, started_unix_ms: u64) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::new(format!("endpoint-{index}")),
        service: ServiceName::new("captions"),
        address: ([127, 0, 0, 1], 9).into(),
        software: SoftwareVersion::new("1"),
        zone: ZoneName::new("a"),
        slots: SLOTS,
        state: EndpointState::Ready,
        is_cold: false,
        started_unix_ms,
    }
}

/// Returns the times of a run. With more in flight, tokens take longer at every endpoint.
fn run(slowness: f64, in_flight: u32) -> ObservedRun {
    let token_ms = 20.0 * slowness * (1.0 + f64::from(in_flight) / f64::from(SLOTS));
    let first_ms = (50.0 * slowness) as u64;
    ObservedRun { in_flight, first_ms, rest: Some(((token_ms * 29.0) as u64, 30)) }
}

/// Learns `runs` runs of each of four endpoints, the first of which is slow and has more in flight on
/// average.
fn learn(speeds: &mut EndpointSpeeds, slowness: f64, runs: u64) -> Millis {
    for turn in 0..runs {
        for index in 0..4 {
            let (slowness, load) = if index == 0 { (slowness, 3) } else { (1.0, 1) };
            let in_flight = load + (turn % 4) as u32;
            let now = Millis(turn * 100);
            speeds.record_run(&record(index, 1), run(slowness, in_flight), now);
        }
    }
    Millis(runs * 100)
}

fn keys(started_unix_ms: u64) -> Vec<u32> {
    (0..4).map(|i| record(i, started_unix_ms).speed_key()).collect()
}

fn ratio(speeds: &EndpointSpeeds, keys: &[u32], now: Millis) -> f64 {
    let slowness = speeds.slowness(keys, now);
    slowness[0] / slowness[1]
}

/// Guards against a slow endpoint that counts like the others, and against one that is thought slow for
/// the load that it had.
#[test]
fn slowness_is_learned_apart_from_the_load() {
    for (slowness, range) in [(1.82, 1.4..2.1), (1.0, 0.85..1.2), (0.7, 0.5..0.85)] {
        let mut speeds = EndpointSpeeds::default();
        let now = learn(&mut speeds, slowness, 60);
        let learned = ratio(&speeds, &keys(1), now);
        assert!(range.contains(&learned), "{slowness}: learned {learned:.2}");
    }
}

/// Guards against an endpoint that gets no requests for a single odd response.
#[test]
fn one_odd_response_makes_no_endpoint_slow() {
    let mut speeds = EndpointSpeeds::default();
    let now = learn(&mut speeds, 1.0, 20);
    speeds.record_run(&record(0, 1), run(40.0, 5), now);
    let learned = ratio(&speeds, &keys(1), now);
    assert!(learned < 1.2, "learned {learned:.2}");
}

/// Guards against an endpoint that pays for the speed of the process before it, and against a slowness
/// that lasts when nobody sees it any more.
#[test]
fn slowness_is_forgotten_after_a_restart_and_with_time() {
    let mut speeds = EndpointSpeeds::default();
    let now = learn(&mut speeds, 1.82, 60);
    assert!((ratio(&speeds, &keys(2), now) - 1.0).abs() < 0.01, "after a restart");
    let late = ratio(&speeds, &keys(1), now + 100_000);
    assert!(late < 1.2, "after 100 s it still counts as {late:.2}");
}

/// Guards against entries that know only the speeds of endpoints to which they send themselves.
#[test]
fn peers_learn_what_is_told_in_turn() {
    let mut teller = EndpointSpeeds::default();
    let now = learn(&mut teller, 1.82, 60);
    let mut peer = EndpointSpeeds::default();
    for turn in 0..4 {
        let told = teller.slowness_to_tell(1, now);
        assert_eq!(told.len(), 1, "turn {turn}");
        peer.merge(&told, now);
    }
    assert!(teller.slowness_to_tell(9, now).is_empty(), "what was told is told again");
    let learned = ratio(&peer, &keys(1), now);
    assert!((1.4..2.1).contains(&learned), "the peer has learned {learned:.2}");
}

fn heartbeat(loads: usize, slowness: usize) -> PeerDatagram {
    let load =
        |endpoint| EndpointLoad { endpoint: u64::MAX - endpoint as u64, online: 1, batch: 0 };
    let address = ([10, 0, 0, 1], 7_660).into();
    let heartbeat = PeerHeartbeat {
        member: Member { name: "entry-17".into(), role: PeerRole::Entry, address },
        incarnation: u64::MAX,
        sequence: 1,
        next_ms: 100,
        version: 3,
        store_recoveries: 0,
        owner: None,
        loads: (0..loads).map(load).collect(),
        suspects: Vec::new(),
    };
    let told = EndpointSlowness { endpoint: u32::MAX, log: -40, weight: 3 };
    PeerDatagram {
        heartbeat,
        details: Vec::new(),
        parts: Vec::new(),
        limits: Vec::new(),
        place: Some(PeerPlace { zone: "zone-1".into(), endpoints_changed: 40 }),
        accounts: Vec::new(),
        refused: Vec::new(),
        slowness: vec![told; slowness],
        waiting: Vec::new(),
    }
}

/// Guards against heartbeats that cost more than a tenth more than before, and against small ones that
/// never tell anything.
#[test]
fn heartbeats_grow_by_less_than_a_tenth() {
    let secrets = SecretKeyring::parse("the-secret-of-all-peers").unwrap();
    for loads in [0, 1, 9, 10, 45, 150] {
        let bytes = |slowness: usize| {
            encode_peer_datagram(&heartbeat(loads, slowness), &secrets).unwrap().len()
        };
        let told = |sequence: u64| told_with(loads, sequence);
        let now = (1..=7).map(|sequence| bytes(told(sequence))).sum::<usize>();
        let before = 7 * bytes(0);
        assert!(now * 10 < before * 11, "{loads} loads: {before} -> {now} bytes");
        assert!((1..=7).any(|sequence| told(sequence) > 0), "{loads} loads: nothing is told");
    }
}
