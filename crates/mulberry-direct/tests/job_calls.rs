//! Calls on batch jobs as they are sent over links.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use mulberry_direct::job_calls::JobCall;
use mulberry_protocol::link::MAX_FRAME_BYTES;
use mulberry_protocol::link::decode_message;
use mulberry_protocol::link::encode_message;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;

/// The largest legal body, in bytes.
const LARGEST_BODY: usize = 4_194_304;

/// A submission of the largest legal size fits into a frame. Frames of 4 MB had no room for what is sent
/// around the body.
#[test]
fn largest_submission_fits_into_a_frame() {
    let call = JobCall::Submit {
        job: JobId::new("j".repeat(1_000)),
        route: "r".repeat(1_000),
        host: "h".repeat(1_000),
        body: Bytes::from(vec![b'x'; LARGEST_BODY]),
        left_ms: u64::MAX,
        path: Some("p".repeat(1_000)),
    };
    let call = call.for_account(Some(ClientName::new("c".repeat(1_000))));
    let frame = encode_message(&call).map(|bytes| bytes.len());
    assert!(matches!(frame, Ok(length) if length <= MAX_FRAME_BYTES), "{frame:?}");
}

/// Calls as builds before the path of submissions was sent know them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierCall {
    Submit { job: JobId, route: String, host: String, body: Bytes, left_ms: u64 },
}

/// Guards against submissions that fail while two builds run side by side in a release: neither could read the other's
/// calls.
#[test]
fn earlier_builds_and_this_one_read_each_others_submissions() {
    let (job, route, host) = (JobId::new("j"), "r".to_owned(), "h".to_owned());
    let body = Bytes::from_static(b"{}");
    let earlier = EarlierCall::Submit {
        job: job.clone(),
        route: route.clone(),
        host: host.clone(),
        body: body.clone(),
        left_ms: 7,
    };
    let submit = |path: Option<&str>| JobCall::Submit {
        job: job.clone(),
        route: route.clone(),
        host: host.clone(),
        body: body.clone(),
        left_ms: 7,
        path: path.map(str::to_owned),
    };
    let frame = encode_message(&earlier).unwrap_or_default();
    assert!(matches!(decode_message::<JobCall>(&frame), Ok(call) if call == submit(None)));
    let frame = encode_message(&submit(Some("/p"))).unwrap_or_default();
    assert!(matches!(decode_message::<EarlierCall>(&frame), Ok(call) if call == earlier));
    assert!(matches!(decode_message::<JobCall>(&frame), Ok(call) if call == submit(Some("/p"))));
    let account = Some(ClientName::new("c"));
    let call = submit(Some("/p")).for_account(account.clone());
    let frame = encode_message(&call).unwrap_or_default();
    assert!(matches!(decode_message::<JobCall>(&frame), Ok(decoded) if decoded == call));
}
