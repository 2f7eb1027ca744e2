//! Each case file is a bundle whose first line lists the codes of the errors that it must be
//! rejected with, in order. A bundle without codes must be accepted.

use std::path::Path;

use miette::Diagnostic;

use mulberry_protocol::bundle::parse_bundle;

fn check_case(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let first = text.lines().next().unwrap_or("");
    let expected: Vec<&str> = first.trim_start_matches("# expect:").split_whitespace().collect();
    let found: Vec<String> = match parse_bundle(&text, "case") {
        Ok(_) => Vec::new(),
        Err(rejected) => rejected
            .errors
            .iter()
            .map(|e| e.code().map_or_else(String::new, |c| c.to_string()))
            .map(|code| code.rsplit("::").next().unwrap_or("").to_owned())
            .collect(),
    };
    if found == expected {
        Ok(())
    } else {
        Err(format!("expected {expected:?}, found {found:?}").into())
    }
}

datatest_stable::harness! {
    { test = check_case, root = "tests/cases/bundle", pattern = r"\.toml$" },
}
