//! Tests that events are counted, and streamed responses assembled, wherever the transport splits
//! the stream into parts.

use bytes::Bytes;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use serde_json::Value;
use serde_json::json;

use mulberry_side::sse::EventCounter;
use mulberry_side::sse::ResponseAssembler;

fn token_event(text: &str, last: bool) -> String {
    let finish = if last { json!("stop") } else { Value::Null };
    let choice = json!({"index": 0, "delta": {"content": text}, "finish_reason": finish});
    format!("data: {}\n\n", json!({"id": "a", "model": "m", "choices": [choice]}))
}

fn usage_event(tokens: u64) -> String {
    format!("data: {}\n\n", json!({"choices": [], "usage": {"completion_tokens": tokens}}))
}

const DONE: &str = "data: [DONE]\n\n";

struct AssembleCase {
    name: &'static str,
    parts: Vec<String>,
    response: Option<&'static str>,
}

#[test]
fn only_complete_responses_are_assembled() {
    let two_tokens = || vec![token_event("a ", false), token_event("b ", true)];
    let two_tokens_and = |more: &[String]| [two_tokens(), more.to_vec()].concat();
    let done = || DONE.to_owned();
    let cases = [
        AssembleCase {
            name: "whole",
            parts: two_tokens_and(&[usage_event(2), done()]),
            response: Some("a b "),
        },
        AssembleCase { name: "no usage", parts: two_tokens_and(&[done()]), response: Some("a b ") },
        AssembleCase { name: "cut off", parts: two_tokens(), response: None },
        AssembleCase {
            name: "tokens missing",
            parts: two_tokens_and(&[usage_event(3), done()]),
            response: None,
        },
        AssembleCase { name: "nothing", parts: vec![], response: None },
    ];
    for case in cases {
        let mut assembler = ResponseAssembler::default();
        for part in &case.parts {
            assembler.push(&Bytes::from(part.clone()));
        }
        let response = assembler.assemble();
        let text = response.as_ref().and_then(|a| a.pointer("/choices/0/message/content"));
        assert_eq!(text.and_then(Value::as_str), case.response, "{}", case.name);
    }
}

#[test]
fn a_resumed_response_continues_after_the_tokens_received() {
    let mut assembler = ResponseAssembler::default();
    assembler.push(&Bytes::from(token_event("a ", false)));
    assembler.push(&Bytes::from_static(b"data: {\"half"));
    assembler.discard_partial_event();
    assert_eq!(assembler.tokens(), 1);
    let rest = [token_event("b ", true), usage_event(2), DONE.to_owned()].concat();
    assembler.push(&Bytes::from(rest));
    let response = assembler.assemble().unwrap();
    assert_eq!(response.pointer("/choices/0/message/content"), Some(&json!("a b ")));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn token_counts_do_not_depend_on_part_sizes(tokens in 0_usize..6, cuts in proptest::collection::vec(1_usize..40, 0..60)) {
        let mut stream: String = (0..tokens).map(|i| token_event("x ", i + 1 == tokens)).collect();
        stream.push_str(DONE);
        let mut counter = EventCounter::default();
        let mut assembler = ResponseAssembler::default();
        let (mut counted, mut assembled) = (0, 0);
        let mut rest = stream.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let size = cuts.next().unwrap_or(rest.len()).min(rest.len());
            let (part, more) = rest.split_at(size);
            counted += counter.count(part);
            assembled += assembler.push(&Bytes::copy_from_slice(part));
            rest = more;
        }
        prop_assert_eq!(counted as usize, tokens);
        prop_assert_eq!(assembled as usize, tokens);
        assert!(counter.done);
    }
}
