//! Reads server-sent events from an engine's stream: counts tokens, and assembles a streamed
//! response into the body of a response that isn't streamed.

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

/// Prefix of the line that holds an event's data.
const DATA_PREFIX: &[u8] = b"data: ";

/// Data of the event that ends a stream.
const DONE_MARKER: &[u8] = b"[DONE]";

/// Start of the line that ends a stream.
const DONE_LINE: &[u8] = b"data: [DONE]";

/// Counts the events of a stream and detects its last one, without copying any bytes.
///
/// ```
/// use mulberry_side::sse::EventCounter;
/// let mut counter = EventCounter::default();
/// assert_eq!(counter.count(b"data: {}\n\nda"), 1);
/// assert_eq!(counter.count(b"ta: [DONE]\n\n"), 0);
/// assert!(counter.done);
/// ```
#[derive(Debug)]
pub struct EventCounter {
    /// Length of the current line so far, which equals the start of [`DONE_LINE`], or none once the
    /// line differs from it.
    matched: Option<usize>,
    /// Whether the event that ends the stream was received.
    pub done: bool,
}

impl Default for EventCounter {
    fn default() -> Self {
        Self { matched: Some(0), done: false }
    }
}

impl EventCounter {
    /// Reads the next part of the stream and returns the number of events in it, without the event
    /// that ends the stream. An event counts once its data differs from that event's.
    pub fn count(&mut self, part: &[u8]) -> u32 {
        let mut events = 0;
        for &byte in part {
            if byte == b'\n' {
                self.matched = Some(0);
                continue;
            }
            let Some(matched) = self.matched else { continue };
            if DONE_LINE.get(matched) == Some(&byte) {
                self.matched = Some(matched + 1);
                self.done |= matched + 1 == DONE_LINE.len();
            } else {
                events += u32::from((DATA_PREFIX.len()..DONE_LINE.len()).contains(&matched));
                self.matched = None;
            }
        }
        events
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

/// Assembles a streamed response, possibly received over several runs, into one that isn't
/// streamed.
#[derive(Debug, Default)]
pub struct ResponseAssembler {
    /// Bytes after the last complete event.
    buf: Vec<u8>,
    text: String,
    first_event: Option<Value>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
    is_chat: bool,
    tokens: u32,
    done: bool,
}

impl ResponseAssembler {
    /// Adds the next part of the stream and returns the number of tokens in the events it
    /// completes.
    pub fn push(&mut self, part: &Bytes) -> u32 {
        let before = self.tokens;
        self.buf.extend_from_slice(part);
        while let Some(end) = find(&self.buf, b"\n\n") {
            let event: Vec<u8> = self.buf.drain(..end + 2).collect();
            self.push_event(&event[..end]);
        }
        self.tokens - before
    }

    /// Returns the number of tokens received so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Discards an incomplete event at the end of a stream that was cut off.
    pub fn discard_partial_event(&mut self) {
        self.buf.clear();
    }

    /// Discards everything received, for a response that starts again from its first token.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the complete response, or none if the stream has not ended or the number of tokens
    /// differs from the one in the engine's usage event.
    pub fn assemble(&self) -> Option<Value> {
        let first_event = self.first_event.as_ref().filter(|_| self.done)?;
        let reported_tokens = self.usage.as_ref().and_then(|u| u["completion_tokens"].as_u64());
        if reported_tokens.is_some_and(|t| t != u64::from(self.tokens)) {
            return None;
        }
        let finish_reason = self.finish_reason.clone().unwrap_or(Value::Null);
        let choice = if self.is_chat {
            let message = json!({"role": "assistant", "content": self.text});
            json!({"index": 0, "message": message, "finish_reason": finish_reason})
        } else {
            json!({"index": 0, "text": self.text, "finish_reason": finish_reason})
        };
        Some(json!({
            "id": first_event["id"],
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "created": first_event["created"],
            "model": first_event["model"],
            "choices": [choice],
            "usage": self.usage,
        }))
    }

    fn push_event(&mut self, event: &[u8]) {
        let Some(data) = event.strip_prefix(DATA_PREFIX) else { return };
        if data == DONE_MARKER {
            self.done = true;
            return;
        }
        let Ok(value) = serde_json::from_slice::<Value>(data) else { return };
        if let Some(usage) = value.get("usage").filter(|u| !u.is_null()) {
            self.usage = Some(usage.clone());
        }
        if let Some(choice) = value.pointer("/choices/0") {
            self.is_chat = choice.get("delta").is_some();
            let text = choice.pointer("/delta/content").or_else(|| choice.get("text"));
            self.text.push_str(text.and_then(Value::as_str).unwrap_or(""));
            if let Some(reason) = choice.get("finish_reason").filter(|r| !r.is_null()) {
                self.finish_reason = Some(reason.clone());
            }
            self.tokens += 1;
        }
        if self.first_event.is_none() {
            self.first_event = Some(value);
        }
    }
}
