//! `bundle roll`: puts a signed-off bundle in force under the next number.

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

/// Rolls a bundle and returns its number. Of two operators who roll at the same time, one wins and
/// the other learns who did.
pub async fn roll(cx: &CtlContext, digest: &Digest) -> Result<u64, CtlError> {
    let content = cx.read_content(digest).await?;
    let bundle = parse_bundle(&content.text, "submitted bundle")?;
    cx.demand_right(Right::Roll, &bundle).await?;
    let key = object_key::sign_off(digest);
    let sign_off = cx.store.read_json::<SignOff>(CallClass::Read, &key).await?;
    let signed = sign_off.is_some_and(|(s, _)| s.digest == *digest && s.by != content.author);
    if !signed {
        return Err(CtlError::NotSignedOff { digest: digest.as_str().to_owned() });
    }
    let before = cx.read_in_force().await?;
    if let Some((before, _)) = &before {
        store_delta(cx, &before.digest, &content.text).await?;
    }
    let number = before.as_ref().map_or(0, |(b, _)| b.number) + 1;
    let in_force = InForceRecord {
        number,
        digest: digest.clone(),
        by: cx.operator(),
        attempt: rand::rng().random(),
    };
    let value = to_json(&in_force)?;
    let end = match before {
        None => cx.store.create(CallClass::Commit, object_key::BUNDLE_IN_FORCE, value).await?,
        Some((_, version)) => {
            cx.store.update(CallClass::Commit, object_key::BUNDLE_IN_FORCE, value, version).await?
        }
    };
    match end {
        WriteOutcome::Written(_) => {}
        WriteOutcome::Conflict(Some(object)) => return Err(lost_race(&parse_json(&object)?)),
        WriteOutcome::Conflict(None) => {
            return Err(CtlError::NotFound { kind: "bundle in force", name: number.to_string() });
        }
    }
    record(cx, in_force, bundle.version).await?;
    Ok(number)
}

/// Stores the delta from the bundle in force, so that processes need not read the whole content.
async fn store_delta(cx: &CtlContext, from: &Digest, text: &str) -> Result<(), CtlError> {
    let before = cx.read_content(from).await?;
    let delta = make_delta(&before.text, text);
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

/// Writes the history. The roll stands without it.
async fn record(cx: &CtlContext, in_force: InForceRecord, version: String) -> Result<(), CtlError> {
    let key = object_key::roll(in_force.number);
    let record = RollRecord { in_force, version, at_s: cx.unix_s() };
    cx.store.create(CallClass::Listing, &key, to_json(&record)?).await?;
    Ok(())
}

/// Runs the command.
pub(crate) async fn run(cx: &CtlContext, digest: &str) -> Result<(), CtlError> {
    let digest = Digest::from_hex(digest);
    let number = roll(cx, &digest).await?;
    let result = serde_json::json!({"digest": digest.as_str(), "number": number});
    print_result(cx.json, &result, |_| format!("rolled {digest} as number {number}"));
    Ok(())
}
