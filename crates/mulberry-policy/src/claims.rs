//! Decides what a request may do when its idempotency key is claimed already.

use mulberry_protocol::claim::Claim;
use mulberry_protocol::claim::ClaimState;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// What the store said to the creation of a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimReply {
    /// The claim was created.
    Created {
        /// Its version.
        version: u64,
    },
    /// Another claim exists.
    Exists {
        /// The claim.
        claim: Claim,
        /// Its version.
        version: u64,
    },
    /// There was no answer, and reading back gave none either.
    NoAnswer,
}

/// What to do with the request.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimVerdict {
    /// Dispatch it; afterwards record the outcome at this version.
    Dispatch {
        /// Version of the claim.
        version: u64,
    },
    /// Take over a released claim at this version, then judge the reply again.
    TakeOver {
        /// Version of the released claim.
        version: u64,
    },
    /// Return the recorded answer.
    Replay {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body in base64.
        body: String,
    },
    /// Refuse.
    Refuse(Refusal),
}

/// Milliseconds after which a caller may ask again for an answer that is in progress.
const IN_PROGRESS_RETRY_MS: u32 = 1_000;

/// Milliseconds after which a caller may ask again when the store is down.
const STORE_RETRY_MS: u32 = 2_000;

/// Judges the store's reply to the claim that `attempt` made for `request`.
pub fn decide_claim(request: &Digest, attempt: u64, reply: ClaimReply) -> ClaimVerdict {
    let (claim, version) = match reply {
        ClaimReply::Created { version } => return ClaimVerdict::Dispatch { version },
        ClaimReply::NoAnswer => return ClaimVerdict::Refuse(refuse_without_store()),
        ClaimReply::Exists { claim, version } => (claim, version),
    };
    if claim.request != *request {
        let detail = "the idempotency key was used for another request";
        return ClaimVerdict::Refuse(Refusal::not_run(RefusalReason::Conflict, detail));
    }
    match claim.state {
        // The create took effect although its answer was lost.
        ClaimState::Started if claim.attempt == attempt => ClaimVerdict::Dispatch { version },
        _ if is_injected(InjectedFault::IgnoreClaim) => ClaimVerdict::Dispatch { version },
        ClaimState::Started => {
            let detail = "a request with this idempotency key is in progress, or was cut off";
            let refusal = Refusal::unknown(RefusalReason::ClaimHeld, detail);
            ClaimVerdict::Refuse(refusal.retry_after(IN_PROGRESS_RETRY_MS))
        }
        ClaimState::Answered { status, content_type, body } => {
            ClaimVerdict::Replay { status, content_type, body }
        }
        ClaimState::Released => ClaimVerdict::TakeOver { version },
        ClaimState::Lost { refusal } => ClaimVerdict::Refuse(refusal),
    }
}

fn refuse_without_store() -> Refusal {
    let detail = "the claim on the idempotency key could not be recorded";
    Refusal::not_run(RefusalReason::StoreUnavailable, detail).retry_after(STORE_RETRY_MS)
}
