//! Checks that imports are one per line and in three groups, separated by an empty line: standard
//! library, other crates, own crates.

use std::path::Path;

use crate::sources::TidyViolation;

/// Group of an import, in the required order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ImportGroup {
    Standard,
    External,
    /// This workspace's crates, and modules of the same crate.
    Own,
}

/// Checks the top-level imports of one file.
pub fn check_imports(path: &Path, text: &str) -> Vec<TidyViolation> {
    let mut violations = Vec::new();
    let mut last: Option<(ImportGroup, usize)> = None;
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let mut report = |advice: &str| {
            let advice = advice.to_owned();
            violations.push(TidyViolation { path: path.to_path_buf(), line: number, advice });
        };
        let Some(import) = line.strip_prefix("use ") else {
            let ends_imports = !line.is_empty() && !line.starts_with("#[");
            if ends_imports {
                last = None;
            }
            continue;
        };
        if import.contains('{') || !import.trim_end().ends_with(';') {
            report("write one import a line");
        }
        let group = group_of(import);
        if let Some((previous, at)) = last {
            let gap = number - at > 1;
            if group < previous {
                report("order imports: standard library, other crates, own crates");
            } else if group != previous && !gap {
                report("put an empty line between groups of imports");
            } else if group == previous && gap && !may_have_gaps(group) {
                report("remove the empty line within a group of imports");
            }
        }
        last = Some((group, number));
    }
    violations
}

/// Returns whether empty lines within the group are allowed: they may separate imports of the same
/// crate from those of the workspace's other crates.
fn may_have_gaps(group: ImportGroup) -> bool {
    group == ImportGroup::Own
}

/// Returns the group of an import, given the text after `use `.
fn group_of(import: &str) -> ImportGroup {
    let first = import.split(':').next().unwrap_or("");
    match first {
        "std" | "core" | "alloc" => ImportGroup::Standard,
        "crate" | "super" | "self" => ImportGroup::Own,
        name if name.starts_with("mulberry_") => ImportGroup::Own,
        // Any other name counts as a dependency. Modules of the same file must be imported with
        // `self::` to count as own.
        _ => ImportGroup::External,
    }
}
