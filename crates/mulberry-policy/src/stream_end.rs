//! Decides whether a stream of events that has ended is whole, by how its body was framed and whether
//! it ended between events.

use mulberry_protocol::closed_set;

closed_set! {
    /// What says where the body of a response ends.
    pub enum BodyFraming {
        /// Its declared length.
        Length,
        /// A last chunk.
        Chunks,
        /// Only the end of the connection, which looks the same when the sender crashes.
        Connection,
    }
}

impl BodyFraming {
    /// Returns the framing's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunks => "chunks",
            BodyFraming::Connection => "connection",
        }
    }
}

closed_set! {
    /// Where the bytes of an event stream so far end.
    pub enum StreamPosition {
        /// Nothing has arrived.
        Start,
        /// After the empty line of an event.
        BetweenEvents,
        /// Within an event.
        WithinEvent,
    }
}

impl StreamPosition {
    /// Returns the position's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StreamPosition::Start => "start",
            StreamPosition::BetweenEvents => "between-events",
            StreamPosition::WithinEvent => "within-event",
        }
    }
}

/// Most bytes of one event, in bytes. What is longer is no event, and may never end.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Number of the last bytes that tell whether an event has just ended: the longest of its ends.
const TAIL_BYTES: usize = 3;

/// Follows an event stream by its last bytes. Lines end in LF or CRLF.
///
/// ```
/// use mulberry_policy::stream_end::StreamEnd;
/// use mulberry_policy::stream_end::StreamPosition;
/// let mut end = StreamEnd::default();
/// end.push(b"data: a\r\n\r");
/// assert_eq!(end.position(), StreamPosition::WithinEvent);
/// end.push(b"\n");
/// assert_eq!(end.position(), StreamPosition::BetweenEvents);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct StreamEnd {
    /// The last bytes; a stream begins as if a line had just ended.
    tail: [u8; TAIL_BYTES],
    is_started: bool,
    /// Bytes since the last event ended.
    unfinished: usize,
}

impl Default for StreamEnd {
    fn default() -> Self {
        Self { tail: [0, 0, b'\n'], is_started: false, unfinished: 0 }
    }
}

impl StreamEnd {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.is_started |= !chunk.is_empty();
        for byte in chunk {
            self.tail = [self.tail[1], self.tail[2], *byte];
            self.unfinished += 1;
            if self.is_between_events() {
                self.unfinished = 0;
            }
        }
    }

    /// Returns whether the event that has not ended yet is too long to be one.
    pub fn is_overlong(&self) -> bool {
        self.unfinished > MAX_EVENT_BYTES
    }

    /// Returns where the bytes so far end.
    pub fn position(&self) -> StreamPosition {
        match self.is_started {
            false => StreamPosition::Start,
            true if self.is_between_events() => StreamPosition::BetweenEvents,
            true => StreamPosition::WithinEvent,
        }
    }

    fn is_between_events(&self) -> bool {
        matches!(self.tail, [_, b'\n', b'\n'] | [b'\n', b'\r', b'\n'])
    }
}

closed_set! {
    /// Whether a stream that has ended is whole.
    pub enum StreamVerdict {
        /// Nothing says that a part is missing.
        Whole,
        /// Its sender broke it off.
        BrokenOff,
    }
}

/// How a stream ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnding {
    /// What says where its body ends.
    pub framing: BodyFraming,
    /// Where its bytes ended.
    pub position: StreamPosition,
    /// Whether it was to continue behind events of an earlier run, after which nothing may be left.
    pub is_continued: bool,
    /// Whether an event is known to be missing: a part of it came with an earlier run.
    pub is_event_owed: bool,
}

impl StreamEnding {
    /// Decides whether the stream is whole. If only the end of the connection says that it is over,
    /// `has_sender_ended` is whether the sender's process ended with it, without having said that it
    /// leaves.
    pub fn judge(self, has_sender_ended: bool) -> StreamVerdict {
        match (self.position, self.framing) {
            _ if self.is_event_owed => StreamVerdict::BrokenOff,
            (StreamPosition::WithinEvent, _) => StreamVerdict::BrokenOff,
            (StreamPosition::Start, BodyFraming::Connection) if !self.is_continued => {
                StreamVerdict::BrokenOff
            }
            (_, BodyFraming::Connection) if has_sender_ended => StreamVerdict::BrokenOff,
            (StreamPosition::Start | StreamPosition::BetweenEvents, _) => StreamVerdict::Whole,
        }
    }

    /// Returns whether the verdict depends on what has become of the sender.
    pub fn needs_probe(self) -> bool {
        self.judge(false) != self.judge(true)
    }
}
