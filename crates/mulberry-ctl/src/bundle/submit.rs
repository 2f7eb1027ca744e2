//! `bundle submit`: stores the content of a bundle under its digest.

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::bundle::BundleContent;
use mulberry_protocol::bundle::Right;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::object_key;

use super::check::CheckedBundle;
use super::check::check_file;
use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::print_result;

/// Stores a checked bundle and returns its digest. Submitting the same content again changes
/// nothing, not even its author.
pub async fn submit(cx: &CtlContext, checked: &CheckedBundle) -> Result<Digest, CtlError> {
    cx.require_right(Right::Submit, &checked.bundle).await?;
    let content = BundleContent { text: checked.text.clone(), author: cx.operator() };
    let key = object_key::bundle_content(&checked.digest);
    match cx.store.create(CallClass::Commit, &key, to_json(&content)?).await? {
        WriteOutcome::Written(_) => Ok(checked.digest.clone()),
        WriteOutcome::Conflict(existing) => {
            let existing = existing.map(|o| parse_json::<BundleContent>(&o)).transpose()?;
            let is_same = existing.is_some_and(|e| e.text == checked.text);
            let altered = || CtlError::Altered { digest: checked.digest.as_str().to_owned() };
            if is_same { Ok(checked.digest.clone()) } else { Err(altered()) }
        }
    }
}

/// Checks and stores the bundle in a file, and prints its digest.
pub(crate) async fn run(cx: &CtlContext, path: &str) -> Result<(), CtlError> {
    let digest = submit(cx, &check_file(path)?).await?;
    let result = serde_json::json!({"digest": digest.as_str()});
    print_result(cx.json, &result, |_| format!("submitted {digest}"));
    Ok(())
}
