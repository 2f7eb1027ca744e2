//! Remembers the endpoints that say in their responses that they leave. They get nothing new, whatever
//! their registration says, until another process is registered under their name.

use indexmap::IndexMap;

use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::name::EndpointName;

/// Largest number of endpoints that are remembered; the first ones are dropped first.
pub const MAX_LEAVING: usize = 4_096;

/// The endpoints that leave, each with the time of its start as registered.
#[derive(Debug, Default)]
pub struct LeavingEndpoints {
    started_unix_ms: IndexMap<EndpointName, u64>,
}

impl LeavingEndpoints {
    /// Records that the endpoint says that it leaves. Returns whether that is new.
    pub fn record(&mut self, endpoint: &EndpointRecord) -> bool {
        if self.is_leaving(endpoint) {
            return false;
        }
        if self.started_unix_ms.len() >= MAX_LEAVING {
            self.started_unix_ms.shift_remove_index(0);
        }
        self.started_unix_ms.insert(endpoint.name.clone(), endpoint.started_unix_ms);
        true
    }

    /// Returns whether the endpoint has said that it leaves.
    pub fn is_leaving(&self, endpoint: &EndpointRecord) -> bool {
        self.started_unix_ms.get(&endpoint.name) == Some(&endpoint.started_unix_ms)
    }
}
