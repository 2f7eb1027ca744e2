//! Splits an event stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// One whole event.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamEvent {
    /// Number of the event, if it has one.
    pub number: Option<u64>,
    /// Data, lines joined by line feeds.
    pub data: String,
    /// Bytes as they arrived, with the empty line at the end.
    pub raw: Bytes,
}

/// Splits parts of a stream into events.
///
/// ```
/// use mulberry_direct::events::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// assert!(splitter.push(b"id: 1\nda").is_empty());
/// let events = splitter.push(b"ta: a\n\nid: 2\n");
/// assert_eq!((events[0].number, events[0].data.as_str()), (Some(1), "a"));
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

impl EventSplitter {
    /// Takes a part and returns the events that it completes.
    pub fn push(&mut self, part: &[u8]) -> Vec<StreamEvent> {
        self.rest.extend_from_slice(part);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.rest) {
            let raw = self.rest.split_to(end).freeze();
            events.push(parse_event(raw));
        }
        events
    }

    /// Tells whether a part of an event is left.
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Returns the position after the empty line that ends the first event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn parse_event(raw: Bytes) -> StreamEvent {
    let text = String::from_utf8_lossy(&raw);
    let mut number = None;
    let mut data: Option<String> = None;
    for line in text.lines() {
        if let Some(value) = field(line, "id") {
            number = value.trim().parse().ok();
        } else if let Some(value) = field(line, "data") {
            match &mut data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => data = Some(value.to_owned()),
            }
        }
    }
    drop(text);
    StreamEvent { number, data: data.unwrap_or_default(), raw }
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
