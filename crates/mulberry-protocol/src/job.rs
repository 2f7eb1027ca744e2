//! Batch jobs, their items and the outcomes that end them.

use crate::digest::Digest;
use crate::name::ClientName;
use crate::name::EntryName;
use crate::name::FileId;
use crate::name::JobId;
use crate::name::ModelName;
use crate::name::OperatorName;
use crate::name::ServiceName;
use crate::refusal::RefusalReason;
use crate::refusal::RunState;
use crate::unit_enum;
use crate::value_type;

unit_enum! {
    /// The state of a job.
    pub enum JobState {
        /// Items are being run.
        Open,
        /// A cancel was accepted; missing chunks are being sealed.
        Cancelling,
        /// Every chunk is committed and at least one was sealed by the cancel.
        Cancelled,
        /// Every chunk is committed.
        Completed,
    }
}

impl JobState {
    /// Tells whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Cancelled | JobState::Completed)
    }
}

value_type! {
    /// The job object. Its creation is the point at which the job is accepted.
    #[serde(rename_all = "kebab-case")]
    pub struct Job {
        /// Identifier, derived from the client and its key.
        pub id: JobId,
        /// The client account that owns the job.
        pub client: ClientName,
        /// The input file.
        pub input: FileId,
        /// Digest of the input and of the job's settings.
        pub digest: Digest,
        /// The path that every item calls, such as `/v1/chat/completions`.
        pub path: String,
        /// The service that runs the items.
        pub service: ServiceName,
        /// The model that every item names; none for plain services.
        pub model: Option<ModelName>,
        /// Whether items may run more than once.
        pub idempotent: bool,
        /// Number of items.
        pub items: u32,
        /// Items in each chunk but the last.
        pub chunk_items: u32,
        /// Time of acceptance, in seconds since the Unix epoch.
        pub created_at_s: u64,
        /// Time at which the job is due, in seconds since the Unix epoch.
        pub due_at_s: u64,
        /// The state.
        pub state: JobState,
        /// Items that ended with an answer; set with a final state.
        pub completed: u32,
        /// Items that ended without an answer; set with a final state.
        pub failed: u32,
        /// The operator or client that cancelled, if any.
        pub cancelled_by: Option<OperatorName>,
        /// Metadata given by the caller, returned unchanged.
        pub metadata: Vec<(String, String)>,
    }
}

impl Job {
    /// Returns the number of chunks.
    pub fn chunks(&self) -> u32 {
        self.items.div_ceil(self.chunk_items.max(1))
    }

    /// Returns the indices of the items in chunk `chunk`.
    pub fn chunk_range(&self, chunk: u32) -> std::ops::Range<u32> {
        let start = chunk * self.chunk_items;
        start..(start + self.chunk_items).min(self.items)
    }
}

value_type! {
    /// One line of a job's input.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub struct JobLine {
        /// The caller's name for the item.
        pub custom_id: String,
        /// HTTP method, `POST` for engines.
        pub method: String,
        /// The path the item calls.
        pub url: String,
        /// The request body.
        pub body: serde_json::Value,
    }
}

value_type! {
    /// How an item ended.
    #[serde(rename_all = "kebab-case", tag = "end")]
    pub enum ItemEnd {
        /// The endpoint answered.
        Answered {
            /// HTTP status.
            status: u16,
            /// Body of the answer.
            body: serde_json::Value,
        },
        /// The item can't be done.
        Failed {
            /// Why.
            reason: RefusalReason,
            /// Whether it ran.
            run: RunState,
            /// Text for a person.
            detail: String,
        },
    }
}

value_type! {
    /// The outcome of one item.
    #[serde(rename_all = "kebab-case")]
    pub struct ItemOutcome {
        /// Index of the item in the input, from zero.
        pub index: u32,
        /// The caller's name for the item.
        pub custom_id: String,
        /// Identifier of the request that produced the answer.
        pub request: String,
        /// How it ended.
        pub end: ItemEnd,
    }
}

value_type! {
    /// A chunk object: the outcome of every item of one chunk, created once and never changed.
    #[serde(rename_all = "kebab-case")]
    pub struct ChunkOutcome {
        /// The entry that committed it.
        pub committed_by: EntryName,
        /// Whether a cancel sealed it.
        pub sealed_by_cancel: bool,
        /// Outcomes in input order.
        pub outcomes: Vec<ItemOutcome>,
    }
}

value_type! {
    /// The description of an uploaded file.
    #[serde(rename_all = "kebab-case")]
    pub struct FileInfo {
        /// Identifier.
        pub id: FileId,
        /// The client account that owns it.
        pub client: ClientName,
        /// Name given by the caller.
        pub name: String,
        /// Purpose given by the caller.
        pub purpose: String,
        /// Size in bytes.
        pub bytes: u64,
        /// Number of lines.
        pub lines: u32,
        /// First line of each segment, in order.
        pub segment_starts: Vec<u32>,
        /// The path that every line calls; none for files that are no batch input.
        pub path: Option<String>,
        /// HTTP method of every line.
        pub method: String,
        /// The model that every line names, if any.
        pub model: Option<ModelName>,
        /// Digest of the content.
        pub digest: Digest,
        /// Time of the upload, in seconds since the Unix epoch.
        pub created_at_s: u64,
    }
}

value_type! {
    /// A shard object: the lease on a share of the jobs.
    ///
    /// Its version in the store is the owner number, which rises at each takeover and renewal.
    #[serde(rename_all = "kebab-case")]
    pub struct ShardLease {
        /// The entry that owns the shard, or none after a graceful release.
        pub owner: Option<EntryName>,
        /// Random number of the owner's process, which tells a restart from the process before it.
        pub incarnation: u64,
        /// Counts takeovers. Dispatches carry it, and sides refuse lower ones.
        pub owner_number: u64,
        /// Counts renewals, so that each changes the object.
        pub renewals: u64,
    }
}
