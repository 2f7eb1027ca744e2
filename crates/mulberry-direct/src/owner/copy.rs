//! Replicates the progress of open items to a standby, so that it survives the loss of the owner.

use std::rc::Rc;
use std::time::Duration;

use mulberry_policy::progress_copies::CopySender;
use mulberry_protocol::batch_job::CopyBatch;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::time::Millis;

use crate::job_calls::JobCall;
use crate::job_calls::JobReply;
use crate::job_client::JobClient;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::handoff::send_progress;
use crate::owner::submit::not_owner;
use crate::peers::find_standby;

/// Interval at which new progress is copied, in milliseconds.
const COPY_INTERVAL_MS: u64 = 500;

/// Timeout of a call to the standby.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Copies the progress of open items to a standby until the process stops. Starts over with a full
/// copy whenever the standby or the generation changes or a copy fails.
pub(crate) async fn replicate_progress(owner: Rc<Owner>) {
    let client = JobClient::new(owner.shared.clone());
    let mut sender = CopySender::default();
    let mut target = None;
    loop {
        tokio::time::sleep(Duration::from_millis(COPY_INTERVAL_MS)).await;
        let (serving, generation) = {
            let state = owner.state.borrow();
            (state.serving, state.generation)
        };
        let standby = find_standby(&owner.shared).filter(|_| serving);
        let next = standby.map(|address| (address, generation));
        if next != target {
            sender.reset();
            target = next;
            log_event!(info, Event::ProgressCopyStarted, standby = ?standby);
        }
        let Some(address) = standby else { continue };
        let Some(batch) = next_batch(&owner, &mut sender) else { continue };
        let reply = client.call_at(address, &JobCall::KeepCopies(batch), COPY_TIMEOUT).await;
        if reply == Some(JobReply::Taken) {
            owner.shared.metrics.count("direct.progress_copied");
        } else {
            owner.shared.metrics.count("direct.progress_not_copied");
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

/// Stores copies that the owner sends. Refused if this process owns the jobs itself, or if a batch
/// is missing between this one and the last.
pub(crate) fn store_copies(owner: &Owner, batch: CopyBatch) -> JobReply {
    let mut state = owner.state.borrow_mut();
    if state.lease.is_held() || !state.copies.apply(batch) {
        return JobReply::Refused(not_owner());
    }
    JobReply::Taken
}

/// Sends the copies kept here to the owner of `term`, if an earlier owner made them.
pub(crate) fn forward_copies(owner: &Rc<Owner>, term: u64) {
    let copies = owner.state.borrow_mut().copies.drain_for_successor(term);
    if !copies.is_empty() {
        actix_rt::spawn(send_progress(owner.clone(), copies));
    }
}

/// Imports the copies kept here when this process starts to serve as the owner.
pub(crate) fn import_copies(state: &mut OwnerState, now: Millis) {
    let term = state.lease.term();
    for (job, items) in state.copies.drain_for_successor(term) {
        state.import_progress(&job, items, now);
    }
}
