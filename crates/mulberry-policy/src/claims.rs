//! Claims on idempotency keys: decides whether a request may run, given the claim in the store.
//!
//! A claim is created before the request is dispatched, so that a request with that key runs at
//! most once.

use mulberry_protocol::claim::Claim;
use mulberry_protocol::claim::ClaimState;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// The store's reply to the creation of a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimReply {
    /// The claim was created, or replaced a released one.
    Created {
        /// Version of the new claim.
        version: u64,
    },
    /// A claim on the key exists already.
    Exists {
        /// The existing claim.
        claim: Claim,
        /// Version of the existing claim.
        version: u64,
    },
    /// The store answered neither the creation nor the read that followed it.
    NoResponse,
}

/// What to do with the request.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimDecision {
    /// Dispatch the request, then record its outcome in the claim.
    Dispatch {
        /// Version that the claim must have when the outcome is recorded.
        version: u64,
    },
    /// Take over a released claim, then pass the store's reply to [`decide_claim`] again.
    TakeOver {
        /// Version that the released claim must have when it is replaced.
        version: u64,
    },
    /// Return the recorded response.
    Replay {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response.
        content_type: String,
        /// Body of the response in base64.
        body: String,
    },
    /// Refuse the request.
    Refuse(Refusal),
}

/// Time after which a caller may retry a request that is in progress, in milliseconds.
const IN_PROGRESS_RETRY_AFTER_MS: u32 = 1_000;

/// Time after which a caller may retry when the store does not answer, in milliseconds.
const STORE_RETRY_AFTER_MS: u32 = 2_000;

/// Decides what to do with `request` after the store's reply to the claim that `attempt` created.
pub fn decide_claim(request: &Digest, attempt: u64, reply: ClaimReply) -> ClaimDecision {
    let (claim, version) = match reply {
        ClaimReply::Created { version } => return ClaimDecision::Dispatch { version },
        ClaimReply::NoResponse => return ClaimDecision::Refuse(refuse_without_store()),
        ClaimReply::Exists { claim, version } => (claim, version),
    };
    if claim.request != *request {
        let detail = "the idempotency key was used for another request";
        return ClaimDecision::Refuse(Refusal::not_run(RefusalReason::Conflict, detail));
    }
    match claim.state {
        // The creation took effect although the store's response was lost.
        ClaimState::Started if claim.attempt == attempt => ClaimDecision::Dispatch { version },
        _ if is_injected(InjectedFault::IgnoreClaim) => ClaimDecision::Dispatch { version },
        ClaimState::Started => {
            let detail = "a request with this idempotency key is in progress, or was cut off";
            let refusal = Refusal::unknown(RefusalReason::ClaimHeld, detail);
            ClaimDecision::Refuse(refusal.retry_after(IN_PROGRESS_RETRY_AFTER_MS))
        }
        ClaimState::Answered { status, content_type, body } => {
            ClaimDecision::Replay { status, content_type, body }
        }
        ClaimState::Released => ClaimDecision::TakeOver { version },
        ClaimState::Lost { refusal } => ClaimDecision::Refuse(refusal),
    }
}

fn refuse_without_store() -> Refusal {
    let detail = "the claim on the idempotency key could not be recorded";
    Refusal::not_run(RefusalReason::StoreUnavailable, detail).retry_after(STORE_RETRY_AFTER_MS)
}
