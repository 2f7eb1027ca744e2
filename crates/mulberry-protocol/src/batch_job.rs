//! Batch jobs of deployments without sides, as objects in the platform's store: accepted jobs, and
//! segments of their results. Also the copies of unfinished output that an owner sends to a
//! standby.
//!
//! A job is one object, created once. Its results are an append-only list: each segment of the list
//! is an object under a fixed key, created once, so the position of a result never changes.

use std::sync::Arc;

use crate::closed_set;
use crate::digest::request_fingerprint;
use crate::digest::stable_hash;
use crate::job_address::JobAddress;
use crate::name::ClientName;
use crate::name::JobId;
use crate::stream_origin::StreamOrigin;
use crate::value_type;

/// Most bytes of results in one segment, and of items in one part of a job.
pub const MAX_SEGMENT_BYTES: usize = 600_000;

value_type! {
    /// One item of a job: a request that an endpoint of the job's service runs.
    pub struct JobItem {
        /// Identifier given by the caller, unique within the job.
        pub id: Arc<str>,
        /// Path and query of the request.
        pub path: Arc<str>,
        /// Headers of the request besides those that the system sets.
        pub headers: Vec<(Arc<str>, Arc<str>)>,
        /// Body of the request, in base64.
        pub body: Arc<str>,
        /// Tokens of the prompt and the longest output together, as stated by the caller; zero if
        /// absent.
        pub tokens: u64,
    }
}

impl JobItem {
    /// Returns the fingerprint of the item's request, which is the same for every owner and for
    /// another item with the same content.
    pub fn fingerprint(&self) -> u64 {
        let content = request_fingerprint("POST", &self.path, self.body.as_bytes());
        self.headers.iter().fold(content, |seed, (name, value)| {
            stable_hash(value.as_bytes(), stable_hash(name.as_bytes(), seed))
        })
    }
}

value_type! {
    /// The object of an accepted job.
    #[serde(rename_all = "kebab-case")]
    pub struct StoredJob {
        /// Name that the route had when it took the submission. A later version may give it to another one.
        pub route: Arc<str>,
        /// Host that the submission named.
        pub host: Arc<str>,
        /// Path that the submission named, without the query. Absent from earlier builds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub path: Option<Arc<str>>,
        /// Client account that submitted the job. Absent without accounts and from earlier builds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub account: Option<ClientName>,
        /// Unix time of acceptance in milliseconds, for ordering only.
        pub accepted_unix_ms: u64,
        /// Time from then until all results are due, in milliseconds, as the route promised it. Absent from
        /// earlier builds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub completion_ms: Option<u64>,
        /// Number of parts of the items that are stored as objects of their own. They are written
        /// before this object.
        pub parts: u32,
        /// Items that are stored in this object.
        pub items: Vec<JobItem>,
    }
}

impl StoredJob {
    /// Returns where the job was submitted, given all its items.
    pub fn address(&self, items: &[JobItem]) -> JobAddress {
        JobAddress::new(self.host.clone(), self.path.clone(), &self.route, items)
    }
}

closed_set! {
    /// How an item ended.
    pub enum ResultState {
        /// The result holds the item's whole output.
        Completed,
        /// The item was given up; the result holds no output.
        GivenUp,
    }
}

value_type! {
    /// The result of an item, as listed in a segment.
    pub struct ItemResult {
        /// Identifier of the item.
        pub item: Arc<str>,
        /// How it ended.
        pub state: ResultState,
        /// Data of all events of the output, one per line.
        pub text: Arc<str>,
    }
}

value_type! {
    #[derive(Copy, Eq, Default)]
    /// Unsuccessful runs of an item.
    pub struct FailureCounts {
        /// Runs that their endpoint answered with a failure.
        pub failed: u32,
    }
}

value_type! {
    /// Unsuccessful runs of an item that is not listed yet.
    pub struct ItemFailures {
        /// Identifier of the item.
        pub item: Arc<str>,
        /// The runs so far.
        pub counts: FailureCounts,
    }
}

value_type! {
    #[derive(Default)]
    /// Results that one write appends to a job's list. An owner that takes over appends an empty
    /// segment to each open job; since that takes the next key, the previous owner can append no
    /// more.
    pub struct Segment {
        /// Results in the order of the list.
        pub results: Vec<ItemResult>,
        /// Whether this segment ends the job because the caller asked for that.
        pub ends: bool,
        /// Items that have failed since the segments before. Empty in segments of earlier builds.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub failures: Vec<ItemFailures>,
    }
}

value_type! {
    /// Output of an item that is not listed yet. It is passed to a standby, and to the next owner
    /// after the lease is lost, so that the item continues from there.
    pub struct ItemProgress {
        /// What wrote the output; absent if that is not certain, or the item has ended. Stands first,
        /// where builds that don't know it have the item, so that neither reads the other's progress.
        pub origin: Option<StreamOrigin>,
        /// Identifier of the item.
        pub item: Arc<str>,
        /// Data of the events so far, one per line.
        pub text: String,
        /// Number of events so far.
        pub events: u32,
        /// Sequence number of the last event; absent if no event had one.
        pub last_event: Option<u64>,
        /// How the item ended; absent while it is unfinished.
        pub ended: Option<ResultState>,
    }
}

value_type! {
    /// The part of an item's output that the standby lacks.
    pub struct ItemCopy {
        /// Whether the text is appended to the text that the standby holds; if not, it replaces
        /// that.
        #[serde(rename = "goes_on")]
        pub appends: bool,
        /// The output. Its text is only the new part if `appends` is set.
        pub progress: ItemProgress,
    }
}

value_type! {
    /// An update for the standby: what it lacks of all output that is not listed yet.
    pub struct CopyBatch {
        /// Term of the sender's lease.
        pub term: u64,
        /// Sequence number of the batch. Batch 0 makes all earlier copies void.
        pub number: u64,
        /// New output by job.
        pub items: Vec<(JobId, Vec<ItemCopy>)>,
        /// Items whose copies the standby can delete.
        pub dropped: Vec<(JobId, Arc<str>)>,
    }
}

/// Returns the object key of a job.
pub fn job_key(job: &str) -> String {
    format!("jobs/{job}")
}

/// Returns the object key of a part of a job's items.
pub fn part_key(job: &str, number: u32) -> String {
    format!("job-parts/{job}.{number:06}")
}

/// Returns the object key of a segment of a job's results.
pub fn segment_key(job: &str, number: u32) -> String {
    format!("results/{job}.{number:06}")
}

/// Splits the key of a part or a segment into the job's identifier and the number. Returns `None`
/// if the key has no number.
pub fn split_numbered_key(key: &str) -> Option<(&str, u32)> {
    let name = key.split_once('/').map_or(key, |(_, name)| name);
    let (job, number) = name.rsplit_once('.')?;
    Some((job, number.parse().ok()?))
}
