//! What a process remembers of the streams that it and others have begun, and whom it tells.

use mulberry_policy::stream_origins::MAX_ORIGINS;
use mulberry_policy::stream_origins::ORIGIN_TTL_MS;
use mulberry_policy::stream_origins::REGISTRARS;
use mulberry_policy::stream_origins::Registrar;
use mulberry_policy::stream_origins::StreamOrigins;
use mulberry_policy::stream_origins::rank_registrars;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::stream_origin::OriginAnswer;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::time::Millis;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "captions".into(), software: software.into() }
}

enum Step {
    Begin,
    Record(&'static str),
    GiveUp,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Software version that is known; the answer is pending if it is empty, unknown without it.
    known: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case { name: "never heard of", steps: &[], known: None },
    Case { name: "told", steps: &[Step::Record("v1")], known: Some("v1") },
    Case {
        name: "told twice",
        steps: &[Step::Record("v1"), Step::Record("v1")],
        known: Some("v1"),
    },
    Case { name: "not certain yet", steps: &[Step::Begin], known: Some("") },
    Case { name: "certain later", steps: &[Step::Begin, Step::Record("v1")], known: Some("v1") },
    Case { name: "never certain", steps: &[Step::Begin, Step::GiveUp], known: None },
    Case { name: "contradicted", steps: &[Step::Record("v1"), Step::Record("v2")], known: None },
    Case {
        name: "contradicted for good",
        steps: &[Step::Record("v1"), Step::Record("v2"), Step::Record("v1")],
        known: None,
    },
];

#[test]
fn origin_is_known_unless_it_is_uncertain_or_contradicted() {
    for case in CASES {
        let mut origins = StreamOrigins::default();
        for step in case.steps {
            match step {
                Step::Begin => origins.begin(7, origin("v1"), Millis(0)),
                Step::Record(software) => origins.record(7, origin(software), Millis(1)),
                Step::GiveUp => origins.give_up(7),
            }
        }
        let expected = match case.known {
            None => OriginAnswer::Unknown,
            Some("") => OriginAnswer::Pending(origin("v1")),
            Some(software) => OriginAnswer::Known(origin(software)),
        };
        assert_eq!(origins.find(7), expected, "{}", case.name);
    }
}

#[test]
fn old_origins_are_forgotten_and_their_number_is_bounded() {
    let mut origins = StreamOrigins::default();
    origins.record(1, origin("v1"), Millis(0));
    origins.record(2, origin("v1"), Millis(ORIGIN_TTL_MS - 1));
    assert_eq!(origins.find(1), OriginAnswer::Known(origin("v1")));
    origins.record(3, origin("v1"), Millis(ORIGIN_TTL_MS));
    assert_eq!(origins.find(1), OriginAnswer::Unknown);
    assert_eq!(origins.find(2), OriginAnswer::Known(origin("v1")));
    for stream in 10..10 + MAX_ORIGINS as u64 {
        origins.record(stream, origin("v1"), Millis(ORIGIN_TTL_MS));
    }
    assert_eq!(origins.find(2), OriginAnswer::Unknown, "the oldest goes first");
    assert_eq!(origins.find(11), OriginAnswer::Known(origin("v1")));
}

fn processes(role: PeerRole, count: usize) -> Vec<Registrar> {
    let process = |n| Registrar { name: EntryName::new(format!("{role:?}-{n}")), role };
    (0..count).map(process).collect()
}

#[test]
fn processes_with_different_views_agree_on_most_registrars() {
    let all = processes(PeerRole::Entry, 8);
    let mut shuffled = all.clone();
    shuffled.reverse();
    let without_last = &all[..7];
    let first = |stream, of: &[Registrar]| of[rank_registrars(stream, of)[0]].clone();
    let agreeing = (0..800).filter(|s| first(*s, &all) == first(*s, without_last)).count();
    assert!(
        (0..800).all(|s| first(s, &all) == first(s, &shuffled)),
        "the order of names is nothing"
    );
    assert!(agreeing > 600, "{agreeing} of 800");
    let told: Vec<usize> =
        all.iter().map(|name| (0..800).filter(|s| first(*s, &all) == *name).count()).collect();
    assert!(told.iter().all(|count| (50..150).contains(count)), "{told:?}");
}

/// Guards against streams that nobody remembers once all processes of one role were killed.
#[test]
fn each_role_is_told_of_each_stream() {
    for (entries, owners) in [(1, 1), (4, 2), (88, 45), (2, 45)] {
        let all =
            [processes(PeerRole::Entry, entries), processes(PeerRole::Owner, owners)].concat();
        for stream in 0..200 {
            let ranked = rank_registrars(stream, &all);
            let roles: Vec<PeerRole> = ranked.iter().map(|i| all[*i].role).collect();
            let told = &roles[..REGISTRARS];
            assert!(told.contains(&PeerRole::Entry) && told.contains(&PeerRole::Owner), "{told:?}");
            assert_eq!(ranked.len(), all.len(), "each of them is ranked");
        }
    }
    let only_owners = processes(PeerRole::Owner, 3);
    assert_eq!(rank_registrars(1, &only_owners).len(), 3, "no entry is heard");
}
