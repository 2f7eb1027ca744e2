//! Explores the machines exhaustively over small cases: every order of steps, with answers lost,
//! owners paused and a cancel at any point.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod bundles;
mod claims;
mod jobs;

use std::collections::HashSet;
use std::fmt::Debug;

const MAX_STATES: usize = 400_000;

/// Visits every state that can be reached. Returns their number, and the first problem.
fn explore<S: Clone + Debug>(
    start: S,
    steps: impl Fn(&S) -> Vec<S>,
    problem: impl Fn(&S) -> Option<&'static str>,
) -> (usize, Option<&'static str>) {
    let mut seen = HashSet::new();
    let mut open = vec![start];
    while let Some(state) = open.pop() {
        if !seen.insert(format!("{state:?}")) {
            continue;
        }
        assert!(seen.len() <= MAX_STATES, "the case is too large to explore");
        if let Some(found) = problem(&state) {
            return (seen.len(), Some(found));
        }
        open.extend(steps(&state));
    }
    (seen.len(), None)
}
