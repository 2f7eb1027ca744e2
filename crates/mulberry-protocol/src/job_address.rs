//! Where a batch job was submitted. Its route follows from this in each version of the configuration: the name of a
//! route may mean another one in the next version.

use std::sync::Arc;

use crate::batch_job::JobItem;

/// Where a batch job was submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobAddress {
    /// Host that the submission named.
    pub host: Arc<str>,
    /// Path that the submission named.
    pub path: SubmittedPath,
}

/// The path of a submission, as far as it is known.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmittedPath {
    /// The path, without the query.
    Known(Arc<str>),
    /// Not known, as for jobs and calls of earlier builds. The rest is what they tell of the route.
    Unknown {
        /// Name that the route had when it took the job.
        route: Arc<str>,
        /// Path of the job's first item.
        item_path: Arc<str>,
    },
}

impl JobAddress {
    /// Creates the address of a job. `route` is the name of the route that took it, which only counts if the path
    /// is not known.
    pub fn new(
        host: Arc<str>,
        path: Option<Arc<str>>,
        route: &Arc<str>,
        items: &[JobItem],
    ) -> Self {
        let path = path.map(SubmittedPath::Known).unwrap_or_else(|| SubmittedPath::Unknown {
            route: route.clone(),
            item_path: items.first().map_or_else(|| Arc::from(""), |item| item.path.clone()),
        });
        Self { host, path }
    }
}

impl SubmittedPath {
    /// Returns the path, if it is known.
    pub fn known(&self) -> Option<&Arc<str>> {
        match self {
            SubmittedPath::Known(path) => Some(path),
            SubmittedPath::Unknown { .. } => None,
        }
    }
}
