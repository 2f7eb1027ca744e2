//! The state of one batch item at its owner: how far it has come, its output so far and its unsuccessful runs.

use std::sync::Arc;

use mulberry_protocol::batch_job::FailureCounts;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::ResultState;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::time::Millis;

use crate::run_outcome::RunFailures;

/// How far an item has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemPhase {
    /// The item may run from this time on.
    Waiting(Millis),
    /// The item runs.
    Running,
    /// The item has ended; its result is not listed yet.
    Ended,
    /// The item's result is listed.
    Listed,
}

/// Output that the runs of an item have produced so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    /// Data of the events, one per line.
    pub text: String,
    /// Events so far.
    pub events: u32,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// What wrote the output, once that is certain. Only the same can continue it.
    pub origin: Option<StreamOrigin>,
    /// When the last event came.
    pub updated_at: Millis,
    /// Rises when the output is replaced by that of other runs instead of being appended to.
    pub generation: u64,
}

impl Progress {
    /// Appends an event. Ignores one that is already contained.
    pub fn push(&mut self, number: u64, data: &str) {
        if self.last_event.is_some_and(|last| number <= last) {
            return;
        }
        if self.events > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.events += 1;
        self.last_event = Some(number);
    }

    /// Drops the output, so that the next run begins anew.
    pub fn discard(&mut self) {
        *self = Self { generation: self.generation + 1, ..Self::default() };
    }

    /// Drops the output unless it is certain that `origin` wrote it, which is to continue it.
    pub fn keep_only_of(&mut self, origin: &StreamOrigin) {
        if self.origin.as_ref() != Some(origin) {
            self.discard();
        }
    }
}

/// Output of an item whose result is not listed, borrowed for copying to another process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ItemOutput<'a> {
    /// Identifier of the item.
    pub item: &'a Arc<str>,
    /// Data of the events so far, one per line; the whole output if the item has ended.
    pub text: &'a str,
    /// Events so far.
    pub events: u32,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// What wrote the output, as in [`Progress::origin`].
    pub origin: Option<&'a StreamOrigin>,
    /// Generation of the output, as in [`Progress::generation`].
    pub generation: u64,
    /// How the item ended, if it has.
    pub ended: Option<ResultState>,
}

impl ItemOutput<'_> {
    /// Returns an owned copy to send to another process.
    pub fn to_progress(&self) -> ItemProgress {
        ItemProgress {
            origin: self.origin.cloned(),
            item: self.item.clone(),
            text: self.text.to_owned(),
            events: self.events,
            last_event: self.last_event,
            ended: self.ended,
        }
    }
}

/// A batch item with its phase and its output so far.
#[derive(Debug)]
pub struct ItemState {
    /// The item as it was submitted.
    pub item: Arc<JobItem>,
    /// Fingerprint of the item's request.
    pub fingerprint: u64,
    /// How far the item has come.
    pub phase: ItemPhase,
    /// Output of the item's runs so far.
    pub progress: Progress,
    pub(crate) failures: RunFailures,
    /// Unsuccessful runs that the store knows of.
    pub(crate) stored: FailureCounts,
}

impl ItemState {
    /// Returns whether the item has failed since that was last stored. It must not run again before it
    /// is: a new owner would not know of it.
    pub fn has_unstored_failure(&self) -> bool {
        self.failures.failed > self.stored.failed
    }

    /// Returns how many runs broke in a row without output, as when the endpoint crashes.
    pub fn broken_runs(&self) -> u32 {
        self.failures.broken
    }

    /// Returns what has to continue the output, if it is certain what wrote it and no run behind it has
    /// broken.
    pub fn awaited_origin(&self) -> Option<&StreamOrigin> {
        self.progress.origin.as_ref().filter(|_| self.failures.broken == 0)
    }

    pub(crate) fn counts(&self) -> FailureCounts {
        FailureCounts { failed: self.failures.failed }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.phase, ItemPhase::Waiting(_) | ItemPhase::Running)
    }
}
