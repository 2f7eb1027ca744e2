//! `bundle diff`: lists the values that differ between two bundles.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Value;

use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::digest::Digest;

use super::check::check_file;
use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::new_table;
use crate::output::print_result;

/// Argument that selects the bundle in force, in place of a digest or a file.
const IN_FORCE: &str = "in-force";

/// Length of a digest in hexadecimal digits; an argument of this length is taken for a digest, any
/// other for a path.
const DIGEST_DIGITS: usize = 64;

/// A value that differs between two bundles.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Keys from the root of the bundle to the value, each after a `/`.
    pub path: String,
    /// Value in the first bundle, if present there.
    pub before: Option<Value>,
    /// Value in the second bundle, if present there.
    pub after: Option<Value>,
}

/// Returns the values that differ between two bundles, ordered by key at each level.
pub fn diff_bundles(before: &Bundle, after: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    let as_value = |b| serde_json::to_value(b).unwrap_or(Value::Null);
    diff_values("", Some(&as_value(before)), Some(&as_value(after)), &mut changes);
    changes
}

fn diff_values(path: &str, a: Option<&Value>, b: Option<&Value>, changes: &mut Vec<Change>) {
    if a == b {
        return;
    }
    if let (Some(Value::Object(a)), Some(Value::Object(b))) = (a, b) {
        let keys: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        for key in keys {
            diff_values(&format!("{path}/{key}"), a.get(key), b.get(key), changes);
        }
        return;
    }
    changes.push(Change { path: path.to_owned(), before: a.cloned(), after: b.cloned() });
}

async fn load_bundle(cx: &CtlContext, name: &str) -> Result<Bundle, CtlError> {
    let digest = if name == IN_FORCE {
        let in_force = cx.read_in_force().await?;
        let not_found = || CtlError::NotFound { kind: "bundle", name: IN_FORCE.to_owned() };
        in_force.ok_or_else(not_found)?.0.digest
    } else if name.len() == DIGEST_DIGITS {
        Digest::from_hex(name)
    } else {
        return Ok(check_file(name)?.bundle);
    };
    let content = cx.read_content(&digest).await?;
    Ok(parse_bundle(&content.text, name)?)
}

/// Prints the differences between two bundles, each given as a digest, a path or `in-force`.
pub(crate) async fn run(cx: &CtlContext, before: &str, after: &str) -> Result<(), CtlError> {
    let changes = diff_bundles(&load_bundle(cx, before).await?, &load_bundle(cx, after).await?);
    print_result(cx.json, &changes, |changes| {
        let mut table = new_table(&["value", "before", "after"]);
        let text = |v: &Option<Value>| v.as_ref().map_or_else(|| "-".to_owned(), Value::to_string);
        for c in changes {
            table.add_row([c.path.clone(), text(&c.before), text(&c.after)]);
        }
        table.to_string()
    });
    Ok(())
}
