//! Replicates the partial output of batch items to a standby process.
//!
//! Output that is not listed yet is held only in the owner's memory. If the owner fails, items with
//! a copy resume from it instead of starting again. Copies only save work: a missing or old copy
//! costs time but does not affect results.

use std::sync::Arc;

use indexmap::IndexMap;

use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::batch_job::ItemCopy;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::name::JobId;

use crate::item_state::ItemOutput;

/// Bytes of output after which no further items are added to a batch; the rest follows in the next.
pub const MAX_COPY_BYTES: usize = 300_000;

/// What the receiver holds of an item, by which the sender finds out what it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReceiverCopy {
    generation: u64,
    bytes: usize,
    is_ended: bool,
}

/// The owner's end: determines what the receiver lacks.
#[derive(Debug, Default)]
pub struct CopySender {
    held: IndexMap<(JobId, Arc<str>), ReceiverCopy>,
    number: u64,
}

impl CopySender {
    /// Resets the state, so that the next batch contains all output again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the next batch, given all output that is not listed, or none if the receiver lacks
    /// nothing. The batch counts as received; the caller must reset the sender if it was not.
    pub fn next_batch<'a>(
        &mut self,
        term: u64,
        outputs: impl Iterator<Item = (&'a JobId, ItemOutput<'a>)>,
    ) -> Option<CopyBatch> {
        let mut items: IndexMap<JobId, Vec<ItemCopy>> = IndexMap::new();
        let mut next_held: IndexMap<(JobId, Arc<str>), ReceiverCopy> = IndexMap::new();
        let mut bytes = 0;
        for (job, output) in outputs {
            let key = (job.clone(), output.item.clone());
            let before = self.held.swap_remove(&key);
            if bytes >= MAX_COPY_BYTES {
                next_held.extend(before.map(|held| (key, held)));
                continue;
            }
            let held = ReceiverCopy {
                generation: output.generation,
                bytes: output.text.len(),
                is_ended: output.ended.is_some(),
            };
            if before != Some(held) {
                let copy = new_copy(&output, before);
                bytes += copy.progress.text.len();
                items.entry(job.clone()).or_default().push(copy);
            }
            next_held.insert(key, held);
        }
        let dropped: Vec<_> = std::mem::replace(&mut self.held, next_held).into_keys().collect();
        if items.is_empty() && dropped.is_empty() {
            return None;
        }
        let number = self.number;
        self.number += 1;
        Some(CopyBatch { term, number, items: items.into_iter().collect(), dropped })
    }
}

/// Creates the copy that the receiver lacks: the end of the text, or the whole text if the receiver
/// holds none or another generation.
fn new_copy(output: &ItemOutput<'_>, before: Option<ReceiverCopy>) -> ItemCopy {
    let held_bytes = before
        .filter(|h| h.generation == output.generation && !h.is_ended && output.ended.is_none())
        .map(|h| h.bytes);
    let part = held_bytes.and_then(|from| output.text.get(from..));
    let mut progress = output.to_progress();
    if let Some(part) = part {
        progress.text = part.to_owned();
    }
    ItemCopy { appends: part.is_some(), progress }
}

/// The standby's end: holds the copies that the owner sent.
#[derive(Debug, Default)]
pub struct ProgressCopies {
    term: u64,
    next_number: u64,
    jobs: IndexMap<JobId, IndexMap<Arc<str>, ItemProgress>>,
}

impl ProgressCopies {
    /// Applies a batch. Returns false if it does not follow the last one, in which case the sender
    /// must reset and send everything again.
    pub fn apply(&mut self, batch: CopyBatch) -> bool {
        let is_first = batch.number == 0 && batch.term >= self.term;
        let is_next = batch.term == self.term && batch.number == self.next_number;
        if !is_first && !is_next {
            return false;
        }
        if is_first {
            self.jobs.clear();
        }
        self.term = batch.term;
        self.next_number = batch.number + 1;
        for (job, item) in batch.dropped {
            self.drop_item(&job, &item);
        }
        for (job, copies) in batch.items {
            let held = self.jobs.entry(job).or_default();
            copies.into_iter().for_each(|copy| add_copy(held, copy));
        }
        true
    }

    /// Removes and returns all copies if `owner_term` is later than the sender's term; otherwise
    /// returns none.
    pub fn drain_for_successor(&mut self, owner_term: u64) -> Vec<(JobId, Vec<ItemProgress>)> {
        if owner_term <= self.term {
            return Vec::new();
        }
        // The sender no longer owns the jobs; further batches from it must be refused.
        self.term = owner_term;
        self.next_number = u64::MAX;
        let jobs = std::mem::take(&mut self.jobs);
        jobs.into_iter().map(|(job, items)| (job, items.into_values().collect())).collect()
    }

    fn drop_item(&mut self, job: &JobId, item: &Arc<str>) {
        let Some(items) = self.jobs.get_mut(job) else { return };
        items.swap_remove(item);
        if items.is_empty() {
            self.jobs.swap_remove(job);
        }
    }
}

fn add_copy(held: &mut IndexMap<Arc<str>, ItemProgress>, copy: ItemCopy) {
    let before = held.get_mut(&copy.progress.item).filter(|_| copy.appends);
    match before {
        Some(before) => {
            let text = std::mem::take(&mut before.text) + &copy.progress.text;
            *before = ItemProgress { text, ..copy.progress };
        }
        None if copy.appends => {}
        None => {
            held.insert(copy.progress.item.clone(), copy.progress);
        }
    }
}
