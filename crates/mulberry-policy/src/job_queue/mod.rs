//! Orders the items of an owner's jobs, tracks them through sides, and commits whole chunks.

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
use self::chunks::count_open;
use self::chunks::end_job;
use self::chunks::failed_outcome;
use self::chunks::has_item;
use self::chunks::may_run_again;
use self::chunks::next_missing;
use self::chunks::request_id;
use self::chunks::seal_chunks;
use self::chunks::take_item;
use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// Runs of one item that may fail before it ends as failed.
pub const MAX_ITEM_ATTEMPTS: u8 = 4;

/// Items in opened chunks, per service, up to which further chunks are opened.
const OPEN_ITEMS_TARGET: usize = 512;

/// Wait before an item that failed is handed out again, in milliseconds.
const RETRY_WAIT_MS: u64 = 200;

/// One item's place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// Index in the input.
    pub index: u32,
}

/// What a puller can run.
#[derive(Debug, Clone)]
pub struct PullRequest<'a> {
    /// The puller's service.
    pub service: &'a ServiceName,
    /// Models it holds; ignored for plain services.
    pub models: &'a [ModelName],
    /// Most items wanted.
    pub max_items: usize,
}

/// A call to make for a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobAction {
    /// Read the chunk's lines and, if items may run only once, claim it; then call
    /// [`JobQueue::note_chunk_opened`].
    OpenChunk {
        /// The job.
        job: JobId,
        /// The chunk.
        chunk: u32,
    },
    /// Create the chunk object if it is absent; then call [`JobQueue::note_chunk_committed`].
    CommitChunk {
        /// The job.
        job: JobId,
        /// The chunk.
        chunk: u32,
        /// Outcomes in input order.
        outcomes: Vec<ItemOutcome>,
        /// Whether the cancel sealed it.
        sealed_by_cancel: bool,
    },
    /// Write the job's final state; then call [`JobQueue::remove`].
    EndJob {
        /// The job.
        job: JobId,
    },
}

#[derive(Debug, Clone)]
enum Chunk {
    Missing,
    Opening,
    Open(OpenChunk),
    Committing,
    Committed,
}

#[derive(Debug, Clone)]
struct OpenChunk {
    custom_ids: Vec<String>,
    pending: VecDeque<u32>,
    waiting: Vec<(Millis, u32)>,
    tries: IndexMap<u32, u8>,
    running: u32,
    outcomes: Vec<Option<ItemOutcome>>,
}

#[derive(Debug, Clone)]
struct Progress {
    job: Job,
    chunks: Vec<Chunk>,
    next_missing: u32,
    committed: u32,
    cancelling: bool,
    end_requested: bool,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    served: f64,
    weight: f64,
}

/// The jobs of the shards that one entry holds.
#[derive(Debug, Clone, Default)]
pub struct JobQueue {
    jobs: IndexMap<JobId, Progress>,
    shares: IndexMap<ClientName, Share>,
}

impl JobQueue {
    /// Adds a job with the chunks that are committed already.
    pub fn add(&mut self, job: Job, committed: &[u32]) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let mut chunks = vec![Chunk::Missing; job.chunks() as usize];
        for &chunk in committed {
            if let Some(state) = chunks.get_mut(chunk as usize) {
                *state = Chunk::Committed;
            }
        }
        let count = chunks.iter().filter(|c| matches!(c, Chunk::Committed)).count() as u32;
        let cancelling = job.state == JobState::Cancelling;
        let progress = Progress {
            chunks,
            next_missing: 0,
            committed: count,
            cancelling,
            end_requested: false,
            job,
        };
        self.jobs.insert(progress.job.id.clone(), progress);
    }

    /// Sets the share of batch capacity that a client's jobs get relative to others.
    pub fn set_weight(&mut self, client: &ClientName, weight: u32) {
        let start = self.least_served();
        let share =
            self.shares.entry(client.clone()).or_insert(Share { served: start, weight: 1.0 });
        share.weight = f64::from(weight.max(1));
    }

    /// Removes a job that ended or whose shard was lost.
    pub fn remove(&mut self, job: &JobId) -> bool {
        self.jobs.shift_remove(job).is_some()
    }

    /// Lists the jobs that `lost` selects, for removal with their shard.
    pub fn jobs_where(&self, lost: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        self.jobs.keys().filter(|id| lost(id)).cloned().collect()
    }

    /// Returns a job by its identifier.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id).map(|p| &p.job)
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Tells whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Counts the items of a service that wait, for the backlog in heartbeats.
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

    /// Marks a job as being cancelled. Its items that wait or run end as cancelled.
    pub fn cancel(&mut self, job: &JobId) {
        if is_injected(InjectedFault::IgnoreCancel) {
            return;
        }
        let Some(progress) = self.jobs.get_mut(job) else { return };
        progress.cancelling = true;
        progress.job.state = JobState::Cancelling;
    }

    /// Notes the lines of a chunk. `spent` items may have run under an owner before and must not
    /// run again.
    pub fn note_chunk_opened(
        &mut self,
        job: &JobId,
        chunk: u32,
        custom_ids: Vec<String>,
        spent: bool,
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
            waiting: Vec::new(),
            tries: IndexMap::new(),
            running: 0,
        };
        if spent {
            let refusal = Refusal::unknown(
                RefusalReason::ClaimHeld,
                "an owner before may have run the item, which may run only once",
            );
            for index in open.pending.drain(..) {
                let at = (index - range.start) as usize;
                open.outcomes[at] = Some(failed_outcome(index, &open.custom_ids[at], &refusal));
            }
        }
        *state = Chunk::Open(open);
    }

    /// Notes that a chunk could not be opened now; it is tried again later.
    pub fn note_chunk_not_opened(&mut self, job: &JobId, chunk: u32) {
        let Some(progress) = self.jobs.get_mut(job) else { return };
        if let Some(state @ Chunk::Opening) = progress.chunks.get_mut(chunk as usize) {
            *state = Chunk::Missing;
            progress.next_missing = progress.next_missing.min(chunk);
        }
    }

    /// Takes items for a puller: clients by fair share, then jobs by due time.
    pub fn take(&mut self, offer: &PullRequest<'_>, now: Millis) -> Vec<ItemKey> {
        let mut taken = Vec::new();
        while taken.len() < offer.max_items {
            let Some(id) = self.next_job(offer, now) else { break };
            let Some(progress) = self.jobs.get_mut(&id) else { break };
            let Some(index) = take_item(progress, now) else { break };
            let client = progress.job.client.clone();
            self.charge(&client);
            taken.push(ItemKey { job: id, index });
        }
        taken
    }

    /// Notes how a run of an item ended. Late reports of ended items change nothing.
    pub fn note_item(&mut self, key: &ItemKey, end: Result<ItemEnd, Refusal>, now: Millis) {
        let Some(progress) = self.jobs.get_mut(&key.job) else { return };
        let chunk = key.index / progress.job.chunk_items.max(1);
        let start = progress.job.chunk_range(chunk).start;
        let Some(Chunk::Open(open)) = progress.chunks.get_mut(chunk as usize) else { return };
        let at = (key.index - start) as usize;
        if at >= open.outcomes.len() || open.outcomes[at].is_some() {
            return;
        }
        open.running = open.running.saturating_sub(1);
        match end {
            Ok(end) => {
                let custom_id = open.custom_ids[at].clone();
                let request = request_id(&key.job, key.index);
                open.outcomes[at] = Some(ItemOutcome { index: key.index, custom_id, request, end });
            }
            Err(refusal) => {
                if may_run_again(open, key.index, &refusal, progress.job.idempotent) {
                    open.waiting.push((now + RETRY_WAIT_MS, key.index));
                } else {
                    let outcome = failed_outcome(key.index, &open.custom_ids[at], &refusal);
                    open.outcomes[at] = Some(outcome);
                }
            }
        }
    }

    /// Notes that a chunk object exists, whoever created it.
    pub fn note_chunk_committed(&mut self, job: &JobId, chunk: u32) {
        let Some(progress) = self.jobs.get_mut(job) else { return };
        if let Some(state) = progress.chunks.get_mut(chunk as usize)
            && !matches!(state, Chunk::Committed)
        {
            *state = Chunk::Committed;
            progress.committed += 1;
        }
    }

    /// Notes that the end of a job could not be written; it is requested again.
    pub fn note_end_failed(&mut self, job: &JobId) {
        if let Some(progress) = self.jobs.get_mut(job) {
            progress.end_requested = false;
        }
    }

    /// Returns the calls that are due: chunks to open for `services`, to commit, jobs to end.
    pub fn tick(&mut self) -> Vec<JobAction> {
        let mut actions = Vec::new();
        let mut open_items: IndexMap<ServiceName, usize> = IndexMap::new();
        for progress in self.jobs.values() {
            *open_items.entry(progress.job.service.clone()).or_default() += count_open(progress);
        }
        for progress in self.jobs.values_mut() {
            if progress.cancelling {
                seal_chunks(progress, &mut actions);
            } else {
                commit_chunks(progress, &mut actions);
            }
            end_job(progress, &mut actions);
        }
        self.open_chunks(&mut open_items, &mut actions);
        actions
    }

    /// Opens chunks, one job after another in order of due time, until enough items are at hand.
    fn open_chunks(
        &mut self,
        open_items: &mut IndexMap<ServiceName, usize>,
        actions: &mut Vec<JobAction>,
    ) {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|&i| self.jobs[i].job.due_at_s);
        // Each client gets its earliest job opened before any gets more than it needs.
        for pass in 0..2 {
            let mut seen: Vec<ClientName> = Vec::new();
            for &i in &order {
                let progress = &mut self.jobs[i];
                let first_of_client = !seen.contains(&progress.job.client);
                seen.push(progress.job.client.clone());
                let has_open = count_open(progress) > 0;
                if pass == 0 && (!first_of_client || has_open) {
                    continue;
                }
                let open = open_items.entry(progress.job.service.clone()).or_default();
                while (pass == 0 && first_of_client && count_open(progress) == 0)
                    || (pass == 1 && *open < OPEN_ITEMS_TARGET)
                {
                    let Some(chunk) = next_missing(progress) else { break };
                    progress.chunks[chunk as usize] = Chunk::Opening;
                    *open += progress.job.chunk_range(chunk).len();
                    actions.push(JobAction::OpenChunk { job: progress.job.id.clone(), chunk });
                }
            }
        }
    }

    fn next_job(&self, offer: &PullRequest<'_>, now: Millis) -> Option<JobId> {
        let share_of = |client: &ClientName| self.shares.get(client).map_or(0.0, |s| s.served);
        self.jobs
            .values()
            .filter(|p| p.job.service == *offer.service && !p.cancelling)
            .filter(|p| p.job.model.as_ref().is_none_or(|m| offer.models.contains(m)))
            .filter(|p| has_item(p, now))
            .min_by(|a, b| {
                let by_share = share_of(&a.job.client).total_cmp(&share_of(&b.job.client));
                by_share.then(a.job.due_at_s.cmp(&b.job.due_at_s))
            })
            .map(|p| p.job.id.clone())
    }

    fn charge(&mut self, client: &ClientName) {
        let start = self.least_served();
        let share =
            self.shares.entry(client.clone()).or_insert(Share { served: start, weight: 1.0 });
        // A client that was idle does not save up a claim on the future.
        share.served = share.served.max(start) + 1.0 / share.weight;
    }

    fn least_served(&self) -> f64 {
        let active = |c: &ClientName| self.jobs.values().any(|p| p.job.client == *c);
        let served = self.shares.iter().filter(|(c, _)| active(c)).map(|(_, s)| s.served);
        let least = served.fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }
}
