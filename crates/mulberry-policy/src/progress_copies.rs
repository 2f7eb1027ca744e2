//! Copies of what items have made so far, kept at a process that stands by.
//!
//! Output that is not listed yet lives in the memory of the owner. If the owner is lost, the items of
//! which a copy is kept go on from it instead of from their start. Copies only save work: one that is
//! missing or old costs time and breaks nothing.

use std::sync::Arc;

use indexmap::IndexMap;

use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::batch_job::ItemCopy;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::name::JobId;

use crate::job_log::ItemOutput;

/// Most bytes of output in one batch. What is over follows with the next.
pub const MAX_COPY_BYTES: usize = 300_000;

/// What the receiver holds of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    chain: u64,
    bytes: usize,
    is_ended: bool,
}

/// The owner's side: works out what the receiver lacks.
#[derive(Debug, Default)]
pub struct CopySender {
    held: IndexMap<(JobId, Arc<str>), Held>,
    number: u64,
}

impl CopySender {
    /// Forgets what the receiver holds, so that the next batch begins anew.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Makes the next batch from all output that is not listed, none if the receiver lacks nothing. It
    /// counts as received; the caller resets the sender if it was not.
    pub fn next_batch<'a>(
        &mut self,
        term: u64,
        outputs: impl Iterator<Item = (&'a JobId, ItemOutput<'a>)>,
    ) -> Option<CopyBatch> {
        let mut items: IndexMap<JobId, Vec<ItemCopy>> = IndexMap::new();
        let mut seen: IndexMap<(JobId, Arc<str>), Held> = IndexMap::new();
        let mut bytes = 0;
        for (job, output) in outputs {
            let key = (job.clone(), output.item.clone());
            let before = self.held.swap_remove(&key);
            if bytes >= MAX_COPY_BYTES {
                seen.extend(before.map(|held| (key, held)));
                continue;
            }
            let held = Held {
                chain: output.chain,
                bytes: output.text.len(),
                is_ended: output.ended.is_some(),
            };
            if before != Some(held) {
                let copy = copy_of(&output, before);
                bytes += copy.progress.text.len();
                items.entry(job.clone()).or_default().push(copy);
            }
            seen.insert(key, held);
        }
        let dropped: Vec<_> = std::mem::replace(&mut self.held, seen).into_keys().collect();
        if items.is_empty() && dropped.is_empty() {
            return None;
        }
        let number = self.number;
        self.number += 1;
        Some(CopyBatch { term, number, items: items.into_iter().collect(), dropped })
    }
}

/// Makes what the receiver lacks of an item: the end of the text, or all of it if what it holds is of
/// another chain of runs.
fn copy_of(output: &ItemOutput<'_>, before: Option<Held>) -> ItemCopy {
    let goes_on = before
        .filter(|h| h.chain == output.chain && !h.is_ended && output.ended.is_none())
        .map(|h| h.bytes);
    let part = goes_on.and_then(|from| output.text.get(from..));
    let mut progress = output.to_progress();
    if let Some(part) = part {
        progress.text = part.to_owned();
    }
    ItemCopy { goes_on: part.is_some(), progress }
}

/// The side of the process that stands by.
#[derive(Debug, Default)]
pub struct ProgressCopies {
    term: u64,
    next: u64,
    jobs: IndexMap<JobId, IndexMap<Arc<str>, ItemProgress>>,
}

impl ProgressCopies {
    /// Takes a batch. Returns false if it does not follow the one before: the sender has to begin anew.
    pub fn apply(&mut self, batch: CopyBatch) -> bool {
        let begins = batch.number == 0 && batch.term >= self.term;
        let follows = batch.term == self.term && batch.number == self.next;
        if !begins && !follows {
            return false;
        }
        if begins {
            self.jobs.clear();
        }
        self.term = batch.term;
        self.next = batch.number + 1;
        for (job, item) in batch.dropped {
            self.drop_item(&job, &item);
        }
        for (job, copies) in batch.items {
            let held = self.jobs.entry(job).or_default();
            copies.into_iter().for_each(|copy| add_copy(held, copy));
        }
        true
    }

    /// Hands out everything once an owner of a later term than the sender's is known.
    pub fn drain_for_successor(&mut self, owner_term: u64) -> Vec<(JobId, Vec<ItemProgress>)> {
        if owner_term <= self.term {
            return Vec::new();
        }
        // The sender is no longer the owner; whatever it still sends is refused.
        self.term = owner_term;
        self.next = u64::MAX;
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
    let before = held.get_mut(&copy.progress.item).filter(|_| copy.goes_on);
    match before {
        Some(before) => {
            let text = std::mem::take(&mut before.text) + &copy.progress.text;
            *before = ItemProgress { text, ..copy.progress };
        }
        None if copy.goes_on => {}
        None => {
            held.insert(copy.progress.item.clone(), copy.progress);
        }
    }
}
