//! Handles `/services/<service>/<path>` with any method: calls of plain services.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;

use mulberry_protocol::bundle::ServiceKind;
use mulberry_protocol::digest::request_fingerprint;
use mulberry_protocol::link::Dispatch;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use super::auth::admit;
use super::auth::authenticate;
use super::auth::bundle_in_force;
use super::claims::run_claimed;
use super::completions::estimate_tokens;
use super::error::ApiError;
use super::relay::build_response;
use super::relay::record_refusal;
use crate::actors::ControlActors;
use crate::dispatch::Outcome;
use crate::dispatch::run_online;
use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

/// Longest idempotency key, in bytes.
pub(super) const MAX_KEY_BYTES: usize = 256;

/// Serves a call of a plain service.
pub(super) async fn call(
    shared: web::Data<Shared>,
    actors: web::Data<ControlActors>,
    req: HttpRequest,
    path: web::Path<(String, String)>,
    body: Bytes,
) -> Result<HttpResponse, ApiError> {
    let loaded = bundle_in_force(&shared)?;
    let client = authenticate(&req, &loaded)?;
    let (service, rest) = path.into_inner();
    let result = async {
        admit(&shared, &client)?;
        let key = idempotency_key(&req)?;
        let dispatch = build_dispatch(&loaded, client.clone(), &service, &rest, &req, body)?;
        match key {
            // An idempotent call needs no claim, since it may be repeated.
            Some(key) if !dispatch.idempotent => {
                run_claimed(&shared, &actors, dispatch, &key).await
            }
            _ => run_online(&shared, &actors, dispatch, None).await,
        }
    };
    let result: Result<Outcome, Refusal> = result.await;
    match result {
        Ok(outcome) => Ok(build_response(outcome, &shared, &actors)),
        Err(refusal) => {
            record_refusal(&shared, &client, &refusal);
            Err(refusal.into())
        }
    }
}

/// Returns the request's idempotency key, if it has one.
pub(super) fn idempotency_key(req: &HttpRequest) -> Result<Option<String>, Refusal> {
    let Some(value) = req.headers().get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().ok().filter(|k| !k.is_empty() && k.len() <= MAX_KEY_BYTES);
    let detail = "the idempotency key must be 1 to 256 plain characters";
    let key = key.ok_or_else(|| Refusal::not_run(RefusalReason::Malformed, detail))?;
    Ok(Some(key.to_owned()))
}

/// Builds the dispatch of a call. The endpoint gets the path without `/services/<service>`.
fn build_dispatch(
    loaded: &LoadedBundle,
    client: ClientName,
    service: &str,
    rest: &str,
    req: &HttpRequest,
    body: Bytes,
) -> Result<Dispatch, Refusal> {
    let name = ServiceName::new(service);
    let found = loaded.bundle.services.get(&name).filter(|s| s.kind == ServiceKind::Plain);
    let Some(found) = found else {
        let detail = format!("the bundle in force has no plain service `{service}`");
        return Err(Refusal::not_run(RefusalReason::UnknownTarget, detail));
    };
    let path_without_query = format!("/{rest}");
    let method = req.method().to_string();
    let idempotent = found.is_idempotent(&method, &path_without_query);
    let query = req.query_string();
    let path =
        if query.is_empty() { path_without_query } else { format!("{path_without_query}?{query}") };
    let content_type = req.headers().get("content-type").and_then(|v| v.to_str().ok());
    Ok(Dispatch {
        attempt: 0,
        service: name,
        model: None,
        client,
        fingerprint: request_fingerprint(&method, &path, &body),
        method,
        path,
        content_type: content_type.unwrap_or("").to_owned(),
        idempotent,
        stream: false,
        deadline_ms: found.first_token_deadline_ms,
        prompt_tokens: estimate_tokens(body.len()),
        answer_tokens: 0,
        bundle: loaded.number,
        alone: false,
        body,
    })
}
