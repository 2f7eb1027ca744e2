//! Authenticates requests by their key and limits the rate of each client account.

use actix_web::HttpRequest;

use mulberry_protocol::account::single_key;
use mulberry_protocol::auth::key_digest;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::shared::Shared;
use crate::snapshot::LoadedBundle;

/// Time after which a caller may retry while no bundle is in force, in milliseconds.
const NO_BUNDLE_RETRY_AFTER_MS: u32 = 1_000;

/// Returns the bundle in force, or a refusal before the first one.
pub(crate) fn bundle_in_force(shared: &Shared) -> Result<LoadedBundle, Refusal> {
    let snapshot = shared.snapshot.load();
    snapshot.bundle.clone().ok_or_else(|| {
        Refusal::not_run(RefusalReason::NoBundle, "no bundle is in force")
            .retry_after(NO_BUNDLE_RETRY_AFTER_MS)
    })
}

/// Header that holds the key.
const KEY_HEADER: &str = "authorization";

/// Scheme before the key. A header of another scheme holds no key.
const KEY_SCHEME: &[u8] = b"Bearer ";

/// Returns the client account that holds the request's key.
pub(crate) fn authenticate(
    req: &HttpRequest,
    loaded: &LoadedBundle,
) -> Result<ClientName, Refusal> {
    let values = req.headers().get_all(KEY_HEADER).map(|v| v.as_bytes());
    let keys = values.map(|v| v.strip_prefix(KEY_SCHEME).unwrap_or_default().trim_ascii());
    let key = single_key(keys).map_err(with_hint)?;
    match loaded.bundle.client_with_key(&key_digest(key)) {
        Some(client) => Ok(client.name.clone()),
        None => Err(Refusal::not_run(RefusalReason::KeyUnknown, "the key belongs to no account")),
    }
}

fn with_hint(refusal: Refusal) -> Refusal {
    let detail = format!("{}; send it once, as `Authorization: Bearer KEY`", refusal.detail);
    Refusal { detail, ..refusal }
}

/// Counts an online request against its client account's rate, or refuses it.
pub(crate) fn admit(shared: &Shared, client: &ClientName) -> Result<(), Refusal> {
    let now = shared.clock.now();
    let admitted = shared.policies.client_rate_limiter().admit(client, now);
    admitted.map_err(|retry_ms| {
        Refusal::not_run(RefusalReason::ClientRate, "the account is over its rate")
            .retry_after(retry_ms.min(60_000) as u32)
    })
}
