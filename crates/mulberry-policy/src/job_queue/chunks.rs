//! Operations on the chunks of one job: items to hand out, retries, commits, and sealing on cancel.

use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::ItemOutcome;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::time::Millis;

use super::Chunk;
use super::JobAction;
use super::JobProgress;
use super::MAX_ITEM_ATTEMPTS;
use super::OpenChunk;
use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

/// Returns the number of items that wait in open chunks or are in chunks being opened.
pub(super) fn count_open_items(progress: &JobProgress) -> usize {
    progress
        .chunks
        .iter()
        .map(|c| match c {
            Chunk::Open(open) => open.pending.len() + open.retries.len(),
            Chunk::Opening => progress.job.chunk_items as usize,
            _ => 0,
        })
        .sum()
}

/// Returns the first unopened chunk, or none if all are opened or the job is being cancelled.
pub(super) fn next_unopened(progress: &mut JobProgress) -> Option<u32> {
    if progress.cancelling {
        return None;
    }
    while let Some(state) = progress.chunks.get(progress.next_unopened as usize) {
        let chunk = progress.next_unopened;
        if matches!(state, Chunk::Unopened) {
            return Some(chunk);
        }
        progress.next_unopened += 1;
    }
    None
}

/// Returns whether an item can be handed out now.
pub(super) fn has_ready_item(progress: &JobProgress, now: Millis) -> bool {
    progress.chunks.iter().any(|c| match c {
        Chunk::Open(open) => {
            !open.pending.is_empty() || open.retries.iter().any(|(due_at, _)| *due_at <= now)
        }
        _ => false,
    })
}

/// Removes and returns the next item to hand out, retries first.
pub(super) fn take_ready_item(progress: &mut JobProgress, now: Millis) -> Option<u32> {
    for chunk in &mut progress.chunks {
        let Chunk::Open(open) = chunk else { continue };
        let due_retry = open.retries.iter().position(|(due_at, _)| *due_at <= now);
        let index = match due_retry {
            Some(position) => Some(open.retries.swap_remove(position).1),
            None => open.pending.pop_front(),
        };
        if index.is_some() {
            open.running += 1;
            return index;
        }
    }
    None
}

/// Returns whether a refused item may run again, and counts an attempt if the item may have run.
pub(super) fn may_run_again(
    open: &mut OpenChunk,
    index: u32,
    refusal: &Refusal,
    idempotent: bool,
) -> bool {
    if refusal.reason == RefusalReason::Poison {
        return false;
    }
    if refusal.run == RunState::NotRun {
        // A stale owner soon learns that it was replaced; until then it must not end any item.
        return refusal.may_retry_elsewhere() || refusal.reason == RefusalReason::StaleOwner;
    }
    if !idempotent {
        return false;
    }
    let attempts = open.attempts.entry(index).or_default();
    *attempts += 1;
    let is_retryable =
        matches!(refusal.reason, RefusalReason::EngineFailed | RefusalReason::LinkFailed);
    is_retryable && *attempts < MAX_ITEM_ATTEMPTS
}

/// Commits the chunks whose items have all ended.
pub(super) fn commit_chunks(progress: &mut JobProgress, actions: &mut Vec<JobAction>) {
    for (chunk, state) in (0..).zip(&mut progress.chunks) {
        let Chunk::Open(open) = state else { continue };
        if open.outcomes.iter().any(Option::is_none) {
            continue;
        }
        if is_injected(InjectedFault::LoseChunk) {
            *state = Chunk::Committed;
            progress.committed += 1;
            continue;
        }
        let outcomes = open.outcomes.drain(..).flatten().collect();
        *state = Chunk::Committing;
        let job = progress.job.id.clone();
        actions.push(JobAction::CommitChunk { job, chunk, outcomes, sealed_by_cancel: false });
    }
}

/// Commits every uncommitted chunk: items that ended keep their outcomes, the others end as
/// cancelled. Chunks whose lines were never read are opened first, since outcomes contain the
/// items' names.
pub(super) fn seal_chunks(progress: &mut JobProgress, actions: &mut Vec<JobAction>) {
    let job = progress.job.id.clone();
    for (chunk, state) in (0..).zip(&mut progress.chunks) {
        match state {
            Chunk::Unopened => {
                *state = Chunk::Opening;
                actions.push(JobAction::OpenChunk { job: job.clone(), chunk });
            }
            Chunk::Open(open) => {
                let outcomes = cancelled_outcomes(open, chunk * progress.job.chunk_items);
                *state = Chunk::Committing;
                let job = job.clone();
                actions.push(JobAction::CommitChunk {
                    job,
                    chunk,
                    outcomes,
                    sealed_by_cancel: true,
                });
            }
            Chunk::Opening | Chunk::Committing | Chunk::Committed => {}
        }
    }
}

/// Returns the outcomes of a chunk of a cancelled job, given the index of its first item.
pub(super) fn cancelled_outcomes(open: &mut OpenChunk, start: u32) -> Vec<ItemOutcome> {
    let stopped = Refusal::unknown(RefusalReason::Cancelled, "the job was cancelled");
    let never_run = Refusal { run: RunState::NotRun, ..stopped.clone() };
    let custom_ids = std::mem::take(&mut open.custom_ids);
    let pending = std::mem::take(&mut open.pending);
    (start..)
        .zip(open.outcomes.drain(..))
        .zip(custom_ids)
        .map(|((index, outcome), id)| {
            let refusal = if pending.contains(&index) { &never_run } else { &stopped };
            outcome.unwrap_or_else(|| failed_outcome(index, &id, refusal))
        })
        .collect()
}

/// Requests the end of a job whose chunks are all committed, unless it was requested already.
pub(super) fn end_if_committed(progress: &mut JobProgress, actions: &mut Vec<JobAction>) {
    let is_committed = progress.committed as usize == progress.chunks.len();
    if is_committed && !progress.end_requested {
        progress.end_requested = true;
        actions.push(JobAction::EndJob { job: progress.job.id.clone() });
    }
}

pub(super) fn failed_outcome(index: u32, custom_id: &str, refusal: &Refusal) -> ItemOutcome {
    let end = ItemEnd::Failed {
        reason: refusal.reason,
        run: refusal.run,
        detail: refusal.detail.clone(),
    };
    let request = format!("req-{index}");
    ItemOutcome { index, custom_id: custom_id.to_owned(), request, end }
}

pub(super) fn request_id(job: &JobId, index: u32) -> String {
    format!("req-{job}-{index}")
}
