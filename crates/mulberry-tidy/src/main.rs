//! Checks the imports and the use of platform names in the workspace, and prints each violation.
//! The exit code is 1 if there are any.

use std::process::ExitCode;

use mulberry_tidy::check_imports;
use mulberry_tidy::check_platform_words;
use mulberry_tidy::read_sources;
use mulberry_tidy::read_text;
use mulberry_tidy::workspace_root;

fn main() -> miette::Result<ExitCode> {
    let mut violations = Vec::new();
    let root = workspace_root();
    for (path, text) in read_sources(&root.join("platform"))? {
        violations.extend(check_imports(&path, &text));
    }
    let words = read_text(&root.join("platform/words.txt"))?;
    for (path, text) in read_sources(&root.join("crates"))? {
        violations.extend(check_imports(&path, &text));
        violations.extend(check_platform_words(&path, &text, &words));
    }
    for violation in &violations {
        println!("{violation}");
    }
    Ok(if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
