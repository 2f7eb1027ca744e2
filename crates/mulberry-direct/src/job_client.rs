//! Sends calls on batch jobs to the owner, again where an owner or a link is lost.

use std::borrow::Cow;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use mulberry_link::LinkConnection;
use mulberry_link::LinkError;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;

use crate::idle_links::IdleLinks;
use crate::job_calls::JobCall;
use crate::job_calls::JobReply;
use crate::peers::find_owner;
use crate::shared::SharedState;

/// Time for which a call waits for a serving owner, in milliseconds. A call that may have taken
/// effect already waits until its own timeout.
const NO_OWNER_TIMEOUT_MS: u64 = 1_200;

/// Interval at which a waiting call looks for an owner again, in milliseconds.
const OWNER_POLL_INTERVAL_MS: u64 = 40;

/// `Retry-After` of calls that got no reply from an owner, in milliseconds.
const RETRY_AFTER_MS: u32 = 700;

/// Time without a sign of life from the owner after which a call is sent over another link as well. The
/// owner sends one each [`ALIVE_INTERVAL`](crate::job_calls::ALIVE_INTERVAL) while it works on a call.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Most links over which one call is sent at the same time.
const MAX_LINKS_PER_CALL: usize = 3;

/// Sends calls to the owner from one thread, and keeps idle links for reuse.
#[derive(Clone)]
pub struct JobClient {
    shared: Arc<SharedState>,
    idle: Rc<IdleLinks>,
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
        let uncertain = Cell::new(false);
        let mut failure = CallFailure::NoOwner;
        loop {
            let left = Duration::from_millis(until.since(self.shared.clock.now()).max(1));
            match find_owner(&self.shared) {
                None => failure = CallFailure::NoOwner,
                Some((_, address)) if Some(address) == unreachable => {}
                Some((_, address)) => {
                    failure = match self.try_owner(address, call, left, &uncertain).await {
                        Ok(reply) if uncertain.get() => return after_uncertain_try(reply),
                        Ok(reply) => return reply,
                        Err(failure) => failure,
                    };
                    if matches!(failure, CallFailure::Unreachable(_)) {
                        unreachable = Some(address);
                    }
                }
            }
            let now = self.shared.clock.now();
            let timed_out = match failure.is_for_want_of_owner() {
                true => now >= no_owner_until && (!uncertain.get() || now >= until),
                false => now >= until,
            };
            if timed_out {
                return self.refuse(failure, uncertain.get());
            }
            tokio::time::sleep(Duration::from_millis(OWNER_POLL_INTERVAL_MS)).await;
        }
    }

    /// Sends a call to the owner once. Sets `uncertain` if it may have taken effect nevertheless, should it fail.
    async fn try_owner(
        &self,
        address: SocketAddr,
        call: &JobCall,
        left: Duration,
        uncertain: &Cell<bool>,
    ) -> Result<JobReply, CallFailure> {
        let exchange = self.exchange(address, call, left, uncertain);
        let failure = match tokio::time::timeout(left, exchange).await {
            Ok(Ok(JobReply::Refused(r))) if r.reason == RefusalReason::NotReady => {
                uncertain.set(uncertain.get() || r.run != RunState::NotRun);
                CallFailure::NotServing(r.detail)
            }
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(e @ LinkError::Connect { .. })) => CallFailure::Unreachable(e.to_string()),
            Ok(Err(e)) => CallFailure::LinkBroken(e.to_string()),
            Err(_) => CallFailure::Timeout,
        };
        uncertain.set(uncertain.get() || !failure.is_for_want_of_owner());
        Err(failure)
    }

    /// Sends a call to one process, whether it is the owner or not, and returns the reply if it
    /// arrives within `timeout`.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        call: &JobCall,
        timeout: Duration,
    ) -> Option<JobReply> {
        let uncertain = Cell::new(false);
        let exchange = self.exchange(address, call, timeout, &uncertain);
        tokio::time::timeout(timeout, exchange).await.ok()?.ok()
    }

    fn refuse(&self, failure: CallFailure, uncertain: bool) -> JobReply {
        let (cause, detail) = match failure {
            CallFailure::NoOwner => ("no-owner", "no owner of the batch jobs is known".to_owned()),
            CallFailure::Unreachable(detail) | CallFailure::NotServing(detail) => {
                ("no-owner", detail)
            }
            CallFailure::LinkBroken(detail) => ("link", detail),
            CallFailure::Timeout => ("slow", "the owner did not reply in time".to_owned()),
        };
        self.shared.metrics.count_reason("direct.job_calls_refused", cause);
        let refusal = Refusal::not_run(RefusalReason::NotReady, detail).retry_after(RETRY_AFTER_MS);
        JobReply::Refused(if uncertain { with_unknown_run_state(refusal) } else { refusal })
    }

    /// Sends a call to a process and returns the first reply. If nothing is heard for a while, sends it over a
    /// new link as well: a link can go silent for good without being closed, and the others that are idle
    /// may have gone silent with it. Sets `uncertain` then: the reply does not say whether the process has
    /// also received the call over the earlier link.
    async fn exchange(
        &self,
        address: SocketAddr,
        call: &JobCall,
        left: Duration,
        uncertain: &Cell<bool>,
    ) -> Result<JobReply, LinkError> {
        let until = Instant::now() + left;
        let heard_at = Cell::new(Instant::now());
        let mut limit = SILENCE_LIMIT.min(left / 2);
        let mut tries = FuturesUnordered::new();
        let first = Cow::Borrowed(call);
        tries.push(self.try_once(address, first, self.idle.take(address), &heard_at));
        let mut failure = None;
        loop {
            tokio::select! {
                tried = tries.next() => match tried {
                    Some(Ok(reply)) => return Ok(reply),
                    Some(Err(e)) => failure = Some(more_uncertain(failure, e)),
                    None => return Err(failure.unwrap_or(LinkError::Closed)),
                },
                () = silence(&heard_at, limit), if tries.len() < MAX_LINKS_PER_CALL => {
                    uncertain.set(true);
                    self.record_silence(address, call, limit);
                    let again = call.for_retry(until.saturating_duration_since(Instant::now()));
                    tries.push(self.try_once(address, Cow::Owned(again), None, &heard_at));
                    heard_at.set(Instant::now());
                    limit *= 2;
                }
            }
        }
    }

    /// Sends a call over an idle link or a new one, and waits for the reply.
    async fn try_once(
        &self,
        address: SocketAddr,
        call: Cow<'_, JobCall>,
        idle: Option<LinkConnection>,
        heard_at: &Cell<Instant>,
    ) -> Result<JobReply, LinkError> {
        let link = match idle {
            Some(link) => link,
            None => self.open_link(address).await.map_err(as_connect_error)?,
        };
        // An owner that is full sends signs of life before it takes the whole call.
        let (mut writer, mut reader) = link.split();
        let heard = || heard_at.set(Instant::now());
        let ((), reply) = tokio::try_join!(writer.send(&*call), reader.receive_heard(heard))?;
        if let Some(link) = reader.reunite(writer) {
            self.idle.put_back(address, link);
        }
        Ok(reply)
    }

    async fn open_link(&self, address: SocketAddr) -> Result<LinkConnection, LinkError> {
        let Some(secrets) = self.shared.secrets.load_full() else {
            return Err(LinkError::Connect { source: std::io::ErrorKind::NotConnected.into() });
        };
        LinkConnection::connect(address, &secrets).await
    }

    fn record_silence(&self, address: SocketAddr, call: &JobCall, limit: Duration) {
        let closed = self.idle.close(address);
        self.shared.metrics.count("direct.links_silent");
        log_event!(
            info,
            Event::LinkSilent,
            peer = %address,
            call = call.as_str(),
            silent_ms = limit.as_millis() as u64,
            closed
        );
    }
}

/// Returns when nothing was heard for as long as the limit.
async fn silence(heard_at: &Cell<Instant>, limit: Duration) {
    loop {
        let left = limit.saturating_sub(heard_at.get().elapsed());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
    }
}

/// Returns the failure of two tries of a call after which more may have happened.
fn more_uncertain(earlier: Option<LinkError>, later: LinkError) -> LinkError {
    match earlier {
        Some(earlier) if matches!(later, LinkError::Connect { .. }) => earlier,
        _ => later,
    }
}

/// Why a call got no reply.
enum CallFailure {
    /// No owner is known.
    NoOwner,
    /// No link to the owner can be opened.
    Unreachable(String),
    /// The process that claims to be the owner does not serve calls now.
    NotServing(String),
    /// The link broke during the exchange; the call may have taken effect.
    LinkBroken(String),
    /// The reply did not arrive in time; the call may have taken effect.
    Timeout,
}

impl CallFailure {
    /// Returns whether there was no owner that could carry out the call.
    fn is_for_want_of_owner(&self) -> bool {
        match self {
            CallFailure::NoOwner | CallFailure::Unreachable(_) | CallFailure::NotServing(_) => true,
            CallFailure::LinkBroken(_) | CallFailure::Timeout => false,
        }
    }
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
