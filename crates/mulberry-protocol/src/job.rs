//! Batch jobs that entries own and sides run: stored jobs, their input and the outcomes of their
//! items.

use crate::closed_set;
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
use crate::value_type;

closed_set! {
    /// The state of a job.
    pub enum JobState {
        /// Items are being run, and their outcomes committed in chunks.
        Open,
        /// A cancel was accepted. Chunks that are not committed yet are being sealed, that is,
        /// committed with the items that have not ended listed as cancelled.
        Cancelling,
        /// Every chunk is committed and at least one was sealed by the cancel.
        Cancelled,
        /// Every chunk is committed.
        Completed,
    }
}

impl JobState {
    /// Returns whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Cancelled | JobState::Completed)
    }
}

value_type! {
    /// The object of a job. The job is accepted at the moment at which this object is created.
    #[serde(rename_all = "kebab-case")]
    pub struct Job {
        /// Identifier, derived from the client account and its idempotency key.
        pub id: JobId,
        /// Client account that owns the job.
        pub client: ClientName,
        /// Uploaded file with one item per line.
        pub input: FileId,
        /// Digest of the input and of the job's settings.
        pub digest: Digest,
        /// Path that every item calls, such as `/v1/chat/completions`.
        pub path: String,
        /// Service that runs the items.
        pub service: ServiceName,
        /// Model that every item names; `None` for plain services.
        pub model: Option<ModelName>,
        /// Whether items may be run more than once.
        pub idempotent: bool,
        /// Number of items.
        pub items: u32,
        /// Number of items in each chunk; the last one may have fewer.
        pub chunk_items: u32,
        /// Time of acceptance, in seconds since the Unix epoch.
        pub created_at_s: u64,
        /// Time at which the job is due, in seconds since the Unix epoch.
        pub due_at_s: u64,
        /// Present state.
        pub state: JobState,
        /// Number of items that ended with a response; set together with a final state.
        pub completed: u32,
        /// Number of items that ended without a response; set together with a final state.
        pub failed: u32,
        /// Operator or client account that cancelled the job; `None` if nobody did.
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
    /// One line of a job's input file, in JSON.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub struct JobLine {
        /// Identifier that the caller gave the item.
        pub custom_id: String,
        /// HTTP method; must be `POST` for engines.
        pub method: String,
        /// Path that the item calls.
        pub url: String,
        /// Body of the request.
        pub body: serde_json::Value,
    }
}

value_type! {
    /// How an item ended.
    #[serde(rename_all = "kebab-case", tag = "end")]
    pub enum ItemEnd {
        /// An endpoint answered.
        Answered {
            /// HTTP status of the response.
            status: u16,
            /// Body of the response.
            body: serde_json::Value,
        },
        /// The item ended without a response.
        Failed {
            /// Why there is no response.
            reason: RefusalReason,
            /// Whether the item ran.
            run: RunState,
            /// Explanation for people.
            detail: String,
        },
    }
}

value_type! {
    /// The outcome of one item, as stored.
    #[serde(rename_all = "kebab-case")]
    pub struct ItemOutcome {
        /// Index of the item in the input, from zero.
        pub index: u32,
        /// Identifier that the caller gave the item.
        pub custom_id: String,
        /// Identifier of the request that produced the response.
        pub request: String,
        /// How the item ended.
        pub end: ItemEnd,
    }
}

value_type! {
    /// The object of a chunk: the outcomes of all its items. It is created once and never changed.
    #[serde(rename_all = "kebab-case")]
    pub struct ChunkOutcome {
        /// Entry that committed the chunk.
        pub committed_by: EntryName,
        /// Whether the chunk was committed early because the job was cancelled.
        pub sealed_by_cancel: bool,
        /// Outcomes in the order of the input.
        pub outcomes: Vec<ItemOutcome>,
    }
}

value_type! {
    /// The description of an uploaded file.
    #[serde(rename_all = "kebab-case")]
    pub struct FileInfo {
        /// Identifier of the file.
        pub id: FileId,
        /// Client account that owns the file.
        pub client: ClientName,
        /// File name given by the caller.
        pub name: String,
        /// Purpose given by the caller.
        pub purpose: String,
        /// Size in bytes.
        pub bytes: u64,
        /// Number of lines.
        pub lines: u32,
        /// Index of the first line of each stored segment, in order.
        pub segment_starts: Vec<u32>,
        /// Path that every line calls; `None` for files that are not batch input.
        pub path: Option<String>,
        /// HTTP method of every line.
        pub method: String,
        /// Model that every line names; `None` if they name none.
        pub model: Option<ModelName>,
        /// Digest of the content.
        pub digest: Digest,
        /// Time of the upload, in seconds since the Unix epoch.
        pub created_at_s: u64,
    }
}

value_type! {
    /// The object of a shard: the lease on a share of the jobs. It is written at each takeover and
    /// renewal.
    #[serde(rename_all = "kebab-case")]
    pub struct ShardLease {
        /// Entry that owns the shard; `None` after the owner has released it.
        pub owner: Option<EntryName>,
        /// Random number of the owner's process, which tells a restart from the process before it.
        pub incarnation: u64,
        /// Counts takeovers. Batch items carry it when they are handed out, and sides refuse
        /// numbers lower than the highest that they have seen.
        pub owner_number: u64,
        /// Counts renewals, so that each renewal changes the object.
        pub renewals: u64,
    }
}
