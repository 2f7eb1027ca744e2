//! When waiting watches are made anew.

use mulberry_policy::watch_renewal::RENEWAL_MS;
use mulberry_policy::watch_renewal::StoreReport;
use mulberry_policy::watch_renewal::VERSION_LAG_MS;
use mulberry_policy::watch_renewal::WatchRenewal;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::time::Millis;

struct Case {
    name: &'static str,
    /// Time, incarnation, returns and version told by one peer.
    told: &'static [(u64, u64, u64, u64)],
    /// Times at which the watches are made anew, looked at every 100 ms for three seconds.
    renewals: &'static [u64],
}

const OWN_VERSION: u64 = 7;

#[test]
fn renewals() {
    let cases = [
        Case {
            name: "calm",
            told: &[(0, 1, 0, 7), (1_000, 1, 0, 7), (2_000, 1, 0, 7)],
            renewals: &[],
        },
        Case {
            name: "a watch sent into a silent store: the owner's renewals see it return",
            told: &[(0, 1, 0, 7), (1_000, 1, 1, 7)],
            renewals: &[1_000],
        },
        Case {
            name: "a lossy store: many returns, few renewals",
            told: &[(0, 1, 0, 7), (1_000, 1, 1, 7), (1_300, 1, 2, 7), (1_600, 1, 3, 7)],
            renewals: &[1_000, 1_000 + RENEWAL_MS],
        },
        Case {
            name: "a peer works by a newer version for longer than a watch needs",
            told: &[(0, 1, 0, 7), (1_000, 1, 0, 9)],
            renewals: &[1_000 + VERSION_LAG_MS],
        },
        Case {
            name: "a peer that started anew counts from zero",
            told: &[(0, 1, 5, 7), (1_000, 2, 0, 7), (2_000, 2, 0, 7)],
            renewals: &[],
        },
    ];
    for case in cases {
        let mut news = WatchRenewal::default();
        let peer = EntryName::new("p");
        let mut found = Vec::new();
        for at in (0..=3_000).step_by(100) {
            let now = Millis(10_000 + at);
            for (told_at, incarnation, returns, version) in case.told {
                if *told_at == at {
                    let (incarnation, returns, version) = (*incarnation, *returns, *version);
                    news.note(
                        &peer,
                        StoreReport { incarnation, returns, version },
                        OWN_VERSION,
                        now,
                    );
                }
            }
            if news.take_due_renewal(OWN_VERSION, now) {
                found.push(at);
            }
        }
        assert_eq!(found, case.renewals, "{}", case.name);
    }
}
