//! Deltas between bundle texts, so that distributing a small change to all processes takes few
//! bytes.

use crate::digest::Digest;
use crate::value_type;

value_type! {
    /// Describes a text by the start and the end that it has in common with another text.
    #[serde(rename_all = "kebab-case")]
    pub struct BundleDelta {
        /// Digest of the text that the delta applies to.
        pub from: Digest,
        /// Digest of the text that results.
        pub to: Digest,
        /// Length of the common start, in bytes.
        pub head: u64,
        /// Length of the common end, in bytes.
        pub tail: u64,
        /// Text between the two in the resulting text.
        pub middle: String,
    }
}

/// Computes the delta from one text to another.
///
/// ```
/// use mulberry_protocol::bundle::apply_delta;
/// use mulberry_protocol::bundle::make_delta;
/// let delta = make_delta("a = 1\nb = 2\n", "a = 1\nb = 3\n");
/// assert_eq!(apply_delta("a = 1\nb = 2\n", &delta).as_deref(), Some("a = 1\nb = 3\n"));
/// ```
pub fn make_delta(from: &str, to: &str) -> BundleDelta {
    let (a, b) = (from.as_bytes(), to.as_bytes());
    let shorter_len = a.len().min(b.len());
    let mut head = a.iter().zip(b).take_while(|(x, y)| x == y).count();
    // `middle` is a string, so it has to start and end between two characters.
    while !to.is_char_boundary(head) {
        head -= 1;
    }
    let common_end = a.iter().rev().zip(b.iter().rev()).take_while(|(x, y)| x == y).count();
    // The start and the end must not overlap.
    let mut tail = common_end.min(shorter_len - head);
    while !to.is_char_boundary(to.len() - tail) {
        tail -= 1;
    }
    BundleDelta {
        from: Digest::of(a),
        to: Digest::of(b),
        head: head as u64,
        tail: tail as u64,
        middle: to[head..to.len() - tail].to_owned(),
    }
}

/// Applies a delta. Returns `None` if `from` is not the text that the delta applies to, or if the
/// result does not have the delta's digest.
pub fn apply_delta(from: &str, delta: &BundleDelta) -> Option<String> {
    if Digest::of(from.as_bytes()) != delta.from {
        return None;
    }
    let head = from.get(..usize::try_from(delta.head).ok()?)?;
    let tail_start = from.len().checked_sub(usize::try_from(delta.tail).ok()?)?;
    let tail = from.get(tail_start..)?;
    let text = [head, &delta.middle, tail].concat();
    (Digest::of(text.as_bytes()) == delta.to).then_some(text)
}
