//! Runs a non-idempotent request under a claim on its idempotency key, at most once.

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
use mulberry_policy::claims::ClaimReply;
use mulberry_policy::claims::ClaimVerdict;
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

use crate::controls::Controls;
use crate::dispatch::Outcome;
use crate::dispatch::run_online;
use crate::shared::Shared;

/// Most tries to take over a claim that was released.
const TAKE_OVER_TRIES: u32 = 3;

struct Claiming<'a> {
    shared: &'a Shared,
    store: Store,
    key: String,
    request: Digest,
    attempt: u64,
}

/// Claims the key, runs the request, and records its outcome for every later resend.
pub(super) async fn run_claimed(
    shared: &Shared,
    controls: &Controls,
    dispatch: Dispatch,
    idempotency_key: &str,
) -> Result<Outcome, Refusal> {
    let claiming = Claiming {
        shared,
        store: shared.store(),
        key: object_key::claim(&dispatch.client, idempotency_key),
        request: request_digest(&dispatch),
        attempt: rand::rng().random(),
    };
    let version = match claiming.claim().await {
        ClaimVerdict::Dispatch { version } => version,
        ClaimVerdict::Replay { status, content_type, body } => {
            shared.metrics.count("entry.claims_replayed");
            return into_replay(status, content_type, &body);
        }
        ClaimVerdict::Refuse(refusal) => return Err(refusal),
        ClaimVerdict::TakeOver { .. } => {
            let detail = "another request takes over the same idempotency key";
            return Err(Refusal::not_run(RefusalReason::ClaimHeld, detail).retry_after(1_000));
        }
    };
    let result = run_online(shared, controls, dispatch, None).await;
    let result = settle(result).await;
    claiming.record(version, &result).await;
    result.map(|(status, content_type, body)| Outcome::Whole { status, content_type, body })
}

type Settled = Result<(u16, String, Bytes), Refusal>;

/// Reads a streamed answer to its end, so that it can be recorded.
async fn settle(result: Result<Outcome, Refusal>) -> Settled {
    match result? {
        Outcome::Whole { status, content_type, body } => Ok((status, content_type, body)),
        Outcome::Stream(mut answer) => {
            let read = answer.read_whole(super::MAX_ANSWER_BYTES).await;
            let body = read.map_err(|failure| failure.refusal)?;
            Ok((answer.status, answer.content_type.clone(), body))
        }
    }
}

fn into_replay(status: u16, content_type: String, body: &str) -> Result<Outcome, Refusal> {
    match BASE64_STANDARD.decode(body) {
        Ok(body) => Ok(Outcome::Whole { status, content_type, body: Bytes::from(body) }),
        Err(_) => {
            let detail = "the recorded answer can't be read";
            Err(Refusal::unknown(RefusalReason::ClaimHeld, detail))
        }
    }
}

impl Claiming<'_> {
    async fn claim(&self) -> ClaimVerdict {
        let started = self.with_state(ClaimState::Started);
        let Ok(value) = to_json(&started) else { return self.judge(Err(None)) };
        let created = self.store.create(CallClass::Commit, &self.key, value.clone()).await;
        let mut verdict = self.judge(into_reply(created));
        for _ in 0..TAKE_OVER_TRIES {
            let ClaimVerdict::TakeOver { version } = verdict else { break };
            let updated =
                self.store.update(CallClass::Commit, &self.key, value.clone(), version).await;
            verdict = self.judge(into_reply(updated));
        }
        verdict
    }

    fn judge(&self, reply: Result<ClaimReply, Option<PlatformError>>) -> ClaimVerdict {
        let reply = reply.unwrap_or(ClaimReply::NoAnswer);
        decide_claim(&self.request, self.attempt, reply)
    }

    /// Records how the request ended. Without an answer of the store the claim stays held, and a
    /// resend learns that the outcome is unknown.
    async fn record(&self, version: u64, result: &Settled) {
        let state = match result {
            Ok((status, content_type, body)) => ClaimState::Answered {
                status: *status,
                content_type: content_type.clone(),
                body: BASE64_STANDARD.encode(body),
            },
            Err(refusal) if refusal.run == RunState::NotRun => ClaimState::Released,
            Err(refusal) => ClaimState::Lost { refusal: refusal.clone() },
        };
        let recorded = match to_json(&self.with_state(state)) {
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

    fn with_state(&self, state: ClaimState) -> Claim {
        Claim {
            request: self.request.clone(),
            holder: self.shared.settings.entry.clone(),
            attempt: self.attempt,
            state,
        }
    }
}

fn into_reply(
    end: Result<WriteOutcome, PlatformError>,
) -> Result<ClaimReply, Option<PlatformError>> {
    match end {
        Ok(WriteOutcome::Written(version)) => Ok(ClaimReply::Created { version }),
        Ok(WriteOutcome::Conflict(Some(object))) => into_existing(&object).map_err(Some),
        Ok(WriteOutcome::Conflict(None)) => Err(None),
        Err(e) => Err(Some(e)),
    }
}

fn into_existing(object: &Object) -> Result<ClaimReply, PlatformError> {
    let claim = parse_json(object)?;
    Ok(ClaimReply::Exists { claim, version: object.version })
}

/// Returns the digest by which a claimed request is told from another under the same key.
fn request_digest(dispatch: &Dispatch) -> Digest {
    Digest::of_parts(&[
        dispatch.service.as_str().as_bytes(),
        dispatch.method.as_bytes(),
        dispatch.path.as_bytes(),
        &dispatch.body,
    ])
}
