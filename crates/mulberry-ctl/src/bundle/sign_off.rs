//! `bundle sign-off`: records an operator's approval, bound to the digest of the bundle's content.

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::bundle::Right;
use mulberry_protocol::bundle::SignOff;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::object_key;

use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::print_result;

/// Signs off a bundle that another operator submitted. If it is signed off already, the first
/// sign-off stays.
pub async fn sign_off(cx: &CtlContext, digest: &Digest) -> Result<(), CtlError> {
    let content = cx.read_content(digest).await?;
    let bundle = parse_bundle(&content.text, "submitted bundle")?;
    cx.require_right(Right::SignOff, &bundle).await?;
    let by = cx.operator();
    if by == content.author {
        return Err(CtlError::OwnBundle { operator: by.to_string() });
    }
    if Digest::of(content.text.as_bytes()) != *digest {
        return Err(CtlError::Altered { digest: digest.as_str().to_owned() });
    }
    let value = to_json(&SignOff { digest: digest.clone(), author: content.author, by })?;
    let key = object_key::sign_off(digest);
    match cx.store.create(CallClass::Commit, &key, value).await? {
        WriteOutcome::Written(_) | WriteOutcome::Conflict(Some(_)) => Ok(()),
        WriteOutcome::Conflict(None) => Err(CtlError::NotSignedOff { digest: digest.to_string() }),
    }
}

/// Signs off the bundle with this digest and prints a confirmation.
pub(crate) async fn run(cx: &CtlContext, digest: &str) -> Result<(), CtlError> {
    let digest = Digest::from_hex(digest);
    sign_off(cx, &digest).await?;
    let result = serde_json::json!({"digest": digest.as_str(), "by": cx.settings.operator});
    print_result(cx.json, &result, |_| format!("{} signed off {digest}", cx.settings.operator));
    Ok(())
}
