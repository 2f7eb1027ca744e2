//! Calls on batch jobs, which entries and owners send to the owner over links.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::value_type;

use crate::peers::find_owner;
use crate::shared::SharedState;

/// Time for which a call waits for a serving owner, in milliseconds. A call that may have taken
/// effect already waits until its own timeout.
const NO_OWNER_TIMEOUT_MS: u64 = 1_200;

/// Interval at which a waiting call looks for an owner again, in milliseconds.
const OWNER_POLL_INTERVAL_MS: u64 = 40;

/// `Retry-After` of calls that got no reply from an owner, in milliseconds.
const RETRY_AFTER_MS: u32 = 700;

/// Maximum number of idle links to one owner.
const MAX_IDLE_LINKS: usize = 16;

value_type! {
    /// A call on a batch job, as sent over a link.
    pub enum JobCall {
        /// Accept and store a new job.
        Submit {
            /// ID of the job.
            job: JobId,
            /// Name of the route.
            route: String,
            /// Host header of the caller, without the port.
            host: String,
            /// Body of the submission, in the platform's format.
            body: Bytes,
            /// Time for which the caller waits, in milliseconds.
            left_ms: u64,
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
    /// Returns the call as one of the client account's callers, if there is an account.
    pub fn for_account(self, account: Option<ClientName>) -> Self {
        match account {
            Some(account) => JobCall::ForAccount { account, call: Box::new(self) },
            None => self,
        }
    }
}

/// Sends calls to the owner from one thread, and keeps idle links for reuse.
#[derive(Clone)]
pub struct JobClient {
    shared: Arc<SharedState>,
    idle: Rc<RefCell<IndexMap<SocketAddr, Vec<LinkConnection>>>>,
}

impl JobClient {
    /// Creates a client without open links.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, idle: Rc::default() }
    }

    /// Sends a call to the owner and returns its reply within `timeout_ms`.
    ///
    /// Every call is idempotent, so that a call whose owner was lost is sent again to the next one.
    pub async fn call(&self, call: &JobCall, timeout_ms: u64) -> JobReply {
        let until = self.shared.clock.now() + timeout_ms;
        let no_owner_until = self.shared.clock.now() + timeout_ms.min(NO_OWNER_TIMEOUT_MS);
        let mut unreachable = None;
        let mut uncertain = false;
        loop {
            let left = Duration::from_millis(until.since(self.shared.clock.now()).max(1));
            let owner = find_owner(&self.shared).map(|(_, address)| address);
            let failure = match owner.filter(|address| Some(*address) != unreachable) {
                None => CallFailure::NoOwner,
                Some(address) => {
                    match tokio::time::timeout(left, self.exchange(address, call)).await {
                        Ok(Ok(JobReply::Refused(r))) if r.reason == RefusalReason::NotReady => {
                            uncertain |= r.run != RunState::NotRun;
                            CallFailure::NoOwner
                        }
                        Ok(Ok(reply)) if uncertain => return after_uncertain_try(reply),
                        Ok(Ok(reply)) => return reply,
                        Ok(Err(LinkError::Connect { .. })) => {
                            unreachable = Some(address);
                            CallFailure::NoOwner
                        }
                        Ok(Err(e)) => CallFailure::LinkBroken(e.to_string()),
                        Err(_) => CallFailure::Timeout,
                    }
                }
            };
            uncertain |= !matches!(failure, CallFailure::NoOwner);
            let now = self.shared.clock.now();
            let timed_out = match failure {
                CallFailure::NoOwner => now >= no_owner_until && (!uncertain || now >= until),
                CallFailure::LinkBroken(_) | CallFailure::Timeout => now >= until,
            };
            if timed_out {
                return self.refuse(failure, uncertain);
            }
            tokio::time::sleep(Duration::from_millis(OWNER_POLL_INTERVAL_MS)).await;
        }
    }

    /// Sends a call to one process, whether it is the owner or not, and returns the reply if it
    /// arrives within `timeout`.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        call: &JobCall,
        timeout: Duration,
    ) -> Option<JobReply> {
        tokio::time::timeout(timeout, self.exchange(address, call)).await.ok()?.ok()
    }

    fn refuse(&self, failure: CallFailure, uncertain: bool) -> JobReply {
        let (cause, detail) = match failure {
            CallFailure::NoOwner => ("no-owner", "no owner of the batch jobs is known".to_owned()),
            CallFailure::LinkBroken(detail) => ("link", detail),
            CallFailure::Timeout => ("slow", "the owner did not reply in time".to_owned()),
        };
        self.shared.metrics.count_reason("direct.job_calls_refused", cause);
        let refusal = Refusal::not_run(RefusalReason::NotReady, detail).retry_after(RETRY_AFTER_MS);
        JobReply::Refused(if uncertain { with_unknown_run_state(refusal) } else { refusal })
    }

    async fn exchange(&self, address: SocketAddr, call: &JobCall) -> Result<JobReply, LinkError> {
        let taken = self.acquire_link(address).await;
        let mut link = taken.map_err(as_connect_error)?;
        link.send(call).await?;
        let reply = link.receive().await?;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        if list.len() < MAX_IDLE_LINKS {
            list.push(link);
        }
        Ok(reply)
    }

    async fn acquire_link(&self, address: SocketAddr) -> Result<LinkConnection, LinkError> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
            let Some(link) = idle else { break };
            if !link.is_stale() {
                return Ok(link);
            }
        }
        let Some(secrets) = self.shared.secrets.load_full() else {
            return Err(LinkError::Connect { source: std::io::ErrorKind::NotConnected.into() });
        };
        LinkConnection::connect(address, &secrets).await
    }
}

/// Why a call got no reply.
enum CallFailure {
    /// No owner is known or can be reached, or it is not serving yet.
    NoOwner,
    /// The link broke during the exchange; the call may have taken effect.
    LinkBroken(String),
    /// The reply did not arrive in time; the call may have taken effect.
    Timeout,
}

/// Returns the reply to a call that an earlier try may have carried out, or may still carry out: that the
/// present owner refuses it does not say that nothing is done.
fn after_uncertain_try(reply: JobReply) -> JobReply {
    match reply {
        JobReply::Refused(refusal) => JobReply::Refused(with_unknown_run_state(refusal)),
        JobReply::OverQuota => {
            let detail =
                "an earlier owner may have stored the job, and the present one has no room for it";
            JobReply::Refused(Refusal::unknown(RefusalReason::LinkFailed, detail))
        }
        JobReply::Accepted
        | JobReply::Ended
        | JobReply::Taken
        | JobReply::Page(_)
        | JobReply::Body(_)
        | JobReply::NotFound => reply,
    }
}

/// Marks the run state of a refusal as unknown, for a call that an earlier attempt may have carried
/// out.
fn with_unknown_run_state(refusal: Refusal) -> Refusal {
    Refusal { run: RunState::Unknown, ..refusal }
}

/// Converts any error of opening a link to `LinkError::Connect`, which means that nothing was sent.
fn as_connect_error(error: LinkError) -> LinkError {
    match error {
        LinkError::Connect { .. } => error,
        other => LinkError::Connect { source: std::io::Error::other(other.to_string()) },
    }
}
