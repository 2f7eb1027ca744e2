//! `POST /v1/chat/completions` and `POST /v1/completions`.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use serde_json::Value;

use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::link::Dispatch;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::auth::admit;
use super::auth::authenticate;
use super::auth::bundle_in_force;
use super::error::ApiError;
use super::relay::into_response;
use super::relay::note_refusal;
use crate::controls::Controls;
use crate::dispatch::run_online;
use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

/// Bytes of text that count as one token in estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of an answer if the request gives no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 64;

/// Bytes at the start of a prompt that decide which endpoint may have it cached.
const PREFIX_BYTES: usize = 256;

/// Estimates the tokens of a text of `bytes` bytes.
pub(crate) fn estimate_tokens(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Returns the fingerprint by which a request that crashes endpoints is known, through whichever
/// entry it comes.
pub(crate) fn fingerprint_of(method: &str, path: &str, body: &[u8]) -> u64 {
    let head = stable_hash(path.as_bytes(), stable_hash(method.as_bytes(), 0));
    stable_hash(body, head)
}

/// Serves a completion of either form, streamed or whole.
pub(super) async fn complete(
    shared: web::Data<Shared>,
    controls: web::Data<Controls>,
    req: HttpRequest,
    body: Bytes,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let result = async {
        admit(&shared, &client)?;
        let (dispatch, prefix) = into_dispatch(&loaded, client.clone(), req.path(), body)?;
        run_online(&shared, &controls, dispatch, Some(prefix)).await
    };
    match result.await {
        Ok(outcome) => Ok(into_response(outcome, &shared, &controls)),
        Err(refusal) => {
            note_refusal(&shared, &client, &refusal);
            Err(refusal.into())
        }
    }
}

fn into_dispatch(
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
    let prefix = prefix_of(&prompt);
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
        fingerprint: fingerprint_of("POST", path, &body),
        prompt_tokens,
        answer_tokens: answer_tokens as u32,
        bundle: loaded.number,
        alone: false,
        body,
    };
    Ok((dispatch, prefix))
}

/// Returns the texts of a prompt in order.
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

/// Hashes the start of a prompt: its first message if there are several, else its first bytes.
fn prefix_of(parts: &[&str]) -> u64 {
    let first = parts.first().map_or(&b""[..], |p| p.as_bytes());
    let shared_part = if parts.len() > 1 { first } else { &first[..first.len().min(PREFIX_BYTES)] };
    stable_hash(shared_part, 1)
}
