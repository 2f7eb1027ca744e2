//! Finds the client account of a request by its API key, and replaces the key by the account's name.

use std::sync::Arc;

use actix_web::HttpMessage;
use actix_web::HttpRequest;
use hyper::HeaderMap;
use hyper::header::HeaderValue;

use mulberry_protocol::account::ClientAccount;
use mulberry_protocol::account::single_key;
use mulberry_protocol::auth::key_digest;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::route::RouteKind;

use crate::caller_request::CallerRequest;
use crate::dialect::HeaderNames;
use crate::shared::SharedState;

/// `Retry-After` of requests whose keys can't be confirmed, in milliseconds. The store may be back as soon.
const UNCONFIRMED_RETRY_AFTER_MS: u32 = 1_000;

/// Returns the account whose key the request has. On a public route a request may have none, and a key
/// that no account holds is ignored.
pub fn authenticate(
    shared: &SharedState,
    configuration: &Configuration,
    is_public: bool,
    req: &HttpRequest,
) -> Result<Option<Arc<ClientAccount>>, Refusal> {
    let Some(accounts) = &configuration.accounts else { return Ok(None) };
    let name = shared.dialect.headers().api_key.as_str();
    let key = match single_key(req.headers().get_all(name).map(|v| v.as_bytes())) {
        Err(_) if is_public => return Ok(None),
        key => key?,
    };
    // Before the key is looked up: it may have been added, and 401 is final.
    ensure_confirmed(shared, is_public)?;
    match accounts.with_key(key) {
        None if !is_public => {
            let version = configuration.version;
            let detail = format!("configuration version {version} has no account with the API key");
            Err(Refusal::not_run(RefusalReason::KeyUnknown, detail))
        }
        Some(account) => {
            req.extensions_mut().insert(account.clone());
            Ok(Some(account.clone()))
        }
        None => Ok(None),
    }
}

/// Returns whether calls on jobs need no key: they name no route, so that one public route for jobs at
/// their host is enough.
pub fn has_public_jobs(configuration: &Configuration, host: &str) -> bool {
    let is_public_batch = |r: &Route| r.kind == RouteKind::Batch && r.is_public;
    configuration.routes.iter().any(|r| is_public_batch(r) && r.host.eq_ignore_ascii_case(host))
}

/// Returns the account that the request was found to belong to, for log lines and metrics.
pub fn known_account(req: &HttpRequest) -> Option<Arc<ClientAccount>> {
    req.extensions().get::<Arc<ClientAccount>>().cloned()
}

/// Refuses a request that needs a key if the key may have been removed meanwhile.
fn ensure_confirmed(shared: &SharedState, is_public: bool) -> Result<(), Refusal> {
    let confirmed_at = shared.confirmation.confirmed_at();
    if is_public || shared.settings.revocation.allows_keys(confirmed_at, shared.clock.now()) {
        return Ok(());
    }
    let detail = "the store has not confirmed the API keys for too long";
    let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, detail);
    Err(refusal.retry_after(UNCONFIRMED_RETRY_AFTER_MS))
}

/// Returns the account of a request that has been under way since it was authenticated with an earlier
/// configuration. A caller that is slow to send its request, or waits for an answer, must not use a key for
/// longer than its removal takes.
pub fn authenticate_again(
    shared: &SharedState,
    earlier: &Configuration,
    is_public: bool,
    req: &HttpRequest,
    account: Option<Arc<ClientAccount>>,
) -> Result<Option<Arc<ClientAccount>>, Refusal> {
    match &*shared.configuration.load() {
        Some(now) if now.version != earlier.version => authenticate(shared, now, is_public, req),
        _ if earlier.accounts.is_some() => ensure_confirmed(shared, is_public).map(|()| account),
        _ => Ok(account),
    }
}

/// Returns the digest of the key that a request of an account has.
pub fn used_key(
    shared: &SharedState,
    req: &HttpRequest,
    account: Option<&ClientAccount>,
) -> Option<Digest> {
    account?;
    let name = shared.dialect.headers().api_key.as_str();
    single_key(req.headers().get_all(name).map(|v| v.as_bytes())).ok().map(key_digest)
}

/// Refuses a request whose key was removed while it waited for an endpoint.
pub fn require_key(shared: &SharedState, req: &CallerRequest) -> Result<(), Refusal> {
    let (Some(account), Some(key)) = (&req.account, &req.key) else { return Ok(()) };
    ensure_confirmed(shared, req.route.is_public)?;
    let configuration = shared.configuration.load();
    let Some(now) = configuration.as_ref().filter(|c| c.version != req.version) else {
        return Ok(());
    };
    let holder = now.accounts.as_ref().and_then(|accounts| accounts.with_digest(key));
    if holder.is_some_and(|holder| holder.name == account.name) {
        return Ok(());
    }
    let version = now.version;
    let detail =
        format!("configuration version {version} has no account with the API key any more");
    Err(Refusal::not_run(RefusalReason::KeyUnknown, detail))
}

/// Removes the key from the headers for an endpoint, and sets the account's name whatever the caller sent
/// there.
pub fn set_account(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    account: Option<&ClientName>,
) -> Result<(), Refusal> {
    headers.remove(&names.api_key);
    headers.remove(&names.account);
    if let Some(account) = account {
        let name = HeaderValue::from_str(account.as_str())
            .map_err(|e| Refusal::not_run(RefusalReason::NotReady, e.to_string()))?;
        headers.insert(names.account.clone(), name);
    }
    Ok(())
}
