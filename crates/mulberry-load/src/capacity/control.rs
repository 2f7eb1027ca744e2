//! Measures the CPU time that control work costs a real entry and a real side, against simulated
//! peers on loopback.

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

use super::heartbeats::entry_heartbeat;
use super::heartbeats::side_heartbeat;
use crate::error::LoadError;
use crate::stats::Line;
use crate::threads::ThreadSet;

/// Duration of one measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(3);

/// Time for a process to reach a steady state before a measurement.
const SETTLE_DELAY: Duration = Duration::from_millis(1_500);

/// Interval between heartbeats while measuring, in milliseconds. It is short so that the cost of
/// heartbeats dominates that of other control work.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Numbers of peers to measure with.
const PEER_COUNTS: [usize; 4] = [4, 16, 48, 96];

/// Repetitions of each calculation that is timed in isolation.
const ROUNDS: u32 = 5;

/// CPU time of control work.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ControlCosts {
    /// CPU time of an entry in microseconds per second, by heartbeat replies received per second.
    pub entry_us_by_beats: Line,
    /// CPU time of a side in microseconds per second, by heartbeats received per second.
    pub side_us_by_beats: Line,
    /// Time to choose a subset, in microseconds, by entries times endpoints.
    pub subset_us_by_pairs: Line,
    /// Time to rank the entries for all shards, in microseconds, by entries times shards.
    pub ranks_us_by_pairs: Line,
}

/// Measures an entry and a side with each number of peers, and the calculations in isolation.
pub(super) async fn measure() -> Result<ControlCosts, LoadError> {
    let mut entry_points = Vec::new();
    let mut side_points = Vec::new();
    for peers in PEER_COUNTS {
        entry_points.push(measure_entry(peers).await?);
        side_points.push(measure_side(peers).await?);
    }
    Ok(ControlCosts {
        entry_us_by_beats: Line::fit(&entry_points),
        side_us_by_beats: Line::fit(&side_points),
        subset_us_by_pairs: Line::fit(&measure_subset_choice()),
        ranks_us_by_pairs: Line::fit(&measure_shard_ranking()),
    })
}

fn secrets() -> Result<SecretKeyring, LoadError> {
    SecretKeyring::parse(PEER_SECRET)
        .map_err(|e| LoadError::Socket { source: std::io::Error::other(e) })
}

/// Runs an entry against simulated sides that only reply to heartbeats. Returns the replies
/// received and the CPU time used, in microseconds, each per second.
async fn measure_entry(peers: usize) -> Result<(f64, f64), LoadError> {
    let mut plan = FleetPlan::sample(0, Default::default());
    plan.endpoints.clear();
    plan.entry_zones.clear();
    plan.heartbeat_ms = HEARTBEAT_INTERVAL_MS;
    plan.lease_renew_ms = 2_000;
    let mut fleet = Fleet::start(plan).await?;
    let before = ThreadSet::all();
    fleet.add_entry(0, "kochi-a")?;
    // The threads that serve callers start after `add_entry` has returned.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let threads = ThreadSet::started_since(&before);
    fleet.roll(SAMPLE_BUNDLE).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let vms = start_simulated_sides(peers, &stop)?;
    fleet.vm_list.set(vms);
    tokio::time::sleep(SETTLE_DELAY * 2).await;
    let received_bytes = heartbeat_bytes_reader(&fleet);
    let (bytes_before, cpu_before) = (received_bytes(), threads.cpu_us());
    let started = Instant::now();
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let bytes = received_bytes() - bytes_before;
    let cpu = threads.cpu_us() - cpu_before;
    stop.store(true, Ordering::Relaxed);
    fleet.stop().await;
    // All replies have the same size, so the received bytes give their number.
    let reply_bytes = reply_datagram_bytes()?;
    Ok((bytes / reply_bytes / elapsed_s, cpu / elapsed_s))
}

fn heartbeat_bytes_reader(fleet: &Fleet) -> impl Fn() -> f64 + use<> {
    let entry = fleet.entries.values().next().and_then(|e| e.process.as_ref());
    let metrics = entry.map(|p| p.metrics.clone());
    move || metrics.as_ref().map_or(0.0, |m| m.total("entry.beat_bytes_received") as f64)
}

fn reply_datagram_bytes() -> Result<f64, LoadError> {
    let heartbeat = Heartbeat::Side(side_heartbeat("copywriter-kochi-a-0000", 100, 2));
    let bytes = encode_heartbeat(&heartbeat, &secrets()?);
    Ok(bytes.map_or(1.0, |b| b.len() as f64))
}

fn start_simulated_sides(
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
                    let heartbeat = Heartbeat::Side(side_heartbeat(name, sequence, 2));
                    if let Ok(datagram) = encode_heartbeat(&heartbeat, &secrets) {
                        // The entry may have stopped already.
                        let _lost = socket.send_to(&datagram, from);
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    Ok(vms)
}

/// Runs a side against simulated entries that only send heartbeats. Returns the heartbeats sent and
/// the CPU time used, in microseconds, each per second.
async fn measure_side(peers: usize) -> Result<(f64, f64), LoadError> {
    let mut plan = FleetPlan::sample(0, Default::default());
    plan.endpoints.truncate(1);
    plan.entry_zones.clear();
    let before = ThreadSet::all();
    let fleet = Fleet::start(plan).await?;
    let Some(side) = fleet.sides.values().next() else { return Ok((0.0, 0.0)) };
    // These threads include those of the stand-ins, which are idle and use little CPU time.
    let threads = ThreadSet::started_since(&before);
    let (address, secrets) = (side.address, secrets()?);
    let stop = Arc::new(AtomicBool::new(false));
    let sent_counter = start_simulated_entries(peers, address, secrets, &stop)?;
    tokio::time::sleep(SETTLE_DELAY).await;
    let cpu_before = threads.cpu_us();
    let sent_before = sent_counter.load(Ordering::Relaxed);
    let started = Instant::now();
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let sent = sent_counter.load(Ordering::Relaxed) - sent_before;
    let cpu = threads.cpu_us() - cpu_before;
    stop.store(true, Ordering::Relaxed);
    fleet.stop().await;
    Ok((sent as f64 / elapsed_s, cpu / elapsed_s))
}

fn start_simulated_entries(
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
                let mut heartbeat = entry_heartbeat(sequence, 0, side);
                heartbeat.entry = name.as_str().into();
                heartbeat.backlog = 0;
                heartbeat.bundle = 0;
                if let Ok(datagram) = encode_heartbeat(&Heartbeat::Entry(heartbeat), &secrets) {
                    let _lost = socket.send_to(&datagram, side);
                    counter.fetch_add(1, Ordering::Relaxed);
                }
            }
            std::thread::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
        }
    });
    Ok(sent)
}

fn measure_subset_choice() -> Vec<(f64, f64)> {
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

fn measure_shard_ranking() -> Vec<(f64, f64)> {
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
