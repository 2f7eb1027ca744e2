//! The addresses of the two control actors.

use actix::Addr;

use crate::control::EntryControl;
use crate::jobs::JobControl;

/// Addresses of the control actors.
#[derive(Clone)]
pub(crate) struct Controls {
    pub entry: Addr<EntryControl>,
    pub jobs: Addr<JobControl>,
}
