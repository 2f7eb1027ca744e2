//! Processor time of the control threads of a real entry and a real side against peers on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use mulberry_policy::ownership::LeaseSettings;
use mulberry_policy::ownership::Ownership;
use mulberry_policy::subset::EndpointPlace;
use mulberry_policy::subset::EntryPlace;
use mulberry_policy::subset::SubsetSizes;
use mulberry_policy::subset::choose_subset;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::heartbeat::Heartbeat;
use mulberry_protocol::heartbeat::decode_heartbeat;
use mulberry_protocol::heartbeat::encode_heartbeat;
use mulberry_protocol::time::Millis;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::PEER_SECRET;
use mulberry_trial::plan::SAMPLE_BUNDLE;

use super::beats::entry_beat;
use super::beats::side_beat;
use crate::error::LoadError;
use crate::stats::Line;
use crate::threads::ThreadSet;

/// Length of one measurement.
const MEASURE: Duration = Duration::from_secs(3);

/// Time for a process to settle before a measurement.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Milliseconds between heartbeats while measuring, short so that their cost stands out.
const BEAT_MS: u64 = 100;

/// Numbers of peers measured.
const PEERS: [usize; 4] = [4, 16, 48, 96];

/// Rounds of the calculations that are timed alone.
const ROUNDS: u32 = 5;

/// Costs of control.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ControlCosts {
    /// Processor time of an entry in microseconds a second, by heartbeats answered a second.
    pub entry_us_by_beats: Line,
    /// Processor time of a side in microseconds a second, by heartbeats answered a second.
    pub side_us_by_beats: Line,
    /// Time to choose a subset, in microseconds, by entries times endpoints.
    pub subset_us_by_pairs: Line,
    /// Time to rank the entries for the shards, in microseconds, by entries times shards.
    pub ranks_us_by_pairs: Line,
}

/// Measures.
pub(super) async fn measure() -> Result<ControlCosts, LoadError> {
    let mut entry_points = Vec::new();
    let mut side_points = Vec::new();
    for peers in PEERS {
        entry_points.push(measure_entry(peers).await?);
        side_points.push(measure_side(peers).await?);
    }
    Ok(ControlCosts {
        entry_us_by_beats: Line::fit(&entry_points),
        side_us_by_beats: Line::fit(&side_points),
        subset_us_by_pairs: Line::fit(&time_subsets()),
        ranks_us_by_pairs: Line::fit(&time_ranks()),
    })
}

fn secrets() -> Result<SecretKeyring, LoadError> {
    SecretKeyring::parse(PEER_SECRET)
        .map_err(|e| LoadError::Socket { source: std::io::Error::other(e) })
}

/// Runs an entry against sides that only answer heartbeats. Returns heartbeats and processor time a
/// second.
async fn measure_entry(peers: usize) -> Result<(f64, f64), LoadError> {
    let mut plan = FleetPlan::sample(0, Default::default());
    plan.endpoints.clear();
    plan.entry_zones.clear();
    plan.heartbeat_ms = BEAT_MS;
    plan.lease_renew_ms = 2_000;
    let mut fleet = Fleet::start(plan).await?;
    let before = ThreadSet::all();
    fleet.add_entry(0, "kochi-a")?;
    // The threads for callers start a moment later.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let threads = ThreadSet::started_since(&before);
    fleet.roll(SAMPLE_BUNDLE).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let vms = start_fake_sides(peers, &stop)?;
    fleet.vm_list.set(vms);
    tokio::time::sleep(SETTLE * 2).await;
    let metrics = entry_metrics(&fleet);
    let (beats_before, cpu_before) = (metrics(), threads.cpu_us());
    let started = Instant::now();
    tokio::time::sleep(MEASURE).await;
    let span = started.elapsed().as_secs_f64();
    let bytes = metrics() - beats_before;
    let cpu = threads.cpu_us() - cpu_before;
    stop.store(true, Ordering::Relaxed);
    fleet.stop().await;
    // Each answer has the same size, so that bytes count answers.
    let answer_bytes = fake_answer_bytes()?;
    Ok((bytes / answer_bytes / span, cpu / span))
}

fn entry_metrics(fleet: &Fleet) -> impl Fn() -> f64 + use<> {
    let unit = fleet.entries.values().next().and_then(|e| e.process.as_ref());
    let metrics = unit.map(|p| p.metrics.clone());
    move || metrics.as_ref().map_or(0.0, |m| m.total("entry.beat_bytes_received") as f64)
}

fn fake_answer_bytes() -> Result<f64, LoadError> {
    let beat = Heartbeat::Side(side_beat("copywriter-kochi-a-0000", 100, 2));
    let bytes = encode_heartbeat(&beat, &secrets()?);
    Ok(bytes.map_or(1.0, |b| b.len() as f64))
}

fn start_fake_sides(
    count: usize,
    stop: &Arc<AtomicBool>,
) -> Result<Vec<mulberry_platform::vm_list::Vm>, LoadError> {
    let secrets = secrets()?;
    let mut vms = Vec::new();
    let mut sockets = Vec::new();
    for i in 0..count {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let name = format!("copywriter-kochi-a-{i:04}");
        vms.push(mulberry_platform::vm_list::Vm {
            name: name.clone(),
            role: mulberry_platform::vm_list::VmRole::Endpoint,
            zone: "kochi-a".into(),
            address: socket.local_addr()?,
            service: Some("copywriter".into()),
            state: mulberry_platform::vm_list::VmState::Live,
        });
        sockets.push((name, socket));
    }
    let stop = stop.clone();
    std::thread::spawn(move || {
        let mut sequence = 100;
        let mut buf = [0; 2_048];
        while !stop.load(Ordering::Relaxed) {
            for (name, socket) in &sockets {
                while let Ok((bytes, from)) = socket.recv_from(&mut buf) {
                    if decode_heartbeat(&buf[..bytes], &secrets).is_err() {
                        continue;
                    }
                    sequence += 1;
                    let beat = Heartbeat::Side(side_beat(name, sequence, 2));
                    if let Ok(datagram) = encode_heartbeat(&beat, &secrets) {
                        // The entry may be gone by now.
                        let _lost = socket.send_to(&datagram, from);
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    Ok(vms)
}

/// Runs a side against entries that only send heartbeats. Returns heartbeats and processor time a
/// second.
async fn measure_side(peers: usize) -> Result<(f64, f64), LoadError> {
    let mut plan = FleetPlan::sample(0, Default::default());
    plan.endpoints.truncate(1);
    plan.entry_zones.clear();
    let endpoint_only = ThreadSet::all();
    let fleet = Fleet::start(plan).await?;
    let Some(side) = fleet.sides.values().next() else { return Ok((0.0, 0.0)) };
    // The stand-ins are idle, so that what they use does not count for much.
    let threads = ThreadSet::started_since(&endpoint_only);
    let (address, secrets) = (side.address, secrets()?);
    let stop = Arc::new(AtomicBool::new(false));
    let sender = start_fake_entries(peers, address, secrets, &stop)?;
    tokio::time::sleep(SETTLE).await;
    let cpu_before = threads.cpu_us();
    let sent_before = sender.load(Ordering::Relaxed);
    let started = Instant::now();
    tokio::time::sleep(MEASURE).await;
    let span = started.elapsed().as_secs_f64();
    let sent = sender.load(Ordering::Relaxed) - sent_before;
    let cpu = threads.cpu_us() - cpu_before;
    stop.store(true, Ordering::Relaxed);
    fleet.stop().await;
    Ok((sent as f64 / span, cpu / span))
}

fn start_fake_entries(
    count: usize,
    side: SocketAddr,
    secrets: SecretKeyring,
    stop: &Arc<AtomicBool>,
) -> Result<Arc<std::sync::atomic::AtomicUsize>, LoadError> {
    let sent = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let mut sockets = Vec::new();
    for i in 0..count {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        sockets.push((format!("entry-kochi-a-{i:03}"), socket));
    }
    let (stop, counter) = (stop.clone(), sent.clone());
    std::thread::spawn(move || {
        let mut sequence = 0;
        let mut buf = [0; 2_048];
        while !stop.load(Ordering::Relaxed) {
            sequence += 1;
            for (name, socket) in &sockets {
                while socket.recv_from(&mut buf).is_ok() {}
                let mut beat = entry_beat(sequence, 0, side);
                beat.entry = name.as_str().into();
                beat.backlog = 0;
                beat.bundle = 0;
                if let Ok(datagram) = encode_heartbeat(&Heartbeat::Entry(beat), &secrets) {
                    let _lost = socket.send_to(&datagram, side);
                    counter.fetch_add(1, Ordering::Relaxed);
                }
            }
            std::thread::sleep(Duration::from_millis(BEAT_MS));
        }
    });
    Ok(sent)
}

fn time_subsets() -> Vec<(f64, f64)> {
    [(30, 100), (90, 275), (360, 1_100)]
        .into_iter()
        .map(|(entries, endpoints)| {
            let zones = ["a", "b", "c"];
            let zone = |i: usize| zones[i % zones.len()].into();
            let entries: Vec<EntryPlace> = (0..entries)
                .map(|i| EntryPlace { entry: format!("entry-{i}").as_str().into(), zone: zone(i) })
                .collect();
            let endpoints: Vec<EndpointPlace> = (0..endpoints)
                .map(|i| EndpointPlace {
                    endpoint: format!("endpoint-{i}").as_str().into(),
                    zone: zone(i),
                    service: format!("service-{}", i % 11).as_str().into(),
                })
                .collect();
            let pairs = (entries.len() * endpoints.len()) as f64;
            let started = Instant::now();
            for _ in 0..ROUNDS {
                let sizes = SubsetSizes::default();
                std::hint::black_box(choose_subset(&entries[0], &entries, &endpoints, sizes));
            }
            (pairs, started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
        })
        .collect()
}

fn time_ranks() -> Vec<(f64, f64)> {
    [(30, 16), (90, 64), (360, 64)]
        .into_iter()
        .map(|(entries, shards)| {
            let settings = LeaseSettings::default();
            let mut ownership = Ownership::new("entry-0".into(), 1, shards, settings, Millis(0));
            let names: Vec<_> =
                (0..entries).map(|i| format!("entry-{i}").as_str().into()).collect();
            let pairs = (entries * shards) as f64;
            let started = Instant::now();
            for _ in 0..ROUNDS {
                ownership.apply_entries(names.clone());
                std::hint::black_box(ownership.tick(Millis(1)));
            }
            (pairs, started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
        })
        .collect()
}
