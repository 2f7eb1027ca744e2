//! Handles `POST /v1/chat/completions` and `POST /v1/completions`.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use serde_json::Value;

use mulberry_protocol::digest::request_fingerprint;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::link::Dispatch;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::auth::admit;
use super::auth::authenticate;
use super::auth::bundle_in_force;
use super::error::ApiError;
use super::relay::build_response;
use super::relay::record_refusal;
use crate::actors::ControlActors;
use crate::dispatch::run_online;
use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

/// Bytes of text per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// `answer_tokens` assumed if the request sets no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 64;

/// Bytes at the start of a prompt that are hashed to find an endpoint which may have it cached.
const PREFIX_BYTES: usize = 256;

/// Estimates the number of tokens in a text of `bytes` bytes; at least one.
pub(crate) fn estimate_tokens(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Serves a completion, streamed or not.
pub(super) async fn complete(
    shared: web::Data<Shared>,
    actors: web::Data<ControlActors>,
    req: HttpRequest,
    body: Bytes,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let result = async {
        admit(&shared, &client)?;
        let (dispatch, prefix_hash) = build_dispatch(&loaded, client.clone(), req.path(), body)?;
        run_online(&shared, &actors, dispatch, Some(prefix_hash)).await
    };
    match result.await {
        Ok(outcome) => Ok(build_response(outcome, &shared, &actors)),
        Err(refusal) => {
            record_refusal(&shared, &client, &refusal);
            Err(refusal.into())
        }
    }
}

/// Validates a completion and returns its dispatch and the hash of the prompt's start.
fn build_dispatch(
    loaded: &LoadedBundle,
    client: mulberry_protocol::name::ClientName,
    path: &str,
    body: Bytes,
) -> Result<(Dispatch, u64), Refusal> {
    let malformed = |detail: String| Refusal::not_run(RefusalReason::Malformed, detail);
    let value: Value = serde_json::from_slice(&body)
        .map_err(|e| malformed(format!("the body is no JSON: {e}")))?;
    let name = value.get("model").and_then(Value::as_str);
    let name = name.ok_or_else(|| malformed("`model` must be a text".to_owned()))?;
    let Some(model) = loaded.bundle.models.get(&ModelName::new(name)) else {
        let detail = format!("the bundle in force has no model `{name}`");
        return Err(Refusal::not_run(RefusalReason::UnknownTarget, detail));
    };
    let prompt = prompt_parts(&value)
        .ok_or_else(|| malformed("`messages` must be an array, or `prompt` a text".to_owned()))?;
    let prompt_tokens = estimate_tokens(prompt.iter().map(|p| p.len()).sum());
    let limit = value.get("max_tokens").or_else(|| value.get("max_completion_tokens"));
    let answer_tokens = match limit {
        None | Some(Value::Null) => DEFAULT_ANSWER_TOKENS,
        Some(limit) => limit
            .as_u64()
            .filter(|l| *l > 0)
            .ok_or_else(|| malformed("`max_tokens` must be a positive number".to_owned()))?,
    };
    let tokens = u64::from(prompt_tokens) + answer_tokens;
    if tokens > u64::from(model.context_tokens) {
        let detail = format!("prompt and answer take {tokens} tokens, more than the model holds");
        return Err(Refusal::not_run(RefusalReason::TooLarge, detail));
    }
    let service = loaded.bundle.services.get(&model.service);
    let deadline_ms = service.map_or(u32::MAX, |s| s.first_token_deadline_ms);
    let prefix_hash = hash_prompt_prefix(&prompt);
    let dispatch = Dispatch {
        attempt: 0,
        service: model.service.clone(),
        model: Some(model.name.clone()),
        client,
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: "application/json".to_owned(),
        idempotent: true,
        stream: value.get("stream").and_then(Value::as_bool).unwrap_or(false),
        deadline_ms,
        fingerprint: request_fingerprint("POST", path, &body),
        prompt_tokens,
        answer_tokens: answer_tokens as u32,
        bundle: loaded.number,
        alone: false,
        body,
    };
    Ok((dispatch, prefix_hash))
}

/// Returns the texts of a prompt in order, or none if it is malformed.
fn prompt_parts(value: &Value) -> Option<Vec<&str>> {
    if let Some(messages) = value.get("messages") {
        let messages = messages.as_array()?;
        let content = |m: &'_ Value| m.get("content").is_some();
        if messages.is_empty() || !messages.iter().all(content) {
            return None;
        }
        let texts = messages.iter().map(|m| m["content"].as_str().unwrap_or(""));
        return Some(texts.collect());
    }
    value.get("prompt")?.as_str().map(|p| vec![p])
}

/// Hashes the part of a prompt that requests are likely to share: the first message if there are
/// several, else the first bytes.
fn hash_prompt_prefix(parts: &[&str]) -> u64 {
    let first = parts.first().map_or(&b""[..], |p| p.as_bytes());
    let prefix_bytes =
        if parts.len() > 1 { first } else { &first[..first.len().min(PREFIX_BYTES)] };
    stable_hash(prefix_bytes, 1)
}
