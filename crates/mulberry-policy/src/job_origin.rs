//! Where a batch job came from.

use std::sync::Arc;

use mulberry_protocol::job_address::JobAddress;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::time::Millis;

/// Where a job came from, and its times.
#[derive(Debug, Clone)]
pub struct JobOrigin {
    /// Name that the route had when it took the job, for logs.
    pub route: Arc<str>,
    /// Where the job was submitted.
    pub address: JobAddress,
    /// Client account that submitted the job, if there is one.
    pub account: Option<ClientName>,
    /// When its results are due.
    pub due_at: Millis,
    /// Current time.
    pub now: Millis,
}
