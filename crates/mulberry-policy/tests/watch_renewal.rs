//! When pending watches are renewed.

use mulberry_policy::watch_renewal::Known;
use mulberry_policy::watch_renewal::MIN_RENEWAL_INTERVAL_MS;
use mulberry_policy::watch_renewal::StoreReport;
use mulberry_policy::watch_renewal::VERSION_LAG_MS;
use mulberry_policy::watch_renewal::WatchRenewal;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

struct Case {
    name: &'static str,
    /// Time in milliseconds, incarnation, recoveries and version of each report of one peer.
    reports: &'static [(u64, u64, u64, u64)],
    /// Times in milliseconds at which the watches are renewed, checked every 100 ms for three
    /// seconds.
    renewals: &'static [u64],
}

const OWN: Known = Known { version: 7, endpoints: 50 };

#[test]
fn watches_are_renewed_after_a_recovery_or_a_newer_version() {
    let cases = [
        Case {
            name: "no change",
            reports: &[(0, 1, 0, 7), (1_000, 1, 0, 7), (2_000, 1, 0, 7)],
            renewals: &[],
        },
        Case {
            name: "a watch sent during an outage: the owner's lease renewals see the store recover",
            reports: &[(0, 1, 0, 7), (1_000, 1, 1, 7)],
            renewals: &[1_000],
        },
        Case {
            name: "a store that loses responses: many recoveries, few renewals",
            reports: &[(0, 1, 0, 7), (1_000, 1, 1, 7), (1_300, 1, 2, 7), (1_600, 1, 3, 7)],
            renewals: &[1_000, 1_000 + MIN_RENEWAL_INTERVAL_MS],
        },
        Case {
            name: "a peer has a newer version for longer than a watch takes to deliver it",
            reports: &[(0, 1, 0, 7), (1_000, 1, 0, 9)],
            renewals: &[1_000 + VERSION_LAG_MS],
        },
        Case {
            name: "a restarted peer counts its recoveries from zero",
            reports: &[(0, 1, 5, 7), (1_000, 2, 0, 7), (2_000, 2, 0, 7)],
            renewals: &[],
        },
    ];
    for case in cases {
        let mut watch_renewal = WatchRenewal::default();
        let peer = EntryName::new("p");
        let mut found = Vec::new();
        for at in (0..=3_000).step_by(100) {
            let now = Millis(10_000 + at);
            for (reported_at, incarnation, recoveries, version) in case.reports {
                if *reported_at == at {
                    let (incarnation, recoveries, version) = (*incarnation, *recoveries, *version);
                    watch_renewal.record(
                        &peer,
                        StoreReport {
                            incarnation,
                            recoveries,
                            known: Known { version, endpoints: 0 },
                        },
                        OWN,
                        now,
                    );
                }
            }
            if watch_renewal.take_due_renewal(OWN, now) {
                found.push(at);
            }
        }
        assert_eq!(found, case.renewals, "{}", case.name);
    }
}

/// Guards against an endpoint that is used after it has left, where this process's watch hangs in
/// silence and a longer wait would hide it: a peer has seen the change.
#[test]
fn watches_are_renewed_after_a_change_of_endpoints_that_did_not_arrive() {
    struct Change {
        name: &'static str,
        /// Revision of the last change that a peer has seen.
        seen_by_peer: u64,
        /// Revision up to which this process knows all changes, 300 ms later.
        own_later: u64,
        renews: bool,
    }
    let changes = [
        Change { name: "known here too", seen_by_peer: 50, own_later: 50, renews: false },
        Change { name: "older than what is known", seen_by_peer: 49, own_later: 50, renews: false },
        Change { name: "on its way", seen_by_peer: 51, own_later: 51, renews: false },
        Change { name: "it does not arrive", seen_by_peer: 51, own_later: 50, renews: true },
        Change { name: "a later one is missing", seen_by_peer: 60, own_later: 55, renews: true },
    ];
    let peer = EntryName::new("p");
    for change in changes {
        let mut watch_renewal = WatchRenewal::default();
        let known = Known { version: 7, endpoints: change.seen_by_peer };
        let report = StoreReport { incarnation: 1, recoveries: 0, known };
        let mut renewed = false;
        for at in (0..=1_200).step_by(100) {
            let endpoints = if at < 300 { OWN.endpoints } else { change.own_later };
            let (own, now) = (Known { endpoints, ..OWN }, Millis(10_000 + at));
            watch_renewal.record(&peer, report, own, now);
            renewed |= watch_renewal.take_due_renewal(own, now);
        }
        assert_eq!(renewed, change.renews, "{}", change.name);
    }
}
