//! The chunks of one job: which items wait, which are whole, and what is committed.

use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::ItemOutcome;
use mulberry_protocol::name::JobId;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;
use mulberry_protocol::time::Millis;

use super::Chunk;
use super::JobAction;
use super::MAX_ITEM_ATTEMPTS;
use super::OpenChunk;
use super::Progress;
use crate::fault_injection::InjectedFault;
use crate::fault_injection::is_injected;

pub(super) fn count_open(progress: &Progress) -> usize {
    progress
        .chunks
        .iter()
        .map(|c| match c {
            Chunk::Open(open) => open.pending.len() + open.waiting.len(),
            Chunk::Opening => progress.job.chunk_items as usize,
            _ => 0,
        })
        .sum()
}

pub(super) fn next_missing(progress: &mut Progress) -> Option<u32> {
    if progress.cancelling {
        return None;
    }
    while let Some(state) = progress.chunks.get(progress.next_missing as usize) {
        let chunk = progress.next_missing;
        if matches!(state, Chunk::Missing) {
            return Some(chunk);
        }
        progress.next_missing += 1;
    }
    None
}

pub(super) fn has_item(progress: &Progress, now: Millis) -> bool {
    progress.chunks.iter().any(|c| match c {
        Chunk::Open(open) => {
            !open.pending.is_empty() || open.waiting.iter().any(|(at, _)| *at <= now)
        }
        _ => false,
    })
}

pub(super) fn take_item(progress: &mut Progress, now: Millis) -> Option<u32> {
    for chunk in &mut progress.chunks {
        let Chunk::Open(open) = chunk else { continue };
        let ready = open.waiting.iter().position(|(at, _)| *at <= now);
        let index = match ready {
            Some(position) => Some(open.waiting.swap_remove(position).1),
            None => open.pending.pop_front(),
        };
        if index.is_some() {
            open.running += 1;
            return index;
        }
    }
    None
}

/// Decides on another run, and counts the run as a try if the item may have run.
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
        // An owner that was replaced unawares learns of it soon; until then it must end nothing.
        return refusal.may_move() || refusal.reason == RefusalReason::StaleOwner;
    }
    if !idempotent {
        return false;
    }
    let tries = open.tries.entry(index).or_default();
    *tries += 1;
    let repeatable =
        matches!(refusal.reason, RefusalReason::EngineFailed | RefusalReason::LinkFailed);
    repeatable && *tries < MAX_ITEM_ATTEMPTS
}

pub(super) fn commit_chunks(progress: &mut Progress, actions: &mut Vec<JobAction>) {
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

/// Commits every chunk that is not committed yet, with what ended, and the rest as cancelled.
/// Chunks whose lines were never read are opened first, since outcomes name the items.
pub(super) fn seal_chunks(progress: &mut Progress, actions: &mut Vec<JobAction>) {
    let job = progress.job.id.clone();
    for (chunk, state) in (0..).zip(&mut progress.chunks) {
        match state {
            Chunk::Missing => {
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

pub(super) fn end_job(progress: &mut Progress, actions: &mut Vec<JobAction>) {
    let whole = progress.committed as usize == progress.chunks.len();
    if whole && !progress.end_requested {
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
