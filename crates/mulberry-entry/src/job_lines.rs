//! Validates a job's input line by line, and packs the lines into segments for storage.

use std::collections::HashSet;

use bytes::Bytes;
use bytes::BytesMut;
use serde_json::Value;

use mulberry_protocol::digest::Digest;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::job::JobLine;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

/// Longest line, in bytes.
pub const MAX_LINE_BYTES: usize = 256 * 1024;

/// Most lines in one file.
pub const MAX_LINES: u32 = 150_000;

/// Largest segment, in bytes before compression. The margin below the size limit of an object is
/// more than compression can add to incompressible data.
const SEGMENT_BYTES: usize = 600 * 1024;

/// Longest `custom_id` of an item, in bytes.
const MAX_CUSTOM_ID_BYTES: usize = 128;

/// Method, path and model, which must be the same on all lines of a file.
#[derive(Debug, Clone, PartialEq)]
pub struct CallTarget {
    /// HTTP method.
    pub method: String,
    /// Path that the lines call; for a plain service, only `/services/<name>`.
    pub path: String,
    /// Model; none for plain services.
    pub model: Option<ModelName>,
}

/// A run of complete lines that is stored as one object.
#[derive(Debug, PartialEq)]
pub struct Segment {
    /// Number of its first line, from zero.
    pub first_line: u32,
    /// The lines, each with its newline.
    pub bytes: Bytes,
}

/// Validates and packs a file that arrives in parts of any size.
#[derive(Debug, Default)]
pub struct LinePacker {
    /// Start of a line whose end has not arrived.
    partial_line: BytesMut,
    /// Lines of the segment that is being filled.
    segment: BytesMut,
    segment_start: u32,
    /// Hashes of the `custom_id`s so far.
    custom_ids: HashSet<u64>,
    digest: LineDigest,
    /// Number of the current line from one, empty lines included, for error messages.
    line_number: u32,
    /// Lines so far, without empty ones.
    pub lines: u32,
    /// Bytes so far.
    pub bytes: u64,
    /// What the lines call, once there is a first line.
    pub target: Option<CallTarget>,
}

impl LinePacker {
    /// Adds a part and returns the segments that it completed.
    pub fn push(&mut self, part: &[u8]) -> Result<Vec<Segment>, Refusal> {
        self.bytes += part.len() as u64;
        self.partial_line.extend_from_slice(part);
        let mut closed = Vec::new();
        while let Some(end) = self.partial_line.iter().position(|b| *b == b'\n') {
            let line = self.partial_line.split_to(end + 1);
            closed.extend(self.push_line(&line[..end])?);
        }
        if self.partial_line.len() > MAX_LINE_BYTES {
            return Err(self.line_too_long());
        }
        Ok(closed)
    }

    /// Ends the file and returns its last segments.
    pub fn finish(&mut self) -> Result<Vec<Segment>, Refusal> {
        let last_line = std::mem::take(&mut self.partial_line);
        let mut closed = Vec::new();
        closed.extend(self.push_line(&last_line)?);
        closed.extend(self.close_segment());
        if self.lines == 0 {
            return Err(Refusal::not_run(RefusalReason::Malformed, "the file has no lines"));
        }
        Ok(closed)
    }

    /// Returns the digest of the lines so far.
    pub fn digest(&self) -> Digest {
        self.digest.0.clone()
    }

    fn push_line(&mut self, line: &[u8]) -> Result<Option<Segment>, Refusal> {
        self.line_number += 1;
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(self.line_too_long());
        }
        if self.lines >= MAX_LINES {
            let detail = format!("the file has more than {MAX_LINES} lines");
            return Err(Refusal::not_run(RefusalReason::TooLarge, detail));
        }
        self.check_line(line)?;
        let full = self.segment.len() + line.len() + 1 > SEGMENT_BYTES;
        let closed = if full { self.close_segment() } else { None };
        self.segment.extend_from_slice(line);
        self.segment.extend_from_slice(b"\n");
        self.digest.add(line);
        self.lines += 1;
        Ok(closed)
    }

    fn close_segment(&mut self) -> Option<Segment> {
        if self.segment.is_empty() {
            return None;
        }
        let bytes = self.segment.split().freeze();
        let first_line = self.segment_start;
        self.segment_start = self.lines;
        Some(Segment { first_line, bytes })
    }

    fn check_line(&mut self, line: &[u8]) -> Result<(), Refusal> {
        let item: JobLine =
            serde_json::from_slice(line).map_err(|e| self.malformed(&e.to_string()))?;
        if item.custom_id.is_empty() || item.custom_id.len() > MAX_CUSTOM_ID_BYTES {
            return Err(self.malformed("`custom_id` must have 1 to 128 characters"));
        }
        if !self.custom_ids.insert(stable_hash(item.custom_id.as_bytes(), 0)) {
            return Err(self.malformed("`custom_id` stands twice"));
        }
        if !item.url.starts_with("/v1/") && !item.url.starts_with("/services/") {
            return Err(self.malformed("`url` must start with `/v1/` or `/services/`"));
        }
        let is_engine = item.url.starts_with("/v1/");
        let model = item.body.get("model").and_then(Value::as_str).filter(|_| is_engine);
        if is_engine && model.is_none() {
            return Err(self.malformed("`body.model` must be a text"));
        }
        if is_engine && item.method != "POST" {
            return Err(self.malformed("`method` must be `POST`"));
        }
        let model = model.map(ModelName::new);
        let target = CallTarget { method: item.method, path: common_path(&item.url), model };
        match &self.target {
            None => self.target = Some(target),
            Some(first) if *first == target => {}
            Some(_) => {
                let detail = "method, path and model must be the same on every line";
                return Err(self.malformed(detail));
            }
        }
        Ok(())
    }

    fn malformed(&self, detail: &str) -> Refusal {
        let detail = format!("line {}: {detail}", self.line_number);
        Refusal::not_run(RefusalReason::Malformed, detail)
    }

    fn line_too_long(&self) -> Refusal {
        let number = self.line_number;
        let detail = format!("line {number}: longer than {MAX_LINE_BYTES} bytes");
        Refusal::not_run(RefusalReason::TooLarge, detail)
    }
}

/// Returns the part of a path that must be the same on all lines: the whole path for engines,
/// `/services/<name>` for plain services.
fn common_path(url: &str) -> String {
    match url.strip_prefix("/services/").and_then(|rest| rest.split('/').next()) {
        Some(service) => format!("/services/{service}"),
        None => url.to_owned(),
    }
}

/// Running digest of the lines: hashes each line together with the digest of the lines before it.
#[derive(Debug)]
struct LineDigest(Digest);

impl Default for LineDigest {
    fn default() -> Self {
        Self(Digest::of(b""))
    }
}

impl LineDigest {
    fn add(&mut self, line: &[u8]) {
        self.0 = Digest::of_parts(&[self.0.as_str().as_bytes(), line]);
    }
}
