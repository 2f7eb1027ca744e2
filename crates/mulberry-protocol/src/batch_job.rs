//! Batch jobs on the platform's store: the job as accepted, and segments of its results.
//!
//! A job is one object, created once. Its results are a list that only grows: each segment is an
//! object under a fixed name, created once, so that a position never changes.

use std::sync::Arc;

use crate::closed_set;
use crate::name::JobId;
use crate::value_type;

/// Most bytes of results that one segment holds, and of items that one part of a job holds.
pub const MAX_SEGMENT_BYTES: usize = 600_000;

value_type! {
    /// One item: a request for the endpoints of the job's service.
    pub struct JobItem {
        /// Name, unique within the job.
        pub id: Arc<str>,
        /// Path and query.
        pub path: Arc<str>,
        /// Headers beside those that the system sets.
        pub headers: Vec<(Arc<str>, Arc<str>)>,
        /// Body, in base64.
        pub body: Arc<str>,
        /// Tokens of the prompt and of the longest output.
        pub tokens: u64,
    }
}

value_type! {
    /// A job as accepted.
    #[serde(rename_all = "kebab-case")]
    pub struct StoredJob {
        /// Name of the route that took it.
        pub route: Arc<str>,
        /// Host that the submission named.
        pub host: Arc<str>,
        /// Unix time of acceptance in milliseconds, for ordering only.
        pub accepted_unix_ms: u64,
        /// Parts of the items that are stored as objects of their own, before this one.
        pub parts: u32,
        /// The items that are stored here.
        pub items: Vec<JobItem>,
    }
}

closed_set! {
    /// How an item ended.
    pub enum ResultState {
        /// Its whole output is listed.
        Completed,
        /// It was given up.
        GivenUp,
    }
}

value_type! {
    /// A listed item.
    pub struct ItemResult {
        /// Name of the item.
        pub item: Arc<str>,
        /// How it ended.
        pub state: ResultState,
        /// The data of all events, one a line.
        pub text: Arc<str>,
    }
}

value_type! {
    #[derive(Default)]
    /// What was added to a job's list with one write. An owner that takes over adds an empty segment
    /// to each open job, after which the owner before it can add nothing.
    pub struct Segment {
        /// The results in order.
        pub results: Vec<ItemResult>,
        /// Whether the caller has ended the job.
        pub ends: bool,
    }
}

value_type! {
    /// What an owner that lost the lease had of an item, passed on so that the work is not lost.
    pub struct ItemProgress {
        /// Name of the item.
        pub item: Arc<str>,
        /// Data of the events so far, one a line.
        pub text: String,
        /// Events so far.
        pub events: u32,
        /// Number of the last event.
        pub last_event: Option<u64>,
        /// How the item ended, if it has.
        pub ended: Option<ResultState>,
    }
}

value_type! {
    /// What a process that stands by lacks of an item's output.
    pub struct ItemCopy {
        /// Whether the text goes on where the text that the receiver holds ends.
        #[serde(rename = "goes_on")]
        pub appends: bool,
        /// The output; its text is only the new part if it goes on.
        pub progress: ItemProgress,
    }
}

value_type! {
    /// What a process that stands by lacks of the output of all items that are not listed.
    pub struct CopyBatch {
        /// Term of the sender's lease.
        pub term: u64,
        /// Number of the batch; what was sent before is void from 0 on.
        pub number: u64,
        /// New output by job.
        pub items: Vec<(JobId, Vec<ItemCopy>)>,
        /// Items that were copied and need no copy any more.
        pub dropped: Vec<(JobId, Arc<str>)>,
    }
}

/// Returns the key of a job.
pub fn job_key(job: &str) -> String {
    format!("jobs/{job}")
}

/// Returns the key of a part of a job's items.
pub fn part_key(job: &str, number: u32) -> String {
    format!("job-parts/{job}.{number:06}")
}

/// Returns the key of a segment.
pub fn segment_key(job: &str, number: u32) -> String {
    format!("results/{job}.{number:06}")
}

/// Splits the key of a part or a segment into the job's name and the number.
pub fn split_numbered_key(key: &str) -> Option<(&str, u32)> {
    let name = key.split_once('/').map_or(key, |(_, name)| name);
    let (job, number) = name.rsplit_once('.')?;
    Some((job, number.parse().ok()?))
}
