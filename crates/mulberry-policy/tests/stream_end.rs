//! Where an event stream ends, by its bytes in chunks of any size, and whether it is whole.

use mulberry_policy::stream_end::BodyFraming;
use mulberry_policy::stream_end::MAX_EVENT_BYTES;
use mulberry_policy::stream_end::StreamEnd;
use mulberry_policy::stream_end::StreamEnding;
use mulberry_policy::stream_end::StreamPosition;
use mulberry_policy::stream_end::StreamVerdict;

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

struct EndCase {
    name: &'static str,
    framing: BodyFraming,
    position: StreamPosition,
    is_continued: bool,
    /// The verdict if the sender goes on, and if its process has ended.
    verdicts: [StreamVerdict; 2],
}

const END_CASES: &[EndCase] = &[
    EndCase {
        name: "the connection ends within an event",
        framing: BodyFraming::Connection,
        position: StreamPosition::WithinEvent,
        is_continued: false,
        verdicts: [StreamVerdict::BrokenOff, StreamVerdict::BrokenOff],
    },
    EndCase {
        name: "the last chunk ends within an event",
        framing: BodyFraming::Chunks,
        position: StreamPosition::WithinEvent,
        is_continued: true,
        verdicts: [StreamVerdict::BrokenOff, StreamVerdict::BrokenOff],
    },
    EndCase {
        name: "the connection ends before the first event",
        framing: BodyFraming::Connection,
        position: StreamPosition::Start,
        is_continued: false,
        verdicts: [StreamVerdict::BrokenOff, StreamVerdict::BrokenOff],
    },
    EndCase {
        name: "nothing was left behind the last event",
        framing: BodyFraming::Connection,
        position: StreamPosition::Start,
        is_continued: true,
        verdicts: [StreamVerdict::Whole, StreamVerdict::BrokenOff],
    },
    EndCase {
        name: "a stream without events that says so",
        framing: BodyFraming::Chunks,
        position: StreamPosition::Start,
        is_continued: false,
        verdicts: [StreamVerdict::Whole, StreamVerdict::Whole],
    },
    EndCase {
        name: "the connection ends between events",
        framing: BodyFraming::Connection,
        position: StreamPosition::BetweenEvents,
        is_continued: false,
        verdicts: [StreamVerdict::Whole, StreamVerdict::BrokenOff],
    },
    EndCase {
        name: "the last chunk ends between events",
        framing: BodyFraming::Chunks,
        position: StreamPosition::BetweenEvents,
        is_continued: false,
        verdicts: [StreamVerdict::Whole, StreamVerdict::Whole],
    },
];

#[test]
fn stream_is_whole_unless_its_end_says_otherwise() {
    for case in END_CASES {
        let EndCase { framing, position, is_continued, .. } = *case;
        let ending = StreamEnding { framing, position, is_continued, is_event_owed: false };
        assert_eq!([false, true].map(|ended| ending.judge(ended)), case.verdicts, "{}", case.name);
        let [goes_on, ended] = case.verdicts;
        assert_eq!(ending.needs_probe(), goes_on != ended, "{}", case.name);
    }
}

/// Guards against ORDER of issue 37: a stream ended as complete though a part of its next event had come.
#[test]
fn stream_is_not_whole_while_an_event_is_owed() {
    for case in END_CASES {
        let EndCase { framing, position, is_continued, .. } = *case;
        let ending = StreamEnding { framing, position, is_continued, is_event_owed: true };
        let verdicts = [false, true].map(|ended| ending.judge(ended));
        assert_eq!(verdicts, [StreamVerdict::BrokenOff; 2], "{}", case.name);
    }
}

/// Guards against bytes without end (issue 23) that are no event.
#[test]
fn event_that_does_not_end_is_overlong() {
    let mut end = StreamEnd::default();
    let line = [b'x'; 1024];
    for _ in 0..MAX_EVENT_BYTES / line.len() {
        end.push(&line);
        assert!(!end.is_overlong());
    }
    end.push(b"\n\n");
    assert!(!end.is_overlong(), "the event has ended");
    for _ in 0..=MAX_EVENT_BYTES / line.len() {
        end.push(&line);
    }
    assert!(end.is_overlong());
}
