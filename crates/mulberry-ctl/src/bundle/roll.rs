//! `bundle roll`: puts a signed-off bundle in force under the next roll number.

use rand::Rng;

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::bundle::InForceRecord;
use mulberry_protocol::bundle::Right;
use mulberry_protocol::bundle::RollRecord;
use mulberry_protocol::bundle::SignOff;
use mulberry_protocol::bundle::make_delta;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::object_key;

use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::print_result;

/// Rolls a bundle and returns the number of the roll. If two operators roll at the same time, one
/// succeeds and the other gets [`CtlError::LostRace`], which names the first.
pub async fn roll(cx: &CtlContext, digest: &Digest) -> Result<u64, CtlError> {
    let content = cx.read_content(digest).await?;
    let bundle = parse_bundle(&content.text, "submitted bundle")?;
    cx.require_right(Right::Roll, &bundle).await?;
    let key = object_key::sign_off(digest);
    let sign_off = cx.store.read_json::<SignOff>(CallClass::Read, &key).await?;
    let is_signed_off =
        sign_off.is_some_and(|(s, _)| s.digest == *digest && s.by != content.author);
    if !is_signed_off {
        return Err(CtlError::NotSignedOff { digest: digest.as_str().to_owned() });
    }
    let previous = cx.read_in_force().await?;
    if let Some((previous, _)) = &previous {
        store_delta(cx, &previous.digest, &content.text).await?;
    }
    let number = previous.as_ref().map_or(0, |(p, _)| p.number) + 1;
    let in_force = InForceRecord {
        number,
        digest: digest.clone(),
        by: cx.operator(),
        attempt: rand::rng().random(),
    };
    let value = to_json(&in_force)?;
    let outcome = match previous {
        None => cx.store.create(CallClass::Commit, object_key::BUNDLE_IN_FORCE, value).await?,
        Some((_, version)) => {
            cx.store.update(CallClass::Commit, object_key::BUNDLE_IN_FORCE, value, version).await?
        }
    };
    match outcome {
        WriteOutcome::Written(_) => {}
        WriteOutcome::Conflict(Some(object)) => return Err(lost_race(&parse_json(&object)?)),
        WriteOutcome::Conflict(None) => {
            return Err(CtlError::NotFound { kind: "bundle in force", name: number.to_string() });
        }
    }
    record_roll(cx, in_force, bundle.version).await?;
    Ok(number)
}

/// Stores the delta from the bundle in force to `text`, so that processes need not read the whole
/// content.
async fn store_delta(cx: &CtlContext, from: &Digest, text: &str) -> Result<(), CtlError> {
    let base = cx.read_content(from).await?;
    let delta = make_delta(&base.text, text);
    let key = object_key::bundle_delta(from, &delta.to);
    cx.store.create(CallClass::Commit, &key, to_json(&delta)?).await?;
    Ok(())
}

fn lost_race(winner: &InForceRecord) -> CtlError {
    CtlError::LostRace {
        winner: winner.by.to_string(),
        digest: winner.digest.as_str().to_owned(),
        number: winner.number,
    }
}

/// Records the roll for the history. The roll is in force even if this fails.
async fn record_roll(
    cx: &CtlContext,
    in_force: InForceRecord,
    version: String,
) -> Result<(), CtlError> {
    let key = object_key::roll(in_force.number);
    let record = RollRecord { in_force, version, at_s: cx.unix_s() };
    cx.store.create(CallClass::Listing, &key, to_json(&record)?).await?;
    Ok(())
}

/// Rolls the bundle with this digest and prints the roll's number.
pub(crate) async fn run(cx: &CtlContext, digest: &str) -> Result<(), CtlError> {
    let digest = Digest::from_hex(digest);
    let number = roll(cx, &digest).await?;
    let result = serde_json::json!({"digest": digest.as_str(), "number": number});
    print_result(cx.json, &result, |_| format!("rolled {digest} as number {number}"));
    Ok(())
}
