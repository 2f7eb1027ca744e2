//! Judges how a run of a batch item ended: listed, tried again, or given up.

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole output came.
    Completed,
    /// The endpoint answered that the item can never be done.
    Impossible,
    /// The endpoint ran the item and failed.
    Failed,
    /// The endpoint did not run it.
    NotRun,
    /// The connection broke.
    Broken,
    /// The owner stopped the run to make room.
    Stopped,
}

/// What becomes of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemVerdict {
    /// List it as completed.
    List,
    /// List it as given up.
    GiveUp,
    /// Run it again after this many milliseconds.
    Again(u64),
}

/// Wait after a failed run, in milliseconds, for each failure so far.
const FAILED_WAIT_MS: u64 = 150;

/// Wait after a run that broke, in milliseconds, for each break so far.
const BROKEN_WAIT_MS: u64 = 100;

/// Longest wait before another run, in milliseconds.
const MAX_WAIT_MS: u64 = 4_000;

/// Wait after an endpoint refused the item, in milliseconds.
const NOT_RUN_WAIT_MS: u64 = 60;

/// Ends of one item's runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunFailures {
    /// Runs that failed.
    pub failed: u32,
    /// Runs that broke without any progress.
    pub broken: u32,
}

impl RunFailures {
    /// Notes the end of a run and judges the item. `progressed` tells whether the run added output.
    pub fn note(&mut self, end: RunOutcome, progressed: bool, max_failed: u32) -> ItemVerdict {
        match end {
            RunOutcome::Completed => ItemVerdict::List,
            RunOutcome::Impossible => ItemVerdict::GiveUp,
            RunOutcome::Failed => {
                self.failed += 1;
                if self.failed >= max_failed.max(1) {
                    return ItemVerdict::GiveUp;
                }
                ItemVerdict::Again(wait(FAILED_WAIT_MS, self.failed))
            }
            RunOutcome::Broken => {
                self.broken = if progressed { 0 } else { self.broken + 1 };
                ItemVerdict::Again(wait(BROKEN_WAIT_MS, self.broken))
            }
            RunOutcome::NotRun => ItemVerdict::Again(NOT_RUN_WAIT_MS),
            RunOutcome::Stopped => ItemVerdict::Again(0),
        }
    }
}

fn wait(step_ms: u64, times: u32) -> u64 {
    (step_ms << times.min(6)).min(MAX_WAIT_MS)
}
