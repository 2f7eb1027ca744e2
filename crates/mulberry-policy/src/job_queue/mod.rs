//! Queue of an owner's jobs: hands items out to sides, collects outcomes, and commits complete
//! chunks.

mod chunks;

use std::collections::VecDeque;

use indexmap::IndexMap;

use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::ItemOutcome;
use mulberry_protocol::job::Job;
use mulberry_protocol::job::JobState;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::name::ModelName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use self::chunks::commit_chunks;
use self::chunks::count_open_items;
use self::chunks::end_if_committed;
use self::chunks::failed_outcome;
use self::chunks::has_ready_item;
use self::chunks::may_run_again;
use self::chunks::next_unopened;
use self::chunks::request_id;
use self::chunks::seal_chunks;
use self::chunks::take_ready_item;
use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// Number of failed attempts after which an item ends as failed.
pub const MAX_ITEM_ATTEMPTS: u8 = 4;

/// Number of items in open chunks of one service up to which further chunks are opened.
const OPEN_ITEMS_TARGET: usize = 512;

/// Time after which an item that failed or was refused is handed out again, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// Identifies an item by its job and its position in the job's input.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ItemKey {
    /// Job that the item belongs to.
    pub job: JobId,
    /// Index of the item in the job's input, from zero.
    pub index: u32,
}

/// A side's request for items to run.
#[derive(Debug, Clone)]
pub struct PullRequest<'a> {
    /// The service whose items the side runs.
    pub service: &'a ServiceName,
    /// Models that the side's endpoint serves; ignored for jobs without a model.
    pub models: &'a [ModelName],
    /// Most items to hand out.
    pub max_items: usize,
}

/// A call to make for a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobAction {
    /// Read the chunk's input lines and, if items must run at most once, claim the chunk; then call
    /// [`JobQueue::record_chunk_opened`].
    OpenChunk {
        /// Job that the chunk belongs to.
        job: JobId,
        /// Number of the chunk, from zero.
        chunk: u32,
    },
    /// Create the chunk object if it is absent; then call [`JobQueue::record_chunk_committed`].
    CommitChunk {
        /// Job that the chunk belongs to.
        job: JobId,
        /// Number of the chunk, from zero.
        chunk: u32,
        /// Outcomes of the chunk's items in input order.
        outcomes: Vec<ItemOutcome>,
        /// Whether the chunk is committed early because the job was cancelled.
        sealed_by_cancel: bool,
    },
    /// Write the job's final state; then call [`JobQueue::remove`].
    EndJob {
        /// Job whose chunks are all committed.
        job: JobId,
    },
}

/// State of one chunk, from unopened to committed.
#[derive(Debug, Clone)]
enum Chunk {
    Unopened,
    Opening,
    Open(OpenChunk),
    Committing,
    Committed,
}

#[derive(Debug, Clone)]
struct OpenChunk {
    custom_ids: Vec<String>,
    pending: VecDeque<u32>,
    /// Items to run again, each with the time from which it may run.
    retries: Vec<(Millis, u32)>,
    attempts: IndexMap<u32, u8>,
    running: u32,
    outcomes: Vec<Option<ItemOutcome>>,
}

#[derive(Debug, Clone)]
struct JobProgress {
    job: Job,
    chunks: Vec<Chunk>,
    /// No chunk before this one is unopened.
    next_unopened: u32,
    committed: u32,
    cancelling: bool,
    end_requested: bool,
}

#[derive(Debug, Clone, Copy)]
struct ClientShare {
    /// Number of items handed out, divided by the weight.
    served: f64,
    weight: f64,
}

/// The jobs of the shards that one entry owns.
#[derive(Debug, Clone, Default)]
pub struct JobQueue {
    jobs: IndexMap<JobId, JobProgress>,
    shares: IndexMap<ClientName, ClientShare>,
}

impl JobQueue {
    /// Adds a job, given the chunks that are committed already. Ignores a job that is present.
    pub fn add(&mut self, job: Job, committed: &[u32]) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let mut chunks = vec![Chunk::Unopened; job.chunks() as usize];
        for &chunk in committed {
            if let Some(state) = chunks.get_mut(chunk as usize) {
                *state = Chunk::Committed;
            }
        }
        let count = chunks.iter().filter(|c| matches!(c, Chunk::Committed)).count() as u32;
        let cancelling = job.state == JobState::Cancelling;
        let progress = JobProgress {
            chunks,
            next_unopened: 0,
            committed: count,
            cancelling,
            end_requested: false,
            job,
        };
        self.jobs.insert(progress.job.id.clone(), progress);
    }

    /// Sets the weight that determines a client's share of batch capacity relative to other
    /// clients.
    pub fn set_weight(&mut self, client: &ClientName, weight: u32) {
        let start = self.least_served();
        let share =
            self.shares.entry(client.clone()).or_insert(ClientShare { served: start, weight: 1.0 });
        share.weight = f64::from(weight.max(1));
    }

    /// Removes a job that ended or whose shard was lost. Returns whether it was present.
    pub fn remove(&mut self, job: &JobId) -> bool {
        self.jobs.shift_remove(job).is_some()
    }

    /// Returns the jobs that `is_selected` selects, such as those of a lost shard.
    pub fn jobs_where(&self, is_selected: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        self.jobs.keys().filter(|id| is_selected(id)).cloned().collect()
    }

    /// Returns the job with this identifier.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id).map(|p| &p.job)
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of items in the uncommitted chunks of a service, which heartbeats report.
    pub fn backlog(&self, service: &ServiceName) -> u64 {
        self.jobs
            .values()
            .filter(|p| p.job.service == *service && !p.cancelling)
            .map(|p| {
                let left = p.chunks.len() as u64 - u64::from(p.committed);
                left * u64::from(p.job.chunk_items)
            })
            .sum()
    }

    /// Marks a job as being cancelled. Its waiting and running items end as cancelled.
    pub fn cancel(&mut self, job: &JobId) {
        if is_injected(InjectedFault::IgnoreCancel) {
            return;
        }
        let Some(progress) = self.jobs.get_mut(job) else { return };
        progress.cancelling = true;
        progress.job.state = JobState::Cancelling;
    }

    /// Records the input lines of a chunk. If `may_have_run`, a previous owner may have run its
    /// items, which must not run again.
    pub fn record_chunk_opened(
        &mut self,
        job: &JobId,
        chunk: u32,
        custom_ids: Vec<String>,
        may_have_run: bool,
    ) {
        let Some(progress) = self.jobs.get_mut(job) else { return };
        let range = progress.job.chunk_range(chunk);
        let Some(state) = progress.chunks.get_mut(chunk as usize) else { return };
        if !matches!(state, Chunk::Opening) {
            return;
        }
        let mut open = OpenChunk {
            outcomes: vec![None; custom_ids.len()],
            custom_ids,
            pending: range.clone().collect(),
            retries: Vec::new(),
            attempts: IndexMap::new(),
            running: 0,
        };
        if may_have_run {
            let refusal = Refusal::unknown(
                RefusalReason::ClaimHeld,
                "an owner before may have run the item, which may run only once",
            );
            for index in open.pending.drain(..) {
                let position = (index - range.start) as usize;
                open.outcomes[position] =
                    Some(failed_outcome(index, &open.custom_ids[position], &refusal));
            }
        }
        *state = Chunk::Open(open);
    }

    /// Records that a chunk could not be opened, so that opening it is tried again later.
    pub fn record_chunk_not_opened(&mut self, job: &JobId, chunk: u32) {
        let Some(progress) = self.jobs.get_mut(job) else { return };
        if let Some(state @ Chunk::Opening) = progress.chunks.get_mut(chunk as usize) {
            *state = Chunk::Unopened;
            progress.next_unopened = progress.next_unopened.min(chunk);
        }
    }

    /// Returns items for a side to run: those of the client furthest below its fair share first,
    /// and of its jobs the one that is due first.
    pub fn take(&mut self, pull: &PullRequest<'_>, now: Millis) -> Vec<ItemKey> {
        let mut taken = Vec::new();
        while taken.len() < pull.max_items {
            let Some(id) = self.next_job(pull, now) else { break };
            let Some(progress) = self.jobs.get_mut(&id) else { break };
            let Some(index) = take_ready_item(progress, now) else { break };
            let client = progress.job.client.clone();
            self.charge(&client);
            taken.push(ItemKey { job: id, index });
        }
        taken
    }

    /// Records how a run of an item ended. Ignores late reports on items that have ended already.
    pub fn record_item_end(&mut self, key: &ItemKey, end: Result<ItemEnd, Refusal>, now: Millis) {
        let Some(progress) = self.jobs.get_mut(&key.job) else { return };
        let chunk = key.index / progress.job.chunk_items.max(1);
        let start = progress.job.chunk_range(chunk).start;
        let Some(Chunk::Open(open)) = progress.chunks.get_mut(chunk as usize) else { return };
        let position = (key.index - start) as usize;
        if position >= open.outcomes.len() || open.outcomes[position].is_some() {
            return;
        }
        open.running = open.running.saturating_sub(1);
        match end {
            Ok(end) => {
                let custom_id = open.custom_ids[position].clone();
                let request = request_id(&key.job, key.index);
                open.outcomes[position] =
                    Some(ItemOutcome { index: key.index, custom_id, request, end });
            }
            Err(refusal) => {
                if may_run_again(open, key.index, &refusal, progress.job.idempotent) {
                    open.retries.push((now + RETRY_DELAY_MS, key.index));
                } else {
                    let outcome = failed_outcome(key.index, &open.custom_ids[position], &refusal);
                    open.outcomes[position] = Some(outcome);
                }
            }
        }
    }

    /// Records that a chunk object exists, whether this owner or another one created it.
    pub fn record_chunk_committed(&mut self, job: &JobId, chunk: u32) {
        let Some(progress) = self.jobs.get_mut(job) else { return };
        if let Some(state) = progress.chunks.get_mut(chunk as usize)
            && !matches!(state, Chunk::Committed)
        {
            *state = Chunk::Committed;
            progress.committed += 1;
        }
    }

    /// Records that a job's final state could not be written, so that it is requested again.
    pub fn record_end_failed(&mut self, job: &JobId) {
        if let Some(progress) = self.jobs.get_mut(job) {
            progress.end_requested = false;
        }
    }

    /// Returns the calls that are due: chunks to open, chunks to commit, and jobs to end.
    pub fn tick(&mut self) -> Vec<JobAction> {
        let mut actions = Vec::new();
        let mut open_items: IndexMap<ServiceName, usize> = IndexMap::new();
        for progress in self.jobs.values() {
            *open_items.entry(progress.job.service.clone()).or_default() +=
                count_open_items(progress);
        }
        for progress in self.jobs.values_mut() {
            if progress.cancelling {
                seal_chunks(progress, &mut actions);
            } else {
                commit_chunks(progress, &mut actions);
            }
            end_if_committed(progress, &mut actions);
        }
        self.open_chunks(&mut open_items, &mut actions);
        actions
    }

    /// Opens chunks of jobs in order of due time, until enough items are open for each service.
    fn open_chunks(
        &mut self,
        open_items: &mut IndexMap<ServiceName, usize>,
        actions: &mut Vec<JobAction>,
    ) {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|&i| self.jobs[i].job.due_at_s);
        // The first pass opens one chunk of each client's earliest job. Only the second fills up to
        // the target, so that no client's jobs keep the chunks of another from being opened.
        for pass in 0..2 {
            let mut seen: Vec<ClientName> = Vec::new();
            for &i in &order {
                let progress = &mut self.jobs[i];
                let first_of_client = !seen.contains(&progress.job.client);
                seen.push(progress.job.client.clone());
                let has_open = count_open_items(progress) > 0;
                if pass == 0 && (!first_of_client || has_open) {
                    continue;
                }
                let open = open_items.entry(progress.job.service.clone()).or_default();
                while (pass == 0 && first_of_client && count_open_items(progress) == 0)
                    || (pass == 1 && *open < OPEN_ITEMS_TARGET)
                {
                    let Some(chunk) = next_unopened(progress) else { break };
                    progress.chunks[chunk as usize] = Chunk::Opening;
                    *open += progress.job.chunk_range(chunk).len();
                    actions.push(JobAction::OpenChunk { job: progress.job.id.clone(), chunk });
                }
            }
        }
    }

    fn next_job(&self, pull: &PullRequest<'_>, now: Millis) -> Option<JobId> {
        let share_of = |client: &ClientName| self.shares.get(client).map_or(0.0, |s| s.served);
        self.jobs
            .values()
            .filter(|p| p.job.service == *pull.service && !p.cancelling)
            .filter(|p| p.job.model.as_ref().is_none_or(|m| pull.models.contains(m)))
            .filter(|p| has_ready_item(p, now))
            .min_by(|a, b| {
                let by_share = share_of(&a.job.client).total_cmp(&share_of(&b.job.client));
                by_share.then(a.job.due_at_s.cmp(&b.job.due_at_s))
            })
            .map(|p| p.job.id.clone())
    }

    /// Counts one item as served to a client.
    fn charge(&mut self, client: &ClientName) {
        let start = self.least_served();
        let share =
            self.shares.entry(client.clone()).or_insert(ClientShare { served: start, weight: 1.0 });
        // An idle client starts from the least served active one and accumulates no credit.
        share.served = share.served.max(start) + 1.0 / share.weight;
    }

    /// Returns the least weighted service among the clients with jobs, or zero if there is none.
    fn least_served(&self) -> f64 {
        let active = |c: &ClientName| self.jobs.values().any(|p| p.job.client == *c);
        let served = self.shares.iter().filter(|(c, _)| active(c)).map(|(_, s)| s.served);
        let least = served.fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }
}
