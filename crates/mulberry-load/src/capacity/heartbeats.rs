//! Measures the encoded size of heartbeats and the CPU time to encode, sign, verify and decode them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

use serde::Serialize;

use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::heartbeat::EntryHeartbeat;
use mulberry_protocol::heartbeat::Heartbeat;
use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::heartbeat::SideHeartbeat;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::heartbeat::decode_heartbeat;
use mulberry_protocol::heartbeat::encode_heartbeat;
use mulberry_protocol::name::ModelName;
use mulberry_trial::plan::PEER_SECRET;

use crate::stats::Line;

/// Bytes of the IPv4 and UDP headers of each datagram.
pub(super) const IP_UDP_HEADER_BYTES: f64 = 28.0;

/// Heartbeats encoded and decoded for the CPU time.
const ROUNDS: u32 = 50_000;

/// Size of heartbeats on the network, and the CPU time that each one costs.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct HeartbeatCosts {
    /// Bytes of an entry's heartbeat, headers included, by number of suspects.
    pub entry_by_suspects: Line,
    /// Bytes of a side's heartbeat, headers included, by number of models.
    pub side_by_models: Line,
    /// CPU time to encode, sign, verify and decode one heartbeat, in microseconds.
    pub codec_us: f64,
}

/// Returns an entry's heartbeat with names of typical length.
pub(super) fn entry_heartbeat(
    sequence: u64,
    suspects: usize,
    owner_link: SocketAddr,
) -> EntryHeartbeat {
    let suspect = Suspect { fingerprint: u64::MAX, crashes: 1, recent: true, confirmed: false };
    EntryHeartbeat {
        entry: "entry-kochi-a-017".into(),
        sequence,
        owner_link,
        bundle: 4_711,
        backlog: 120_000,
        presence: Presence::Serving,
        suspects: vec![suspect; suspects],
    }
}

/// Returns a side's heartbeat with names of typical length.
pub(super) fn side_heartbeat(endpoint: &str, sequence: u64, models: usize) -> SideHeartbeat {
    SideHeartbeat {
        endpoint: endpoint.into(),
        sequence,
        incarnation: u64::MAX / 3,
        zone: "kochi-a".into(),
        service: "copywriter".into(),
        models: (0..models).map(|i| ModelName::new(format!("caption-{i:02}b"))).collect(),
        load: SideLoad { online: 31, limit: 64, batch: 30, wait_ms: 120 },
        bundle: 4_711,
        bundle_done: 4_711,
        presence: Presence::Serving,
        suspects: Vec::new(),
    }
}

/// Measures sizes and CPU time; returns zeros if the sample secret is invalid.
pub(super) fn measure() -> HeartbeatCosts {
    let secrets = SecretKeyring::parse(PEER_SECRET);
    let Ok(secrets) = secrets else { return zero_costs() };
    let link = SocketAddr::from((Ipv4Addr::new(10, 20, 30, 40), 7_100));
    let size = |heartbeat: &Heartbeat| {
        let bytes = encode_heartbeat(heartbeat, &secrets).map_or(0, |b| b.len());
        bytes as f64 + IP_UDP_HEADER_BYTES
    };
    let entry_points: Vec<(f64, f64)> = [0, 2, 4, 8]
        .into_iter()
        .map(|n| (n as f64, size(&Heartbeat::Entry(entry_heartbeat(1_000_000, n, link)))))
        .collect();
    let side_points: Vec<(f64, f64)> = [0, 1, 4, 11]
        .into_iter()
        .map(|n| {
            let heartbeat = side_heartbeat("copywriter-kochi-a-0117", 1_000_000, n);
            (n as f64, size(&Heartbeat::Side(heartbeat)))
        })
        .collect();
    let heartbeat = Heartbeat::Side(side_heartbeat("copywriter-kochi-a-0117", 1, 2));
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let decoded =
            encode_heartbeat(&heartbeat, &secrets).and_then(|b| decode_heartbeat(&b, &secrets));
        std::hint::black_box(decoded.is_ok());
    }
    let codec_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    HeartbeatCosts {
        entry_by_suspects: Line::fit(&entry_points),
        side_by_models: Line::fit(&side_points),
        codec_us,
    }
}

fn zero_costs() -> HeartbeatCosts {
    let none = Line { base: 0.0, slope: 0.0 };
    HeartbeatCosts { entry_by_suspects: none, side_by_models: none, codec_us: 0.0 }
}
