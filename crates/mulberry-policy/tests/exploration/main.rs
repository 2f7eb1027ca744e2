//! Explores the policies' state machines exhaustively on small models: every order of steps, with
//! lost responses, paused owners, and a cancel at any point.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod bundles;
mod claims;
mod jobs;

use std::collections::HashSet;
use std::fmt::Debug;

/// Number of states above which a model counts as too large, so that the search stays bounded.
const MAX_STATES: usize = 400_000;

/// Visits every state that is reachable from `start`. Returns the number of states visited, and the
/// first problem found, at which the visit stops.
fn explore<S: Clone + Debug>(
    start: S,
    steps: impl Fn(&S) -> Vec<S>,
    problem: impl Fn(&S) -> Option<&'static str>,
) -> (usize, Option<&'static str>) {
    let mut seen = HashSet::new();
    let mut unvisited = vec![start];
    while let Some(state) = unvisited.pop() {
        if !seen.insert(format!("{state:?}")) {
            continue;
        }
        assert!(seen.len() <= MAX_STATES, "the model is too large to explore");
        if let Some(found) = problem(&state) {
            return (seen.len(), Some(found));
        }
        unvisited.extend(steps(&state));
    }
    (seen.len(), None)
}
