//! Sizes of heartbeats as encoded, and the processor time of encoding and checking them.

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

/// Bytes of the IP and UDP headers around each datagram.
pub(super) const HEADER_BYTES: f64 = 28.0;

/// Rounds of encoding and decoding.
const ROUNDS: u32 = 50_000;

/// Sizes and times.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct BeatSizes {
    /// Bytes of an entry's heartbeat with its headers, by suspects.
    pub entry_by_suspects: Line,
    /// Bytes of a side's heartbeat with its headers, by models.
    pub side_by_models: Line,
    /// Processor time of encoding, signing, checking and decoding one, in microseconds.
    pub codec_us: f64,
}

/// Makes an entry's heartbeat with names of usual length.
pub(super) fn entry_beat(sequence: u64, suspects: usize, owner_link: SocketAddr) -> EntryHeartbeat {
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

/// Makes a side's heartbeat with names of usual length.
pub(super) fn side_beat(endpoint: &str, sequence: u64, models: usize) -> SideHeartbeat {
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

/// Measures sizes and times.
pub(super) fn measure() -> BeatSizes {
    let secrets = SecretKeyring::parse(PEER_SECRET);
    let Ok(secrets) = secrets else { return empty() };
    let link = SocketAddr::from((Ipv4Addr::new(10, 20, 30, 40), 7_100));
    let size = |beat: &Heartbeat| {
        let bytes = encode_heartbeat(beat, &secrets).map_or(0, |b| b.len());
        bytes as f64 + HEADER_BYTES
    };
    let entry_points: Vec<(f64, f64)> = [0, 2, 4, 8]
        .into_iter()
        .map(|n| (n as f64, size(&Heartbeat::Entry(entry_beat(1_000_000, n, link)))))
        .collect();
    let side_points: Vec<(f64, f64)> = [0, 1, 4, 11]
        .into_iter()
        .map(|n| {
            let beat = side_beat("copywriter-kochi-a-0117", 1_000_000, n);
            (n as f64, size(&Heartbeat::Side(beat)))
        })
        .collect();
    let beat = Heartbeat::Side(side_beat("copywriter-kochi-a-0117", 1, 2));
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let decoded =
            encode_heartbeat(&beat, &secrets).and_then(|b| decode_heartbeat(&b, &secrets));
        std::hint::black_box(decoded.is_ok());
    }
    let codec_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    BeatSizes {
        entry_by_suspects: Line::fit(&entry_points),
        side_by_models: Line::fit(&side_points),
        codec_us,
    }
}

fn empty() -> BeatSizes {
    let none = Line { base: 0.0, slope: 0.0 };
    BeatSizes { entry_by_suspects: none, side_by_models: none, codec_us: 0.0 }
}
