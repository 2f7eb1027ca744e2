//! Calls on batch jobs, which entries and owners send to the owner over links, and the replies.

use std::time::Duration;

use bytes::Bytes;

use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::link::none_at_end;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::value_type;

/// Interval at which an owner that works on a call sends a sign of life.
pub(crate) const ALIVE_INTERVAL: Duration = Duration::from_millis(400);

value_type! {
    /// A call on a batch job, as sent over a link.
    pub enum JobCall {
        /// Accept and store a new job.
        Submit {
            /// ID of the job.
            job: JobId,
            /// Name of the route at the entry. Another version of the configuration may give it to another one.
            route: String,
            /// Host header of the caller, without the port.
            host: String,
            /// Body of the submission, in the platform's format.
            body: Bytes,
            /// Time for which the caller waits, in milliseconds.
            left_ms: u64,
            /// Path of the caller's request, without the query. Absent from earlier builds.
            #[serde(deserialize_with = "none_at_end")]
            path: Option<String>,
        },
        /// Read a page of results.
        Read {
            /// ID of the job.
            job: JobId,
            /// Number of results to skip.
            after: usize,
            /// Longest time to wait for a new result, in milliseconds.
            wait_ms: u64,
        },
        /// Read the request body of an item whose result is not listed yet.
        ItemBody {
            /// ID of the job.
            job: JobId,
            /// ID of the item.
            item: String,
        },
        /// End a job before all its items have results.
        End {
            /// ID of the job.
            job: JobId,
            /// Time for which the caller waits, in milliseconds.
            left_ms: u64,
        },
        /// Import the progress of items from an owner that lost the lease.
        TakeProgress {
            /// ID of the job.
            job: JobId,
            /// Output of each item so far.
            items: Vec<ItemProgress>,
        },
        /// Keep copies of the progress of items at a standby, in case the owner is lost.
        KeepCopies(CopyBatch),
        /// A call that a caller of a client account makes.
        ForAccount {
            /// Name of the account.
            account: ClientName,
            /// The call.
            call: Box<JobCall>,
        },
    }
}

value_type! {
    /// The reply to a call.
    pub enum JobReply {
        /// The job is stored.
        Accepted,
        /// The end of the job is stored.
        Ended,
        /// The progress or its copies were taken over.
        Taken,
        /// A page of results, in the platform's format.
        Page(Bytes),
        /// The request body of an item.
        Body(Bytes),
        /// The job does not exist, or has no such item without a result.
        NotFound,
        /// The job would exceed the tokens that may wait on its route.
        OverQuota,
        /// The call was refused; the refusal says whether it may have taken effect.
        Refused(Refusal),
    }
}

impl JobCall {
    /// Returns the call for another try in the time that is left, of which waiting for a result may take half.
    pub(crate) fn for_retry(&self, left: Duration) -> Self {
        let longest_ms = u64::try_from(left.as_millis() / 2).unwrap_or(u64::MAX);
        match self.clone() {
            JobCall::Read { job, after, wait_ms } => {
                JobCall::Read { job, after, wait_ms: wait_ms.min(longest_ms) }
            }
            JobCall::ForAccount { account, call } => {
                JobCall::ForAccount { account, call: Box::new(call.for_retry(left)) }
            }
            call => call,
        }
    }

    /// Returns the name of the kind of call, for logs.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            JobCall::Submit { .. } => "submit",
            JobCall::Read { .. } => "read",
            JobCall::ItemBody { .. } => "item-body",
            JobCall::End { .. } => "end",
            JobCall::TakeProgress { .. } => "take-progress",
            JobCall::KeepCopies(_) => "keep-copies",
            JobCall::ForAccount { call, .. } => call.as_str(),
        }
    }

    /// Returns the call as one of the client account's callers, if there is an account.
    pub fn for_account(self, account: Option<ClientName>) -> Self {
        match account {
            Some(account) => JobCall::ForAccount { account, call: Box::new(self) },
            None => self,
        }
    }
}
