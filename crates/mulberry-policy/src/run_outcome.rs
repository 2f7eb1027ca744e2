//! Decides after each run of a batch item whether to list its result, run it again, or give up.

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The endpoint returned the complete output.
    Completed,
    /// The endpoint answered that the item can never succeed.
    Impossible,
    /// The endpoint ran the item and reported a failure.
    Failed,
    /// The endpoint did not run the item.
    NotRun,
    /// The connection to the endpoint broke.
    Broken,
    /// The owner stopped the run to free capacity.
    Stopped,
}

/// What to do with an item after a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemDecision {
    /// List the item as completed.
    List,
    /// List the item as given up.
    GiveUp,
    /// Run the item again after this many milliseconds.
    Again(u64),
}

/// Base of the delay after a failed run, in milliseconds. It is doubled once for each failure so
/// far.
const FAILED_DELAY_MS: u64 = 150;

/// Base of the delay after a broken run, in milliseconds. It is doubled once for each broken run
/// since the last one that made progress.
const BROKEN_DELAY_MS: u64 = 100;

/// Upper bound of the delay before another run, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 4_000;

/// Delay after an endpoint did not run the item, in milliseconds.
const NOT_RUN_DELAY_MS: u64 = 60;

/// Counts the unsuccessful runs of one item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunFailures {
    /// Number of failed runs.
    pub failed: u32,
    /// Number of broken runs since the last one that made progress.
    pub broken: u32,
}

impl RunFailures {
    /// Records the outcome of a run and decides what to do with the item.
    ///
    /// `progressed` is whether the run added output. The item is given up after `max_failed` failed
    /// runs.
    pub fn record(
        &mut self,
        outcome: RunOutcome,
        progressed: bool,
        max_failed: u32,
    ) -> ItemDecision {
        match outcome {
            RunOutcome::Completed => ItemDecision::List,
            RunOutcome::Impossible => ItemDecision::GiveUp,
            RunOutcome::Failed => {
                self.failed += 1;
                if self.failed >= max_failed.max(1) {
                    return ItemDecision::GiveUp;
                }
                ItemDecision::Again(delay_ms(FAILED_DELAY_MS, self.failed))
            }
            RunOutcome::Broken => {
                self.broken = if progressed { 0 } else { self.broken + 1 };
                ItemDecision::Again(delay_ms(BROKEN_DELAY_MS, self.broken))
            }
            RunOutcome::NotRun => ItemDecision::Again(NOT_RUN_DELAY_MS),
            RunOutcome::Stopped => ItemDecision::Again(0),
        }
    }
}

/// Returns `base_ms` doubled once for each failure, up to [`MAX_RETRY_DELAY_MS`].
fn delay_ms(base_ms: u64, failures: u32) -> u64 {
    (base_ms << failures.min(6)).min(MAX_RETRY_DELAY_MS)
}
