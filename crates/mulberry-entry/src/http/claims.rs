//! Runs a non-idempotent request at most once, by a claim on its idempotency key in the store.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use rand::Rng;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::Object;
use mulberry_platform::store::Store;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::claims::ClaimDecision;
use mulberry_policy::claims::ClaimReply;
use mulberry_policy::claims::decide_claim;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::claim::Claim;
use mulberry_protocol::claim::ClaimState;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::link::Dispatch;
use mulberry_protocol::object_key;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;

use crate::actors::ControlActors;
use crate::dispatch::Outcome;
use crate::dispatch::run_online;
use crate::shared::Shared;

/// Most attempts to take over a released claim.
const MAX_TAKE_OVER_ATTEMPTS: u32 = 3;

/// A request and the claim under which it runs.
struct ClaimedRequest<'a> {
    shared: &'a Shared,
    store: Store,
    /// Key of the claim object.
    key: String,
    request_digest: Digest,
    /// Random number that distinguishes this claim from another one by the same entry.
    attempt: u64,
}

/// Claims the key, runs the request, and records its outcome. A resend under the same key gets the
/// recorded response.
pub(super) async fn run_claimed(
    shared: &Shared,
    actors: &ControlActors,
    dispatch: Dispatch,
    idempotency_key: &str,
) -> Result<Outcome, Refusal> {
    let claimed = ClaimedRequest {
        shared,
        store: shared.store(),
        key: object_key::claim(&dispatch.client, idempotency_key),
        request_digest: request_digest(&dispatch),
        attempt: rand::rng().random(),
    };
    let version = match claimed.claim().await {
        ClaimDecision::Dispatch { version } => version,
        ClaimDecision::Replay { status, content_type, body } => {
            shared.metrics.count("entry.claims_replayed");
            return replay_outcome(status, content_type, &body);
        }
        ClaimDecision::Refuse(refusal) => return Err(refusal),
        ClaimDecision::TakeOver { .. } => {
            let detail = "another request takes over the same idempotency key";
            return Err(Refusal::not_run(RefusalReason::ClaimHeld, detail).retry_after(1_000));
        }
    };
    let result = run_online(shared, actors, dispatch, None).await;
    let result = collect_response(result).await;
    claimed.record(version, &result).await;
    result.map(|(status, content_type, body)| Outcome::Buffered { status, content_type, body })
}

/// Status, content type and body of a response that was read to its end, or the refusal.
type CollectedResponse = Result<(u16, String, Bytes), Refusal>;

/// Reads a response to its end, so that it can be recorded.
async fn collect_response(result: Result<Outcome, Refusal>) -> CollectedResponse {
    match result? {
        Outcome::Buffered { status, content_type, body } => Ok((status, content_type, body)),
        Outcome::Stream(mut response) => {
            let read = response.read_to_end(super::MAX_RESPONSE_BYTES).await;
            let body = read.map_err(|failure| failure.refusal)?;
            Ok((response.status, response.content_type.clone(), body))
        }
    }
}

fn replay_outcome(status: u16, content_type: String, body: &str) -> Result<Outcome, Refusal> {
    match BASE64_STANDARD.decode(body) {
        Ok(body) => Ok(Outcome::Buffered { status, content_type, body: Bytes::from(body) }),
        Err(_) => {
            let detail = "the recorded answer can't be read";
            Err(Refusal::unknown(RefusalReason::ClaimHeld, detail))
        }
    }
}

impl ClaimedRequest<'_> {
    /// Creates the claim, or takes it over if the request that held it did not run.
    async fn claim(&self) -> ClaimDecision {
        let started = self.claim_with_state(ClaimState::Started);
        let Ok(value) = to_json(&started) else { return self.decide(Err(None)) };
        let created = self.store.create(CallClass::Commit, &self.key, value.clone()).await;
        let mut decision = self.decide(claim_reply(created));
        for _ in 0..MAX_TAKE_OVER_ATTEMPTS {
            let ClaimDecision::TakeOver { version } = decision else { break };
            let updated =
                self.store.update(CallClass::Commit, &self.key, value.clone(), version).await;
            decision = self.decide(claim_reply(updated));
        }
        decision
    }

    fn decide(&self, reply: Result<ClaimReply, Option<PlatformError>>) -> ClaimDecision {
        let reply = reply.unwrap_or(ClaimReply::NoResponse);
        decide_claim(&self.request_digest, self.attempt, reply)
    }

    /// Records how the request ended. If the store gives no response, the claim stays held, and a
    /// resend is told that the outcome is unknown.
    async fn record(&self, version: u64, result: &CollectedResponse) {
        let state = match result {
            Ok((status, content_type, body)) => ClaimState::Answered {
                status: *status,
                content_type: content_type.clone(),
                body: BASE64_STANDARD.encode(body),
            },
            Err(refusal) if refusal.run == RunState::NotRun => ClaimState::Released,
            Err(refusal) => ClaimState::Lost { refusal: refusal.clone() },
        };
        let recorded = match to_json(&self.claim_with_state(state)) {
            Ok(value) => {
                let update = self.store.update(CallClass::Commit, &self.key, value, version);
                update.await.is_ok_and(|end| matches!(end, WriteOutcome::Written(_)))
            }
            Err(_) => false,
        };
        if !recorded {
            self.shared.metrics.count("entry.claims_not_recorded");
        }
    }

    fn claim_with_state(&self, state: ClaimState) -> Claim {
        Claim {
            request: self.request_digest.clone(),
            holder: self.shared.settings.entry.clone(),
            attempt: self.attempt,
            state,
        }
    }
}

fn claim_reply(
    end: Result<WriteOutcome, PlatformError>,
) -> Result<ClaimReply, Option<PlatformError>> {
    match end {
        Ok(WriteOutcome::Written(version)) => Ok(ClaimReply::Created { version }),
        Ok(WriteOutcome::Conflict(Some(object))) => existing_claim(&object).map_err(Some),
        Ok(WriteOutcome::Conflict(None)) => Err(None),
        Err(e) => Err(Some(e)),
    }
}

fn existing_claim(object: &Object) -> Result<ClaimReply, PlatformError> {
    let claim = parse_json(object)?;
    Ok(ClaimReply::Exists { claim, version: object.version })
}

/// Returns the digest that distinguishes a request from another one under the same key.
fn request_digest(dispatch: &Dispatch) -> Digest {
    Digest::of_parts(&[
        dispatch.service.as_str().as_bytes(),
        dispatch.method.as_bytes(),
        dispatch.path.as_bytes(),
        &dispatch.body,
    ])
}
