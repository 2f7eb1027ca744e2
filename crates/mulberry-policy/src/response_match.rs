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

impl ResponseMatch {
    /// Returns whether the response is certain to belong to the request. One without an ID may be a copy
    /// of an earlier one, unless its connection has carried nothing else.
    pub fn is_certain(self) -> bool {
        match (self.id, self.is_kept) {
            (RepeatedId::Same, _) | (RepeatedId::Missing, false) => true,
            (RepeatedId::Other, _) | (RepeatedId::Missing, true) => false,
        }
    }

    /// Returns whether a copy of the response that comes later on its connection is recognized. One without
    /// an ID looks like a response to the next request.
    pub fn is_copy_recognized(self) -> bool {
        self.id == RepeatedId::Same
    }
}

/// Most requests that are known to have failed on one connection, which is closed then.
pub const MAX_FAILED_REQUESTS: usize = 32;
