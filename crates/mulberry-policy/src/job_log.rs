//! The state of one batch job at its owner: items, their progress, and the list of results.

use std::sync::Arc;

use indexmap::IndexMap;

use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::batch_job::ItemResult;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::MAX_SEGMENT_BYTES;
use mulberry_protocol::batch_job::ResultState;
use mulberry_protocol::batch_job::Segment;
use mulberry_protocol::time::Millis;

use crate::run_outcome::ItemVerdict;
use crate::run_outcome::RunFailures;
use crate::run_outcome::RunOutcome;

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemPhase {
    /// It may run from this time on.
    Waiting(Millis),
    /// It runs.
    Running,
    /// It has ended; its result is not listed yet.
    Ended,
    /// Its result is listed.
    Listed,
}

/// Output that an item's runs have made so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    /// Data of the events, one a line.
    pub text: String,
    /// Events so far.
    pub events: u32,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// Rises when the output is replaced by that of other runs, instead of being added to.
    pub chain: u64,
}

/// Output of an item that is not listed, as it is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ItemOutput<'a> {
    /// Name of the item.
    pub item: &'a Arc<str>,
    /// Data of the events so far, one a line.
    pub text: &'a str,
    /// Events so far.
    pub events: u32,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// Rises when the output is replaced instead of being added to.
    pub chain: u64,
    /// How the item ended, if it has.
    pub ended: Option<ResultState>,
}

impl ItemOutput<'_> {
    /// Makes an owned copy for another process.
    pub fn to_progress(&self) -> ItemProgress {
        ItemProgress {
            item: self.item.clone(),
            text: self.text.to_owned(),
            events: self.events,
            last_event: self.last_event,
            ended: self.ended,
        }
    }
}

impl Progress {
    /// Adds an event. Those already held are ignored.
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
}

/// One item with its state.
#[derive(Debug)]
pub struct ItemState {
    /// The item.
    pub item: Arc<JobItem>,
    /// Where it stands.
    pub phase: ItemPhase,
    /// Output so far.
    pub progress: Progress,
    ends: RunFailures,
}

/// One job at its owner.
#[derive(Debug)]
pub struct JobLog {
    /// Route that took the job.
    pub route: Arc<str>,
    /// Host that the submission named.
    pub host: Arc<str>,
    /// When its results are due.
    pub due_at: Millis,
    /// When this owner learned of it.
    pub known_since: Millis,
    items: Vec<ItemState>,
    by_id: IndexMap<Arc<str>, usize>,
    listed: Vec<ItemResult>,
    pending: Vec<ItemResult>,
    next_segment: u32,
    /// Results in the segment that is being written, or none if none is.
    writing: Option<Writing>,
    /// Whether the caller has asked to end the job.
    ending: bool,
    ended: bool,
}

#[derive(Debug, Clone, Copy)]
struct Writing {
    results: usize,
    ends: bool,
}

/// Where and when a job was accepted.
#[derive(Debug, Clone)]
pub struct JobOrigin {
    /// Route that took the job.
    pub route: Arc<str>,
    /// Host that the submission named.
    pub host: Arc<str>,
    /// When its results are due.
    pub due_at: Millis,
    /// Now.
    pub now: Millis,
}

impl JobLog {
    /// Makes a job without results.
    pub fn new(origin: JobOrigin, items: Vec<JobItem>) -> Self {
        let by_id = items.iter().enumerate().map(|(i, item)| (item.id.clone(), i)).collect();
        let items = items
            .into_iter()
            .map(|item| ItemState {
                item: Arc::new(item),
                phase: ItemPhase::Waiting(Millis(0)),
                progress: Progress::default(),
                ends: RunFailures::default(),
            })
            .collect();
        Self {
            route: origin.route,
            host: origin.host,
            due_at: origin.due_at,
            known_since: origin.now,
            items,
            by_id,
            listed: Vec::new(),
            pending: Vec::new(),
            next_segment: 0,
            writing: None,
            ending: false,
            ended: false,
        }
    }

    /// Returns the items in the order of the submission.
    pub fn items(&self) -> &[ItemState] {
        &self.items
    }

    /// Returns an item to change.
    pub fn item_mut(&mut self, index: usize) -> Option<&mut ItemState> {
        self.items.get_mut(index)
    }

    /// Finds an item that is not listed.
    pub fn find_unlisted(&self, id: &str) -> Option<&JobItem> {
        let state = &self.items[*self.by_id.get(id)?];
        (state.phase != ItemPhase::Listed).then_some(&*state.item)
    }

    /// Returns the listed results.
    pub fn listed(&self) -> &[ItemResult] {
        &self.listed
    }

    /// Tells whether the caller has ended the job.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Tells whether nothing is left to do.
    pub fn is_settled(&self) -> bool {
        self.ended || self.listed.len() == self.items.len()
    }

    /// Asks to end the job. It has ended once the next segment is written.
    pub fn request_end(&mut self) {
        self.ending = true;
    }

    /// Tells whether the job is to end and has not.
    pub fn is_ending(&self) -> bool {
        self.ending && !self.ended
    }

    /// Counts the tokens of the items that wait or run.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let open = |s: &&ItemState| matches!(s.phase, ItemPhase::Waiting(_) | ItemPhase::Running);
        self.items.iter().filter(open).map(|s| s.item.tokens).sum()
    }

    /// Notes the end of an item's run.
    pub fn note_run_outcome(
        &mut self,
        index: usize,
        end: RunOutcome,
        progressed: bool,
        max_failed: u32,
        now: Millis,
    ) -> ItemVerdict {
        let Some(state) = self.items.get_mut(index) else { return ItemVerdict::Again(0) };
        let verdict = state.ends.note(end, progressed, max_failed);
        if state.phase != ItemPhase::Running {
            return verdict;
        }
        let result = match verdict {
            ItemVerdict::Again(wait_ms) => {
                state.phase = ItemPhase::Waiting(now + wait_ms);
                return verdict;
            }
            ItemVerdict::List => (ResultState::Completed, std::mem::take(&mut state.progress.text)),
            ItemVerdict::GiveUp => (ResultState::GivenUp, String::new()),
        };
        state.phase = ItemPhase::Ended;
        self.pending.push(ItemResult {
            item: state.item.id.clone(),
            state: result.0,
            text: Arc::from(result.1),
        });
        verdict
    }

    /// Takes results to write: the number of the segment and its content. None while one is being
    /// written, or if there is nothing to write.
    pub fn begin_segment(&mut self) -> Option<(u32, Segment)> {
        let ends = self.is_ending();
        if self.writing.is_some() || self.pending.is_empty() && !ends {
            return None;
        }
        let mut bytes = 0;
        let fits = |r: &&ItemResult| {
            bytes += r.text.len() + r.item.len();
            bytes <= MAX_SEGMENT_BYTES
        };
        let count = self.pending.iter().take_while(fits).count().max(1).min(self.pending.len());
        self.writing = Some(Writing { results: count, ends });
        Some((self.next_segment, Segment { results: self.pending[..count].to_vec(), ends }))
    }

    /// Notes that the segment was written.
    pub fn commit_segment(&mut self) {
        let Some(writing) = self.writing.take() else { return };
        let results: Vec<ItemResult> = self.pending.drain(..writing.results).collect();
        self.ended |= writing.ends;
        self.adopt(results);
    }

    /// Notes that the segment was not written; it is written again later.
    pub fn abandon_segment(&mut self) {
        self.writing = None;
    }

    /// Takes the next segment as the store holds it, written by another owner or an earlier one.
    pub fn adopt_segment(&mut self, segment: Segment) {
        self.writing = None;
        self.ended |= segment.ends;
        self.pending.retain(|p| !segment.results.iter().any(|r| r.item == p.item));
        self.adopt(segment.results);
    }

    /// Lists what was made of items that are not listed.
    pub fn unlisted_outputs(&self) -> impl Iterator<Item = ItemOutput<'_>> {
        let ended = self.pending.iter().map(|r| ItemOutput {
            item: &r.item,
            text: &r.text,
            events: 0,
            last_event: None,
            chain: 0,
            ended: Some(r.state),
        });
        let begun = self.items.iter().filter(|s| s.progress.events > 0);
        let open = |s: &&ItemState| matches!(s.phase, ItemPhase::Waiting(_) | ItemPhase::Running);
        let begun = begun.filter(open).map(|s| ItemOutput {
            item: &s.item.id,
            text: &s.progress.text,
            events: s.progress.events,
            last_event: s.progress.last_event,
            chain: s.progress.chain,
            ended: None,
        });
        ended.chain(begun)
    }

    /// Takes what an earlier owner made of an item, if it is more than what there is. Returns the
    /// item's index if a run of it is to be stopped.
    pub fn import_progress(&mut self, told: ItemProgress, now: Millis) -> Option<usize> {
        let index = *self.by_id.get(&told.item)?;
        let state = &mut self.items[index];
        let was_running = state.phase == ItemPhase::Running;
        let is_open = was_running || matches!(state.phase, ItemPhase::Waiting(_));
        let is_more = told.ended.is_some() || told.last_event > state.progress.last_event;
        if !is_open || !is_more {
            return None;
        }
        if let Some(ended) = told.ended {
            state.phase = ItemPhase::Ended;
            state.progress = Progress::default();
            let text = Arc::from(told.text);
            self.pending.push(ItemResult { item: told.item, state: ended, text });
        } else {
            state.phase = ItemPhase::Waiting(now);
            state.progress = Progress {
                text: told.text,
                events: told.events,
                last_event: told.last_event,
                chain: state.progress.chain + 1,
            };
        }
        was_running.then_some(index)
    }

    /// Returns the number of the next segment.
    pub fn next_segment(&self) -> u32 {
        self.next_segment
    }

    fn adopt(&mut self, results: Vec<ItemResult>) {
        for result in &results {
            if let Some(index) = self.by_id.get(&result.item) {
                let state = &mut self.items[*index];
                state.phase = ItemPhase::Listed;
                state.progress = Progress::default();
            }
        }
        self.listed.extend(results);
        self.next_segment += 1;
    }
}
