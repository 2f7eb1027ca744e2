//! Tests that a job's input is validated line by line, and that the packed segments and the digest
//! do not depend on the parts in which the input arrives.

use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;

use mulberry_entry::job_lines::LinePacker;
use mulberry_entry::job_lines::MAX_LINE_BYTES;
use mulberry_protocol::refusal::RefusalReason;

/// Returns a valid line with a newline.
fn line(id: &str) -> String {
    format!(
        "{{\"custom_id\":\"{id}\",\"method\":\"POST\",\"url\":\"/v1/completions\",\
         \"body\":{{\"model\":\"m\",\"prompt\":\"p\"}}}}\n"
    )
}

struct LineCase {
    name: &'static str,
    text: String,
    /// Expected reason and a part of the expected detail; none if the input is valid.
    refused: Option<(RefusalReason, &'static str)>,
}

#[test]
fn invalid_lines_are_refused_with_their_line_number() {
    let malformed = |place| Some((RefusalReason::Malformed, place));
    let good = line("a");
    let second = |text: &str| format!("{good}{text}\n");
    let cases = [
        LineCase { name: "valid", text: format!("{good}\n{}", line("b")), refused: None },
        LineCase { name: "no final newline", text: good.trim_end().to_owned(), refused: None },
        LineCase { name: "carriage returns", text: good.replace('\n', "\r\n"), refused: None },
        LineCase {
            name: "only empty lines",
            text: "\n\n".to_owned(),
            refused: malformed("no lines"),
        },
        LineCase { name: "invalid JSON", text: second("{"), refused: malformed("line 2") },
        LineCase {
            name: "unknown field",
            text: second("{\"id\":1}"),
            refused: malformed("line 2"),
        },
        LineCase {
            name: "repeated `custom_id`",
            text: format!("{good}{good}"),
            refused: malformed("line 2: `custom_id`"),
        },
        LineCase {
            name: "different model",
            text: format!("{good}{}", line("b").replace("\"m\"", "\"n\"")),
            refused: malformed("line 2: method, path and model"),
        },
        LineCase {
            name: "missing model",
            text: line("b").replace("\"model\"", "\"modell\""),
            refused: malformed("line 1: `body.model`"),
        },
        LineCase {
            name: "unknown path",
            text: line("b").replace("/v1", "/v2"),
            refused: malformed("line 1: `url`"),
        },
        LineCase {
            name: "line too long",
            text: second(&"x".repeat(MAX_LINE_BYTES + 1)),
            refused: Some((RefusalReason::TooLarge, "line 2")),
        },
    ];
    for case in cases {
        let mut packer = LinePacker::default();
        let packed = packer.push(case.text.as_bytes()).and_then(|_| packer.finish());
        match (packed, case.refused) {
            (Ok(_), None) => {}
            (Err(refusal), Some((reason, place))) => {
                assert_eq!(refusal.reason, reason, "{}", case.name);
                assert!(refusal.detail.contains(place), "{}: {}", case.name, refusal.detail);
            }
            (packed, refused) => panic!("{}: got {packed:?}, expected {refused:?}", case.name),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(50) })]

    #[test]
    fn packing_does_not_depend_on_part_size(count in 1_usize..40, size in 1_usize..300) {
        let text: String = (0..count).map(|i| line(&format!("item-{i}"))).collect();
        let mut packer = LinePacker::default();
        let mut packed = Vec::new();
        for part in text.as_bytes().chunks(size) {
            let Ok(segments) = packer.push(part) else { panic!("a part was refused") };
            packed.extend(segments);
        }
        let Ok(segments) = packer.finish() else { panic!("the end was refused") };
        packed.extend(segments);
        let joined: Vec<u8> = packed.iter().flat_map(|s| s.bytes.to_vec()).collect();
        prop_assert_eq!(joined, text.as_bytes());
        prop_assert_eq!(packer.lines as usize, count);
        let mut whole = LinePacker::default();
        let Ok(_) = whole.push(text.as_bytes()) else { panic!("the whole input was refused") };
        prop_assert_eq!(whole.digest(), packer.digest());
    }
}
