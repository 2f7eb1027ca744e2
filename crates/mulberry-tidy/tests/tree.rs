//! The tree keeps to its own rules.

use std::path::Path;

use mulberry_tidy::check_events;
use mulberry_tidy::check_imports;
use mulberry_tidy::check_metrics;
use mulberry_tidy::check_platform_words;
use mulberry_tidy::read_sources;
use mulberry_tidy::read_text;
use mulberry_tidy::workspace_root;

struct ImportCase {
    name: &'static str,
    text: &'static str,
    problems: usize,
}

#[test]
fn imports_are_judged() {
    let cases = [
        ImportCase {
            name: "good",
            text: "use std::fmt;\n\nuse serde::Serialize;\n\nuse crate::a;\n",
            problems: 0,
        },
        ImportCase { name: "braces", text: "use std::{fmt, io};\n", problems: 1 },
        ImportCase { name: "no gap", text: "use std::fmt;\nuse crate::a;\n", problems: 1 },
        ImportCase { name: "order", text: "use crate::a;\n\nuse std::fmt;\n", problems: 1 },
        ImportCase { name: "gap inside", text: "use std::fmt;\n\nuse std::io;\n", problems: 1 },
    ];
    for case in cases {
        let found = check_imports(Path::new("a.rs"), case.text);
        assert_eq!(found.len(), case.problems, "{}: {found:?}", case.name);
    }
}

#[test]
fn names_of_the_platform_are_found() {
    let words = "Foreign-Name\nother_name\n";
    let found = |text| check_platform_words(Path::new("a.rs"), text, words).len();
    assert_eq!(found("let own = 1;"), 0);
    assert_eq!(found("header(\"foreign-name\");\nlet other_name = 1;"), 2);
}

#[test]
fn the_tree_is_tidy() {
    let root = workspace_root();
    let sources = read_sources(&root.join("crates")).unwrap();
    let adapter = read_sources(&root.join("platform")).unwrap();
    let words = read_text(&root.join("platform/words.txt")).unwrap();
    let every = sources.iter().chain(&adapter);
    let mut problems: Vec<_> = every.flat_map(|(p, t)| check_imports(p, t)).collect();
    problems.extend(sources.iter().flat_map(|(p, t)| check_platform_words(p, t, &words)));
    problems.extend(check_events(&std::fs::read_to_string(root.join("docs/EVENTS.md")).unwrap()));
    let metrics = std::fs::read_to_string(root.join("docs/METRICS.md")).unwrap();
    problems.extend(check_metrics(&metrics, &sources));
    assert!(
        problems.is_empty(),
        "{}",
        problems.iter().map(|p| format!("{p}\n")).collect::<String>()
    );
}
