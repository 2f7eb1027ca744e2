//! Checks that names from the users' platform occur only in its adapter, the platform folder.

use std::path::Path;

use crate::sources::TidyViolation;

/// Finds names from the platform in one file, ignoring case. `words` holds one name per line.
pub fn check_platform_words(path: &Path, text: &str, words: &str) -> Vec<TidyViolation> {
    let words: Vec<String> =
        words.lines().filter(|w| !w.is_empty()).map(str::to_lowercase).collect();
    let mut violations = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.to_lowercase();
        let found = words.iter().filter(|word| line.contains(word.as_str()));
        violations.extend(found.map(|word| TidyViolation {
            path: path.to_path_buf(),
            line: index + 1,
            advice: format!("use the product's own name in place of the platform's `{word}`"),
        }));
    }
    violations
}
