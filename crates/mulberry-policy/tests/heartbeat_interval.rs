//! Intervals between heartbeats, by role and fleet size.

use mulberry_policy::heartbeat_interval::HeartbeatReceiver;
use mulberry_policy::heartbeat_interval::HeartbeatSender;
use mulberry_policy::heartbeat_interval::MIN_HEARTBEAT_INTERVAL_MS;
use mulberry_policy::heartbeat_interval::heartbeat_interval_ms;
use mulberry_policy::heartbeat_interval::load_ttl_ms;
use mulberry_protocol::peer::PeerRole::Entry;
use mulberry_protocol::peer::PeerRole::Owner;

struct Case {
    name: &'static str,
    sender: HeartbeatSender,
    receiver: HeartbeatReceiver,
    interval_ms: u64,
}

const fn entry(entries: usize) -> HeartbeatSender {
    HeartbeatSender { role: Entry, owns_jobs: false, entries, near_entries: entries / 5 }
}

const fn owner(owns_jobs: bool) -> HeartbeatSender {
    HeartbeatSender { role: Owner, owns_jobs, entries: 359, near_entries: 30 }
}

const LIVE_ENTRY: HeartbeatReceiver =
    HeartbeatReceiver { role: Entry, owns_jobs: false, is_near: false, silent_ms: Some(90) };

const CASES: &[Case] = &[
    Case { name: "a few entries", sender: entry(4), receiver: LIVE_ENTRY, interval_ms: 100 },
    Case {
        name: "a larger fleet at full rate",
        sender: entry(20),
        receiver: LIVE_ENTRY,
        interval_ms: 100,
    },
    Case { name: "a hundred entries", sender: entry(99), receiver: LIVE_ENTRY, interval_ms: 500 },
    Case {
        name: "a hundred entries, one of those in the sender's zone",
        sender: entry(99),
        receiver: HeartbeatReceiver { is_near: true, ..LIVE_ENTRY },
        interval_ms: 100,
    },
    Case {
        name: "360 entries in 12 zones, one of those in the sender's",
        sender: HeartbeatSender { near_entries: 30, ..entry(359) },
        receiver: HeartbeatReceiver { is_near: true, ..LIVE_ENTRY },
        interval_ms: 200,
    },
    Case {
        name: "360 entries, the fleet size expected in two years",
        sender: entry(359),
        receiver: LIVE_ENTRY,
        interval_ms: 1_000,
    },
    Case {
        name: "an entry to the owner of the jobs, which shares endpoints with it",
        sender: entry(359),
        receiver: HeartbeatReceiver { role: Owner, owns_jobs: true, ..LIVE_ENTRY },
        interval_ms: 100,
    },
    Case {
        name: "an entry to a standby owner",
        sender: entry(4),
        receiver: HeartbeatReceiver { role: Owner, ..LIVE_ENTRY },
        interval_ms: 1_000,
    },
    Case {
        name: "the owner of the jobs to an entry",
        sender: owner(true),
        receiver: LIVE_ENTRY,
        interval_ms: 100,
    },
    Case {
        name: "a standby owner to an entry",
        sender: owner(false),
        receiver: LIVE_ENTRY,
        interval_ms: 1_000,
    },
    Case {
        name: "a standby owner to another one",
        sender: owner(false),
        receiver: HeartbeatReceiver { role: Owner, ..LIVE_ENTRY },
        interval_ms: 100,
    },
    Case {
        name: "a peer that stopped sending heartbeats",
        sender: owner(true),
        receiver: HeartbeatReceiver { silent_ms: Some(6_000), ..LIVE_ENTRY },
        interval_ms: 1_000,
    },
    Case {
        name: "a peer that never sent a heartbeat",
        sender: entry(4),
        receiver: HeartbeatReceiver { silent_ms: None, ..LIVE_ENTRY },
        interval_ms: 1_000,
    },
];

#[test]
fn interval_depends_on_roles_fleet_size_and_silence() {
    for case in CASES {
        let interval_ms = heartbeat_interval_ms(case.sender, case.receiver);
        assert_eq!(interval_ms, case.interval_ms, "{}", case.name);
        assert_eq!(interval_ms % MIN_HEARTBEAT_INTERVAL_MS, 0, "{}", case.name);
    }
}

#[test]
fn heartbeats_per_second_of_an_entry_are_bounded() {
    let per_second = |entries: usize| {
        entries as f64 * 1_000.0 / heartbeat_interval_ms(entry(entries), LIVE_ENTRY) as f64
    };
    for entries in [4, 24, 25, 100, 200, 240, 359] {
        assert!(per_second(entries) <= 360.0, "{entries}: {}", per_second(entries));
    }
}

#[test]
fn a_load_counts_until_several_heartbeats_were_missed() {
    assert_eq!([100, 500, 1_000].map(load_ttl_ms), [1_000, 2_200, 3_700]);
}
