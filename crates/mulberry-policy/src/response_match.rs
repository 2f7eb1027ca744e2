//! Decides whether a response belongs to the request after which it arrived. Endpoints write a response
//! twice now and then, and the copy arrives where the next response of the connection is due.

use mulberry_protocol::closed_set;

closed_set! {
    /// The request ID that a response repeats.
    pub enum RepeatedId {
        /// That of the request.
        Same,
        /// That of another request.
        Other,
        /// None.
        Missing,
    }
}

impl RepeatedId {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RepeatedId::Same => "same",
            RepeatedId::Other => "other",
            RepeatedId::Missing => "missing",
        }
    }
}

/// What says to which request a response belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseMatch {
    /// The request ID that it repeats.
    pub id: RepeatedId,
    /// Whether its connection has carried another request before.
    pub is_kept: bool,
}
