//! Where an event stream ends, by its bytes in chunks of any size.

use mulberry_policy::stream_end::StreamEnd;
use mulberry_policy::stream_end::StreamPosition;

struct Ending {
    name: &'static str,
    bytes: &'static [u8],
    position: StreamPosition,
}

const ENDINGS: &[Ending] = &[
    Ending { name: "nothing", bytes: b"", position: StreamPosition::Start },
    Ending { name: "an empty line", bytes: b"\n", position: StreamPosition::BetweenEvents },
    Ending { name: "an event", bytes: b"id: 1\n\n", position: StreamPosition::BetweenEvents },
    Ending { name: "CRLF", bytes: b"id: 1\r\n\r\n", position: StreamPosition::BetweenEvents },
    Ending { name: "mixed", bytes: b"id: 1\n\r\n", position: StreamPosition::BetweenEvents },
    Ending { name: "half an end", bytes: b"id: 1\n", position: StreamPosition::WithinEvent },
    Ending { name: "half of CRLF", bytes: b"id: 1\r\n\r", position: StreamPosition::WithinEvent },
    Ending { name: "in a name", bytes: b"id: 1\n\nda", position: StreamPosition::WithinEvent },
    Ending {
        name: "in a value",
        bytes: b"id: 1\n\ndata: x",
        position: StreamPosition::WithinEvent,
    },
    Ending {
        name: "after a line",
        bytes: b"id: 1\n\nid: 2\r\n",
        position: StreamPosition::WithinEvent,
    },
];

#[test]
fn position_is_the_same_for_chunks_of_any_size() {
    for ending in ENDINGS {
        for size in 1..=ending.bytes.len().max(1) {
            let mut end = StreamEnd::default();
            ending.bytes.chunks(size).for_each(|chunk| end.push(chunk));
            assert_eq!(end.position(), ending.position, "{}, chunks of {size}", ending.name);
        }
    }
}
