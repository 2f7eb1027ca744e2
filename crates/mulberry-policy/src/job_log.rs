//! The state of one batch job at its owner: its items and its results.
//!
//! Results are listed in segments. A segment is written to the store under the next number in the
//! sequence, and its results count as listed only once the store holds it. Segments also hold the
//! unsuccessful runs of items that are not listed, so that the next owner counts on from them.

use std::sync::Arc;

use indexmap::IndexMap;

use mulberry_protocol::batch_job::FailureCounts;
use mulberry_protocol::batch_job::ItemFailures;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::batch_job::ItemResult;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::batch_job::MAX_SEGMENT_BYTES;
use mulberry_protocol::batch_job::ResultState;
use mulberry_protocol::batch_job::Segment;
use mulberry_protocol::job_address::JobAddress;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::time::Millis;

use crate::item_state::ItemOutput;
use crate::item_state::ItemPhase;
use crate::item_state::ItemState;
use crate::item_state::Progress;
use crate::job_origin::JobOrigin;
use crate::run_outcome::ItemDecision;
use crate::run_outcome::RunFailures;
use crate::run_outcome::RunOutcome;

/// One batch job at its owner.
#[derive(Debug)]
pub struct JobLog {
    /// Name that the route had when it took the job, for logs.
    pub route: Arc<str>,
    /// Where the job was submitted, which tells its route now.
    pub address: JobAddress,
    /// Client account that submitted the job, if there is one.
    pub account: Option<ClientName>,
    /// When its results are due.
    pub due_at: Millis,
    /// When this owner accepted or loaded the job.
    pub known_since: Millis,
    items: Vec<ItemState>,
    by_id: IndexMap<Arc<str>, usize>,
    listed: Vec<ItemResult>,
    /// Results of ended items that are not listed yet.
    pending: Vec<ItemResult>,
    next_segment: u32,
    /// The segment that is being written, if any.
    write: Option<SegmentWrite>,
    /// Whether the caller asked to end the job.
    end_requested: bool,
    ended: bool,
}

#[derive(Debug, Clone)]
struct SegmentWrite {
    results: usize,
    ends: bool,
    failures: Vec<ItemFailures>,
}

impl JobLog {
    /// Creates a job without results, all of whose items may run immediately.
    pub fn new(origin: JobOrigin, items: Vec<JobItem>) -> Self {
        let by_id = items.iter().enumerate().map(|(i, item)| (item.id.clone(), i)).collect();
        let items = items
            .into_iter()
            .map(|item| ItemState {
                fingerprint: item.fingerprint(),
                item: Arc::new(item),
                phase: ItemPhase::Waiting(Millis(0)),
                progress: Progress::default(),
                failures: RunFailures::default(),
                stored: FailureCounts::default(),
            })
            .collect();
        Self {
            route: origin.route,
            address: origin.address,
            account: origin.account,
            due_at: origin.due_at,
            known_since: origin.now,
            items,
            by_id,
            listed: Vec::new(),
            pending: Vec::new(),
            next_segment: 0,
            write: None,
            end_requested: false,
            ended: false,
        }
    }

    /// Returns the items in the order of submission.
    pub fn items(&self) -> &[ItemState] {
        &self.items
    }

    /// Returns the item with this index in the submission, for modification.
    pub fn item_mut(&mut self, index: usize) -> Option<&mut ItemState> {
        self.items.get_mut(index)
    }

    /// Returns the item with this identifier, unless its result is listed.
    pub fn find_unlisted(&self, id: &str) -> Option<&JobItem> {
        let state = &self.items[*self.by_id.get(id)?];
        (state.phase != ItemPhase::Listed).then_some(&*state.item)
    }

    /// Returns the listed results in the order of listing.
    pub fn listed(&self) -> &[ItemResult] {
        &self.listed
    }

    /// Returns whether the caller's request to end the job is stored.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether the job has ended or the results of all items are listed.
    pub fn is_settled(&self) -> bool {
        self.ended || self.listed.len() == self.items.len()
    }

    /// Requests the end of the job, which takes effect once the next segment is written.
    pub fn request_end(&mut self) {
        self.end_requested = true;
    }

    /// Returns whether an end was requested and is not stored yet.
    pub fn is_ending(&self) -> bool {
        self.end_requested && !self.ended
    }

    /// Returns the number of tokens of the items that wait or run.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        self.items.iter().filter(|s| s.is_open()).map(|s| s.item.tokens).sum()
    }

    /// Records the outcome of an item's run, and queues its result if the item has ended.
    pub fn record_run_outcome(
        &mut self,
        index: usize,
        outcome: RunOutcome,
        progressed: bool,
        max_failed: u32,
        now: Millis,
    ) -> ItemDecision {
        let Some(state) = self.items.get_mut(index) else { return ItemDecision::Again(0) };
        let decision = state.failures.record(outcome, progressed, max_failed);
        if state.phase != ItemPhase::Running {
            return decision;
        }
        let result = match decision {
            ItemDecision::Again(delay_ms) => {
                state.phase = ItemPhase::Waiting(now + delay_ms);
                return decision;
            }
            ItemDecision::List => {
                (ResultState::Completed, std::mem::take(&mut state.progress.text))
            }
            ItemDecision::GiveUp => (ResultState::GivenUp, String::new()),
        };
        state.phase = ItemPhase::Ended;
        self.pending.push(ItemResult {
            item: state.item.id.clone(),
            state: result.0,
            text: Arc::from(result.1),
        });
        decision
    }

    /// Gives up an item that waits, and queues its result. Returns the item, or none if it does not
    /// wait.
    pub fn give_up(&mut self, index: usize) -> Option<Arc<JobItem>> {
        let state = self.items.get_mut(index)?;
        if !matches!(state.phase, ItemPhase::Waiting(_)) {
            return None;
        }
        state.phase = ItemPhase::Ended;
        state.progress = Progress::default();
        let item = state.item.clone();
        let result =
            ItemResult { item: item.id.clone(), state: ResultState::GivenUp, text: Arc::from("") };
        self.pending.push(result);
        Some(item)
    }

    /// Gives up all items that wait, and queues their results. Returns their number.
    pub fn give_up_waiting(&mut self) -> usize {
        (0..self.items.len()).filter(|index| self.give_up(*index).is_some()).count()
    }

    /// Returns the number and the content of the next segment to write, or none if a write is in
    /// progress or there is nothing to write.
    pub fn begin_segment(&mut self) -> Option<(u32, Segment)> {
        let ends = self.is_ending();
        let failures = self.unstored_failures();
        let is_empty = self.pending.is_empty() && failures.is_empty() && !ends;
        if self.write.is_some() || is_empty {
            return None;
        }
        let mut bytes = 0;
        let fits = |r: &&ItemResult| {
            bytes += r.text.len() + r.item.len();
            bytes <= MAX_SEGMENT_BYTES
        };
        let count = self.pending.iter().take_while(fits).count().max(1).min(self.pending.len());
        self.write = Some(SegmentWrite { results: count, ends, failures: failures.clone() });
        let results = self.pending[..count].to_vec();
        Some((self.next_segment, Segment { results, ends, failures }))
    }

    /// Returns the unsuccessful runs of open items that the store does not know of.
    fn unstored_failures(&self) -> Vec<ItemFailures> {
        let unstored = self.items.iter().filter(|s| s.is_open() && s.counts() != s.stored);
        let failures = unstored
            .map(|state| ItemFailures { item: state.item.id.clone(), counts: state.counts() });
        failures.collect()
    }

    /// Records what the store knows of unsuccessful runs. `is_adopted` says whether another owner
    /// stored it.
    fn record_stored_failures(&mut self, failures: &[ItemFailures], is_adopted: bool) {
        for stored in failures {
            let Some(index) = self.by_id.get(&stored.item) else { continue };
            let state = &mut self.items[*index];
            state.stored = stored.counts;
            if is_adopted {
                state.failures.failed = state.failures.failed.max(stored.counts.failed);
            }
        }
    }

    /// Records that the segment was written, and lists its results.
    pub fn commit_segment(&mut self) {
        let Some(write) = self.write.take() else { return };
        let results: Vec<ItemResult> = self.pending.drain(..write.results).collect();
        self.ended |= write.ends;
        self.record_stored_failures(&write.failures, false);
        self.list_results(results);
    }

    /// Records that the segment was not written. [`JobLog::begin_segment`] returns its results
    /// again, under the same number.
    pub fn abandon_segment(&mut self) {
        self.write = None;
    }

    /// Lists the next segment as the store holds it, written by another owner or an earlier one.
    /// Its results replace those of this owner for the same items.
    pub fn adopt_segment(&mut self, segment: Segment) {
        self.write = None;
        self.ended |= segment.ends;
        self.record_stored_failures(&segment.failures, true);
        self.pending.retain(|p| !segment.results.iter().any(|r| r.item == p.item));
        self.list_results(segment.results);
    }

    /// Returns the output so far of the items whose results are not listed.
    pub fn unlisted_outputs(&self) -> impl Iterator<Item = ItemOutput<'_>> {
        let ended = self.pending.iter().map(|r| ItemOutput {
            item: &r.item,
            text: &r.text,
            events: 0,
            last_event: None,
            origin: None,
            generation: 0,
            ended: Some(r.state),
        });
        let started = self.items.iter().filter(|s| s.progress.events > 0);
        let partial = started.filter(|s| s.is_open()).map(|s| ItemOutput {
            item: &s.item.id,
            text: &s.progress.text,
            events: s.progress.events,
            last_event: s.progress.last_event,
            origin: s.progress.origin.as_ref(),
            generation: s.progress.generation,
            ended: None,
        });
        ended.chain(partial)
    }

    /// Takes over the output that an earlier owner had of an item, if it is further than the
    /// current one. Returns the item's index if the item was running, since that run must be
    /// stopped.
    pub fn import_progress(&mut self, imported: ItemProgress, now: Millis) -> Option<usize> {
        let index = *self.by_id.get(&imported.item)?;
        let state = &mut self.items[index];
        let was_running = state.phase == ItemPhase::Running;
        let is_open = was_running || matches!(state.phase, ItemPhase::Waiting(_));
        let is_further = imported.ended.is_some()
            || imported.origin.is_some() && imported.last_event > state.progress.last_event;
        if !is_open || !is_further {
            return None;
        }
        if let Some(ended) = imported.ended {
            state.phase = ItemPhase::Ended;
            state.progress = Progress::default();
            let text = Arc::from(imported.text);
            self.pending.push(ItemResult { item: imported.item, state: ended, text });
        } else {
            state.phase = ItemPhase::Waiting(now);
            state.progress = Progress {
                text: imported.text,
                events: imported.events,
                last_event: imported.last_event,
                origin: imported.origin,
                updated_at: now,
                generation: state.progress.generation + 1,
            };
        }
        was_running.then_some(index)
    }

    /// Returns the number of the next segment.
    pub fn next_segment(&self) -> u32 {
        self.next_segment
    }

    fn list_results(&mut self, results: Vec<ItemResult>) {
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
