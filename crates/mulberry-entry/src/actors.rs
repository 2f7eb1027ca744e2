//! Addresses of the two control actors, which share one thread.

use actix::Addr;

use crate::control::EntryControl;
use crate::jobs::JobControl;

/// Addresses to which traffic threads and background tasks send messages.
#[derive(Clone)]
pub(crate) struct ControlActors {
    /// Tracks sides, routes and the bundle in force.
    pub entry: Addr<EntryControl>,
    /// Runs the batch jobs that this entry owns.
    pub jobs: Addr<JobControl>,
}
