//! Decoders must not panic on any input, and must refuse altered or truncated messages.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use mulberry_protocol::account_rate::RateDecision;
use mulberry_protocol::account_rate::RateMessage;
use mulberry_protocol::account_rate::decode_rate_message;
use mulberry_protocol::account_rate::encode_rate_message;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::bundle::apply_delta;
use mulberry_protocol::bundle::make_delta;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::heartbeat::EntryHeartbeat;
use mulberry_protocol::heartbeat::Heartbeat;
use mulberry_protocol::heartbeat::Presence;
use mulberry_protocol::heartbeat::Suspect;
use mulberry_protocol::heartbeat::decode_heartbeat;
use mulberry_protocol::heartbeat::encode_heartbeat;
use mulberry_protocol::limit::LimitMessage;
use mulberry_protocol::limit::PermitClass;
use mulberry_protocol::limit::PermitDecision;
use mulberry_protocol::limit::SeenLimit;
use mulberry_protocol::limit::decode_limit_message;
use mulberry_protocol::limit::encode_limit_message;
use mulberry_protocol::link::FromOwner;
use mulberry_protocol::link::FromSide;
use mulberry_protocol::link::Hello;
use mulberry_protocol::link::ToOwner;
use mulberry_protocol::link::ToSide;
use mulberry_protocol::link::decode_message;
use mulberry_protocol::link::encode_message;
use mulberry_protocol::peer::EndpointSlowness;
use mulberry_protocol::peer::Member;
use mulberry_protocol::peer::PeerDatagram;
use mulberry_protocol::peer::PeerHeartbeat;
use mulberry_protocol::peer::PeerPlace;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::peer::SeenCrash;
use mulberry_protocol::peer::ServiceWaiting;
use mulberry_protocol::peer::SuspectDetail;
use mulberry_protocol::peer::decode_peer_datagram;
use mulberry_protocol::peer::encode_peer_datagram;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::stream_origin::OriginAnswer;
use mulberry_protocol::stream_origin::StreamMessage;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::stream_origin::decode_stream_message;
use mulberry_protocol::stream_origin::encode_stream_message;

fn keyring(text: &str) -> SecretKeyring {
    match SecretKeyring::parse(text) {
        Ok(secrets) => secrets,
        Err(e) => panic!("{e}"),
    }
}

fn heartbeat(bundle: u64) -> Heartbeat {
    Heartbeat::Entry(EntryHeartbeat {
        entry: "entry-0".into(),
        sequence: 1,
        owner_link: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_100)),
        bundle,
        backlog: 3,
        presence: Presence::Serving,
        suspects: Vec::new(),
    })
}

struct SecretCase {
    name: &'static str,
    sender: &'static str,
    receiver: &'static str,
    accepted: bool,
}

/// During a rotation, processes hold the old secret, both secrets or the new one.
#[test]
fn secrets_are_rotated_without_downtime() {
    let (old, new) = ("the-old-secret-of-all", "the-new-secret-of-all");
    let both: &'static str = "the-old-secret-of-all,the-new-secret-of-all";
    let cases = [
        SecretCase { name: "same secret", sender: old, receiver: old, accepted: true },
        SecretCase {
            name: "receiver has added the new secret",
            sender: old,
            receiver: both,
            accepted: true,
        },
        SecretCase {
            name: "sender has switched to the new secret",
            sender: new,
            receiver: both,
            accepted: true,
        },
        SecretCase {
            name: "unknown secret",
            sender: "another-secret-entirely",
            receiver: both,
            accepted: false,
        },
    ];
    for case in cases {
        let datagram = encode_heartbeat(&heartbeat(1), &keyring(case.sender));
        let decoded = datagram.and_then(|d| decode_heartbeat(&d, &keyring(case.receiver)));
        assert_eq!(decoded.is_ok(), case.accepted, "{}", case.name);
    }
    assert!(SecretKeyring::parse("short").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(decode_heartbeat(&bytes, &keyring("a-secret-of-sixteen-b")).is_err());
        let _any = decode_message::<ToSide>(&bytes);
        let _any = decode_message::<FromSide>(&bytes);
        let _any = decode_message::<ToOwner>(&bytes);
        let _any = decode_message::<FromOwner>(&bytes);
        let _any = decode_message::<Hello>(&bytes);
        let _any = parse_bundle(&String::from_utf8_lossy(&bytes), "fuzz");
    }

    #[test]
    fn an_altered_datagram_is_refused(bundle in any::<u64>(), at in any::<usize>(), flip in 1_u8..) {
        let secrets = keyring("a-secret-of-sixteen-b");
        let Ok(mut datagram) = encode_heartbeat(&heartbeat(bundle), &secrets) else { panic!("the heartbeat was not encoded") };
        prop_assert_eq!(decode_heartbeat(&datagram, &secrets), Ok(heartbeat(bundle)));
        let at = at % datagram.len();
        datagram[at] ^= flip;
        prop_assert!(decode_heartbeat(&datagram, &secrets).is_err());
    }

    #[test]
    fn a_truncated_message_is_refused(detail in ".{0,40}", kept_fraction in 0.0_f64..1.0) {
        let refusal = Refusal::not_run(RefusalReason::Busy, detail);
        let message = FromSide::Refused { attempt: u64::MAX, refusal, suspects: Vec::new() };
        let Ok(bytes) = encode_message(&message) else { panic!("the message was not encoded") };
        prop_assert_eq!(decode_message::<FromSide>(&bytes), Ok(message));
        let kept = (bytes.len() as f64 * kept_fraction) as usize;
        prop_assert!(decode_message::<FromSide>(&bytes[..kept]).is_err());
    }

    #[test]
    fn a_delta_applies_only_to_its_source_text(from in "[a-cé]{0,30}", to in "[a-cé]{0,30}", other in "[a-cé]{0,30}") {
        let delta = make_delta(&from, &to);
        let applied = apply_delta(&from, &delta);
        prop_assert_eq!(applied.as_deref(), Some(to.as_str()));
        if other != from {
            prop_assert_eq!(apply_delta(&other, &delta), None);
        }
    }
}

fn peer_datagram(details: Vec<SuspectDetail>) -> PeerDatagram {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_660));
    let heartbeat = PeerHeartbeat {
        member: Member { name: "entry-0".into(), role: PeerRole::Entry, address },
        incarnation: 7,
        sequence: 1,
        next_ms: 100,
        version: 3,
        store_recoveries: 0,
        owner: None,
        loads: Vec::new(),
        suspects: vec![Suspect { fingerprint: 9, crashes: 4, recent: false, confirmed: true }],
    };
    let limits = vec![SeenLimit { endpoint: 3, per_s: Some(0.5), seen_ms_ago: 20 }];
    PeerDatagram {
        heartbeat,
        details,
        parts: vec![9],
        limits,
        place: None,
        accounts: Vec::new(),
        refused: Vec::new(),
        slowness: Vec::new(),
        waiting: Vec::new(),
    }
}

/// Guards against builds that can't hear each other during an upgrade: earlier ones send and read a
/// heartbeat without the details behind it.
#[test]
fn earlier_builds_read_heartbeats_with_details_and_send_them_without() {
    let secrets = keyring("the-secret-of-all-peers");
    let crash = SeenCrash { endpoint: 5, sent_ms_ago: 300, broke_ms_ago: 0, is_refused: true };
    let detail = SuspectDetail {
        crashes: vec![crash],
        is_proven: true,
        completed_ms_ago: Some(1),
        trials: 1,
        last_trial_ms_ago: Some(2),
    };
    for details in [Vec::new(), vec![detail.clone()]] {
        let sent = peer_datagram(details);
        let datagram = encode_peer_datagram(&sent, &secrets).unwrap();
        assert_eq!(decode_peer_datagram(&datagram, &secrets).unwrap(), sent);
        let payload = secrets.verify_datagram(&datagram).unwrap();
        let read_before: PeerHeartbeat = postcard::from_bytes(payload).unwrap();
        assert_eq!(read_before, sent.heartbeat);
    }
    let place = PeerPlace { zone: "a".into(), endpoints_changed: 40 };
    let with_place = PeerDatagram { place: Some(place), ..peer_datagram(Vec::new()) };
    let datagram = encode_peer_datagram(&with_place, &secrets).unwrap();
    assert_eq!(decode_peer_datagram(&datagram, &secrets).unwrap(), with_place);
    let slowness = vec![EndpointSlowness { endpoint: u32::MAX, log: -40, weight: 3 }];
    let with_slowness = PeerDatagram { slowness, ..with_place };
    let datagram = encode_peer_datagram(&with_slowness, &secrets).unwrap();
    assert_eq!(decode_peer_datagram(&datagram, &secrets).unwrap(), with_slowness);
    let waiting = vec![ServiceWaiting { service: 7, counts: [0, 1, 2, 300, 0, 0, 0, 1] }];
    let with_waiting = PeerDatagram { waiting, ..peer_datagram(Vec::new()) };
    let datagram = encode_peer_datagram(&with_waiting, &secrets).unwrap();
    assert_eq!(decode_peer_datagram(&datagram, &secrets).unwrap(), with_waiting);
    let sent = peer_datagram(vec![detail]);
    let heartbeat = postcard::to_stdvec(&sent.heartbeat).unwrap();
    let details = postcard::to_stdvec(&sent.details).unwrap();
    let without_parts = secrets.sign_datagram(&[heartbeat, details].concat());
    let read = decode_peer_datagram(&without_parts, &secrets).unwrap();
    assert_eq!((read.details, read.parts), (sent.details, Vec::new()));
    let payload = postcard::to_stdvec(&peer_datagram(Vec::new()).heartbeat).unwrap();
    let sent_before = secrets.sign_datagram(&payload);
    assert!(decode_peer_datagram(&sent_before, &secrets).unwrap().details.is_empty());
}

/// Guards against builds that take each other's datagrams for something else during an upgrade: earlier
/// ones know heartbeats only.
#[test]
fn messages_about_streams_and_limits_and_heartbeats_are_told_apart() {
    let secrets = keyring("the-secret-of-all-peers");
    let origin = StreamOrigin { service: "svc".into(), software: "v1".into() };
    let reply_to = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_660));
    let messages = [
        StreamMessage::Begun { stream: 0, origin: origin.clone() },
        StreamMessage::Ask { stream: u64::MAX, question: 1, reply_to },
        StreamMessage::Answer { question: 1, answer: OriginAnswer::Unknown },
        StreamMessage::Answer { question: 1, answer: OriginAnswer::Pending(origin) },
    ];
    for message in messages {
        let datagram = encode_stream_message(&message, &secrets).unwrap();
        let payload = secrets.verify_datagram(&datagram).unwrap();
        assert_eq!(decode_stream_message(payload).unwrap(), Some(message));
        assert!(decode_peer_datagram(&datagram, &secrets).is_err(), "an earlier build refuses it");
    }
    let seen = SeenLimit { endpoint: u64::MAX, per_s: None, seen_ms_ago: 1 };
    let decision = PermitDecision { granted: None, waits_ms: vec![400] };
    let (class, endpoints) = (PermitClass::Online, vec![seen]);
    let messages = [
        LimitMessage::Ask { question: u64::MAX, reply_to, class, endpoints },
        LimitMessage::Answer { question: 1, decision },
    ];
    for message in messages {
        let datagram = encode_limit_message(&message, &secrets).unwrap();
        let payload = secrets.verify_datagram(&datagram).unwrap();
        assert_eq!(decode_limit_message(payload).unwrap(), Some(message));
        assert_eq!(decode_stream_message(payload).unwrap(), None);
        assert!(decode_peer_datagram(&datagram, &secrets).is_err(), "an earlier build refuses it");
    }
    let account = u32::MAX;
    let messages = [
        RateMessage::Ask { question: u64::MAX, reply_to, account },
        RateMessage::Answer { question: 1, account, decision: RateDecision::Granted },
        RateMessage::Answer {
            question: 1,
            account,
            decision: RateDecision::Refused { wait_ms: 7 },
        },
    ];
    for message in messages {
        let datagram = encode_rate_message(&message, &secrets).unwrap();
        let payload = secrets.verify_datagram(&datagram).unwrap();
        assert_eq!(decode_rate_message(payload).unwrap(), Some(message));
        assert_eq!(decode_limit_message(payload).unwrap(), None);
        assert!(decode_peer_datagram(&datagram, &secrets).is_err(), "an earlier build refuses it");
    }
    let heartbeat = encode_peer_datagram(&peer_datagram(Vec::new()), &secrets).unwrap();
    let payload = secrets.verify_datagram(&heartbeat).unwrap();
    assert_eq!(decode_rate_message(payload).unwrap(), None);
    assert_eq!(decode_stream_message(payload).unwrap(), None);
    assert_eq!(decode_limit_message(payload).unwrap(), None);
}
