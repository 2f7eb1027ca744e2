//! Keeps a copy of the work on open items at a process that stands by, so that it outlives the owner.

use std::rc::Rc;
use std::time::Duration;

use mulberry_policy::progress_copies::CopySender;
use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::time::Millis;

use crate::job_calls::JobCall;
use crate::job_calls::JobClient;
use crate::job_calls::JobReply;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::accept::not_owner;
use crate::owner::pass_on::pass_on;
use crate::peers::find_standby;

/// Time between copies, in milliseconds.
const COPY_MS: u64 = 500;

/// Longest wait for the process that stands by.
const COPY_LIMIT: Duration = Duration::from_millis(1_000);

/// Copies what items have made so far, until the process stops.
pub(crate) async fn copy_progress(owner: Rc<Owner>) {
    let client = JobClient::new(owner.fleet.clone());
    let mut sender = CopySender::default();
    let mut receiver = None;
    loop {
        tokio::time::sleep(Duration::from_millis(COPY_MS)).await;
        let (serving, generation) = {
            let state = owner.state.borrow();
            (state.serving, state.generation)
        };
        let standby = find_standby(&owner.fleet).filter(|_| serving);
        let next = standby.map(|address| (address, generation));
        if next != receiver {
            sender.reset();
            receiver = next;
            log_event!(info, Event::ProgressCopyStarted, standby = ?standby);
        }
        let Some(address) = standby else { continue };
        let Some(batch) = next_batch(&owner, &mut sender) else { continue };
        let reply = client.call_at(address, &JobCall::KeepCopies(batch), COPY_LIMIT).await;
        if reply == Some(JobReply::Taken) {
            owner.fleet.metrics.count("direct.progress_copied");
        } else {
            owner.fleet.metrics.count("direct.progress_not_copied");
            sender.reset();
        }
    }
}

fn next_batch(owner: &Owner, sender: &mut CopySender) -> Option<CopyBatch> {
    let state = owner.state.borrow();
    let outputs = state.open_jobs();
    let outputs =
        outputs.flat_map(|(job, log)| log.unlisted_outputs().map(move |output| (job, output)));
    sender.next_batch(state.lease.term(), outputs)
}

/// Keeps what an owner sends, unless this process owns the jobs itself.
pub(crate) fn keep_copies(owner: &Owner, batch: CopyBatch) -> JobReply {
    let mut state = owner.state.borrow_mut();
    if state.lease.is_held() || !state.copies.apply(batch) {
        return JobReply::Refused(not_owner());
    }
    JobReply::Taken
}

/// Passes what is kept here to the owner that follows the one that sent it.
pub(crate) fn pass_copies_on(owner: &Rc<Owner>, term: u64) {
    let copies = owner.state.borrow_mut().copies.drain_for_successor(term);
    if !copies.is_empty() {
        actix_rt::spawn(pass_on(owner.clone(), copies));
    }
}

/// Goes on from what is kept here, at the start as owner.
pub(crate) fn use_copies(state: &mut OwnerState, now: Millis) {
    let term = state.lease.term();
    for (job, items) in state.copies.drain_for_successor(term) {
        state.import_progress(&job, items, now);
    }
}
