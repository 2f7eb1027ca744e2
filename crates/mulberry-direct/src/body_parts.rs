//! A body while it is read, in parts of one size.
//!
//! A single buffer that grows is copied at each growth. With many large bodies at a time the heap then held
//! twice the bytes of the bodies.

use bytes::Bytes;
use bytes::BytesMut;

/// Size of a part, in bytes.
const PART_BYTES: usize = 64 * 1024;

/// The parts of a body that have been read.
#[derive(Debug, Default)]
pub struct BodyParts {
    parts: Vec<BytesMut>,
    length: usize,
}

impl BodyParts {
    /// Returns an empty body, of which so many bytes are expected at first.
    pub fn with_first(bytes: usize) -> Self {
        Self { parts: vec![BytesMut::with_capacity(bytes.min(PART_BYTES))], length: 0 }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds the next bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self.parts.last().map_or(0, |part| part.capacity() - part.len());
            if room == 0 {
                self.parts.push(BytesMut::with_capacity(PART_BYTES));
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            if let Some(part) = self.parts.last_mut() {
                part.extend_from_slice(now);
            }
            bytes = later;
        }
    }

    /// Returns the whole body in one piece.
    pub fn join(mut self) -> Bytes {
        if self.parts.len() == 1 {
            return self.parts.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for part in self.parts {
            whole.extend_from_slice(&part);
        }
        whole.freeze()
    }
}
