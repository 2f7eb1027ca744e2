//! Checks that names of the users' platform stand only in its adapter.

use std::path::Path;

use crate::sources::TidyProblem;

/// Finds names of the platform in one file. `words` has one name a line; letter case is ignored.
pub fn check_platform_words(path: &Path, text: &str, words: &str) -> Vec<TidyProblem> {
    let words: Vec<String> =
        words.lines().filter(|w| !w.is_empty()).map(str::to_lowercase).collect();
    let mut problems = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.to_lowercase();
        let found = words.iter().filter(|word| line.contains(word.as_str()));
        problems.extend(found.map(|word| TidyProblem {
            path: path.to_path_buf(),
            line: index + 1,
            advice: format!("use the product's own name in place of the platform's `{word}`"),
        }));
    }
    problems
}
