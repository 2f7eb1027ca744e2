//! Tests the rules on samples, and checks this source tree with them.

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
    violations: usize,
}

#[test]
fn import_violations_are_found() {
    let cases = [
        ImportCase {
            name: "valid",
            text: "use std::fmt;\n\nuse serde::Serialize;\n\nuse crate::a;\n",
            violations: 0,
        },
        ImportCase {
            name: "several imports in braces",
            text: "use std::{fmt, io};\n",
            violations: 1,
        },
        ImportCase {
            name: "no empty line between groups",
            text: "use std::fmt;\nuse crate::a;\n",
            violations: 1,
        },
        ImportCase {
            name: "wrong order of groups",
            text: "use crate::a;\n\nuse std::fmt;\n",
            violations: 1,
        },
        ImportCase {
            name: "empty line within a group",
            text: "use std::fmt;\n\nuse std::io;\n",
            violations: 1,
        },
    ];
    for case in cases {
        let found = check_imports(Path::new("a.rs"), case.text);
        assert_eq!(found.len(), case.violations, "{}: {found:?}", case.name);
    }
}

#[test]
fn platform_names_are_found_in_any_case() {
    let words = "Foreign-Name\nother_name\n";
    let found = |text| check_platform_words(Path::new("a.rs"), text, words).len();
    assert_eq!(found("let own = 1;"), 0);
    assert_eq!(found("header(\"foreign-name\");\nlet other_name = 1;"), 2);
}

#[test]
fn the_source_tree_has_no_violations() {
    let root = workspace_root();
    let sources = read_sources(&root.join("crates")).unwrap();
    let adapter = read_sources(&root.join("platform")).unwrap();
    let words = read_text(&root.join("platform/words.txt")).unwrap();
    let all_files = sources.iter().chain(&adapter);
    let mut violations: Vec<_> = all_files.flat_map(|(p, t)| check_imports(p, t)).collect();
    violations.extend(sources.iter().flat_map(|(p, t)| check_platform_words(p, t, &words)));
    violations.extend(check_events(&std::fs::read_to_string(root.join("docs/EVENTS.md")).unwrap()));
    let metrics = std::fs::read_to_string(root.join("docs/METRICS.md")).unwrap();
    violations.extend(check_metrics(&metrics, &sources));
    assert!(
        violations.is_empty(),
        "{}",
        violations.iter().map(|p| format!("{p}\n")).collect::<String>()
    );
}
