//! Parser of server-sent events. It keeps the number of each event, after which a broken stream can
//! be resumed, and the raw bytes, which are passed on unchanged.

use bytes::Bytes;
use bytes::BytesMut;

use mulberry_policy::event_sequence::BlockForm;

/// One complete event of a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct SseEvent {
    /// What its lines are.
    pub form: BlockForm,
    /// The `id` field as a number, if there is one.
    pub number: Option<u64>,
    /// The `data` lines, joined by line feeds.
    pub data: String,
    /// The event's bytes as received, including the empty line at the end.
    pub raw: Bytes,
}

/// Incremental parser that splits the chunks of a stream into events.
///
/// ```
/// use mulberry_direct::sse::SseParser;
/// let mut parser = SseParser::default();
/// assert!(parser.push(b"id: 1\nda").is_empty());
/// let events = parser.push(b"ta: a\n\nid: 2\n");
/// assert_eq!((events[0].number, events[0].data.as_str()), (Some(1), "a"));
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    buf: BytesMut,
    /// Start of the first line in `buf` that has not ended.
    line_start: usize,
    /// Number of bytes in `buf` that were searched for the end of that line.
    searched: usize,
}

impl SseParser {
    /// Adds a chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<SseEvent> {
        self.buf.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = self.find_event_end() {
            let raw = self.buf.split_to(end).freeze();
            (self.line_start, self.searched) = (0, 0);
            events.push(parse_event(raw));
        }
        events
    }

    /// Returns the position after the empty line that ends the first event, or `None` if that event is
    /// incomplete. Looks at each byte once.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(offset) = self.buf[self.searched..].iter().position(|byte| *byte == b'\n') {
            let at = self.searched + offset;
            let line = &self.buf[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                return Some(at + 1);
            }
            (self.line_start, self.searched) = (at + 1, at + 1);
        }
        self.searched = self.buf.len();
        None
    }
}

fn parse_event(raw: Bytes) -> SseEvent {
    let text = String::from_utf8_lossy(&raw);
    let mut number = None;
    let mut data: Option<String> = None;
    let mut lines = text.lines().filter(|line| !line.is_empty());
    let form = match lines.clone().all(is_field) {
        true if lines.all(is_comment) => BlockForm::Comment,
        true => BlockForm::Event,
        false => BlockForm::Malformed,
    };
    for line in text.lines() {
        if let Some(value) = field_value(line, "id") {
            number = value.trim().parse().ok();
        } else if let Some(value) = field_value(line, "data") {
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
    SseEvent { form, number, data: data.unwrap_or_default(), raw }
}

fn is_comment(line: &str) -> bool {
    line.starts_with(':')
}

/// Returns whether a line can be a field or a comment. Any name may stand before a colon.
fn is_field(line: &str) -> bool {
    line.contains(':') || FIELDS_WITHOUT_VALUE.contains(&line)
}

/// Fields that may stand without a colon, with an empty value.
const FIELDS_WITHOUT_VALUE: [&str; 4] = ["data", "event", "id", "retry"];

fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
