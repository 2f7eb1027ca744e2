//! Claims the trial runs of convicted requests in the platform's store, so that all processes together
//! make no more of them than one request may have.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::Store;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_policy::suspects::CONFIRMED_TTL_MS;
use mulberry_policy::token_bucket::TokenBucket;
use mulberry_protocol::closed_set;
use mulberry_protocol::conviction::StoredConviction;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::fingerprint::fingerprint_text;
use crate::shared::SharedState;
use crate::shared::lock;

/// Claims that a process makes per second, and at once after a pause.
const CLAIM_RATE: (f64, f64) = (2.0, 10.0);

/// Most claims that wait for the control thread; further ones are denied.
const MAX_WAITING_CLAIMS: usize = 32;

/// Time that a request waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);

closed_set! {
    /// How a claim ended.
    pub enum ClaimOutcome {
        /// The request may run once.
        Granted,
        /// All runs that a convicted request may have were claimed before.
        Exhausted,
        /// Another process claimed at the same time.
        Contended,
        /// The store did not answer in time, or refused the call.
        NoStore,
        /// This process has made too many claims lately.
        Limited,
    }
}

impl ClaimOutcome {
    /// Returns the outcome's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ClaimOutcome::Granted => "granted",
            ClaimOutcome::Exhausted => "exhausted",
            ClaimOutcome::Contended => "contended",
            ClaimOutcome::NoStore => "no-store",
            ClaimOutcome::Limited => "limited",
        }
    }
}

/// What traffic threads ask of the control thread, which alone calls the store.
#[derive(Debug)]
enum TrialOrder {
    /// Claim one of at most `max_trials` runs.
    Claim { fingerprint: u64, max_trials: u8, reply: oneshot::Sender<ClaimOutcome> },
    /// Delete the conviction, since the request has completed.
    Forget { fingerprint: u64 },
}

/// The way from the traffic threads to the control thread.
#[derive(Debug)]
pub struct TrialDesk {
    tx: mpsc::Sender<TrialOrder>,
    rx: Mutex<Option<mpsc::Receiver<TrialOrder>>>,
}

impl Default for TrialDesk {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(MAX_WAITING_CLAIMS);
        Self { tx, rx: Mutex::new(Some(rx)) }
    }
}

impl SharedState {
    /// Claims one run of a convicted request, which may have at most `max_trials` of them. Returns
    /// whether it may run.
    pub async fn claim_trial(&self, fingerprint: u64, max_trials: u8) -> bool {
        let (reply, outcome) = oneshot::channel();
        let order = TrialOrder::Claim { fingerprint, max_trials, reply };
        let outcome = match self.trials.tx.try_send(order) {
            Ok(()) => match tokio::time::timeout(CLAIM_TIMEOUT, outcome).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) | Err(_) => ClaimOutcome::NoStore,
            },
            Err(_) => ClaimOutcome::Limited,
        };
        self.metrics.count_reason("direct.trials", outcome.as_str());
        log_event!(
            info,
            Event::TrialClaimed,
            fingerprint = fingerprint_text(fingerprint),
            outcome = outcome.as_str()
        );
        outcome == ClaimOutcome::Granted
    }

    /// Has the stored conviction of a request deleted, since it has completed.
    pub(crate) fn forget_conviction(&self, fingerprint: u64) {
        if self.trials.tx.try_send(TrialOrder::Forget { fingerprint }).is_err() {
            // It ends by itself. Until then, a new conviction finds fewer trials left.
            self.metrics.count("direct.convictions_kept");
        }
    }
}

/// Carries out what traffic threads ask for until the process stops.
pub async fn serve_trials(shared: Arc<SharedState>, store: Store) {
    let Some(mut rx) = lock(&shared.trials.rx).take() else { return };
    let (rate_per_s, burst) = CLAIM_RATE;
    let mut limit = TokenBucket::new(rate_per_s, burst, shared.clock.now());
    while let Some(order) = rx.recv().await {
        let (shared, store) = (shared.clone(), store.clone());
        match order {
            TrialOrder::Claim { reply, .. } if !limit.take(1.0, shared.clock.now()) => {
                let _caller_left = reply.send(ClaimOutcome::Limited);
            }
            TrialOrder::Claim { fingerprint, max_trials, reply } => {
                actix_rt::spawn(async move {
                    let outcome = claim(&shared, &store, fingerprint, max_trials).await;
                    let _caller_left = reply.send(outcome);
                });
            }
            TrialOrder::Forget { fingerprint } => {
                actix_rt::spawn(async move {
                    if let Err(e) = delete_conviction(&store, fingerprint).await {
                        log_event!(debug, Event::StoreFailed, error = %e, what = "conviction");
                    }
                });
            }
        }
    }
}

async fn claim(
    shared: &SharedState,
    store: &Store,
    fingerprint: u64,
    max_trials: u8,
) -> ClaimOutcome {
    match try_claim(shared, store, fingerprint, max_trials).await {
        Ok((ClaimOutcome::Granted, number)) => {
            let now = shared.clock.now();
            shared.crash_suspects().begin_trial(fingerprint, number, now);
            ClaimOutcome::Granted
        }
        Ok((outcome, number)) => {
            let now = shared.clock.now();
            shared.crash_suspects().record_trials(fingerprint, number, now);
            outcome
        }
        Err(e) => {
            log_event!(debug, Event::StoreFailed, error = %e, what = "trial");
            ClaimOutcome::NoStore
        }
    }
}

/// Counts one more run in the request's conviction, which is created if there is none. Returns also
/// how many runs were claimed then.
async fn try_claim(
    shared: &SharedState,
    store: &Store,
    fingerprint: u64,
    max_trials: u8,
) -> Result<(ClaimOutcome, u8), PlatformError> {
    let unix_s = shared.clock.unix_s();
    let until_unix_s = unix_s + CONFIRMED_TTL_MS / 1_000;
    let first = StoredConviction { fingerprint, until_unix_s, trials: 1 };
    let object = match store.create(CallClass::Lease, &first.key(), to_json(&first)?).await? {
        WriteOutcome::Written(_) => return Ok((ClaimOutcome::Granted, 1)),
        WriteOutcome::Conflict(Some(object)) => object,
        WriteOutcome::Conflict(None) => return Ok((ClaimOutcome::Contended, 0)),
    };
    let stored: StoredConviction = parse_json(&object)?;
    let next = match stored.until_unix_s < unix_s {
        true => first,
        false if stored.trials >= max_trials => {
            return Ok((ClaimOutcome::Exhausted, stored.trials));
        }
        false => StoredConviction { trials: stored.trials + 1, ..stored },
    };
    let number = next.trials;
    match store.update(CallClass::Lease, &object.key, to_json(&next)?, object.version).await? {
        WriteOutcome::Written(_) => Ok((ClaimOutcome::Granted, number)),
        WriteOutcome::Conflict(_) => Ok((ClaimOutcome::Contended, number)),
    }
}

/// Deletes the stored conviction of a request, if there is one.
pub(crate) async fn delete_conviction(
    store: &Store,
    fingerprint: u64,
) -> Result<(), PlatformError> {
    let key = StoredConviction::key_of(fingerprint);
    if let Some(object) = store.read(CallClass::Listing, &key).await? {
        store.delete(CallClass::Listing, &key, object.version).await?;
    }
    Ok(())
}
