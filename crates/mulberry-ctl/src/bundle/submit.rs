//! `bundle submit`: stores a bundle's content under its digest.

use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::bundle::BundleContent;
use mulberry_protocol::bundle::Right;
use mulberry_protocol::digest::Digest;
use mulberry_protocol::object_key;

use super::check::CheckedFile;
use super::check::check_file;
use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::print_result;

/// Stores a checked bundle. Submitting the same content again changes nothing.
pub async fn submit(cx: &CtlContext, checked: &CheckedFile) -> Result<Digest, CtlError> {
    cx.demand_right(Right::Submit, &checked.bundle).await?;
    let content = BundleContent { text: checked.text.clone(), author: cx.operator() };
    let key = object_key::bundle_content(&checked.digest);
    match cx.store.create(CallClass::Commit, &key, to_json(&content)?).await? {
        WriteOutcome::Written(_) => Ok(checked.digest.clone()),
        WriteOutcome::Conflict(existing) => {
            let existing = existing.map(|o| parse_json::<BundleContent>(&o)).transpose()?;
            let same = existing.is_some_and(|e| e.text == checked.text);
            let altered = || CtlError::Altered { digest: checked.digest.as_str().to_owned() };
            if same { Ok(checked.digest.clone()) } else { Err(altered()) }
        }
    }
}

/// Runs the command.
pub(crate) async fn run(cx: &CtlContext, path: &str) -> Result<(), CtlError> {
    let digest = submit(cx, &check_file(path)?).await?;
    let result = serde_json::json!({"digest": digest.as_str()});
    print_result(cx.json, &result, |_| format!("submitted {digest}"));
    Ok(())
}
