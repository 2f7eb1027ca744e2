//! Checks the imports of the workspace and prints what to mend.

use std::process::ExitCode;

use mulberry_tidy::check_imports;
use mulberry_tidy::check_platform_words;
use mulberry_tidy::read_sources;
use mulberry_tidy::read_text;
use mulberry_tidy::workspace_root;

fn main() -> miette::Result<ExitCode> {
    let mut problems = Vec::new();
    let root = workspace_root();
    for (path, text) in read_sources(&root.join("platform"))? {
        problems.extend(check_imports(&path, &text));
    }
    let words = read_text(&root.join("platform/words.txt"))?;
    for (path, text) in read_sources(&root.join("crates"))? {
        problems.extend(check_imports(&path, &text));
        problems.extend(check_platform_words(&path, &text, &words));
    }
    for problem in &problems {
        println!("{problem}");
    }
    Ok(if problems.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
