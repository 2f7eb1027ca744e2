//! Takes, renews and hands over the lease on the batch jobs.

use std::rc::Rc;
use std::time::Duration;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::WriteOutcome;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::owner_lease::LeaseRecord;
use mulberry_policy::owner_lease::LeaseStep;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::peer::OwnerClaim;

use crate::owner::Owner;
use crate::owner::copy::pass_copies_on;
use crate::owner::load::load_jobs;
use crate::owner::pass_on::pass_progress_on;

/// Key of the lease.
const LEASE_KEY: &str = "leases/jobs";

/// Time between looks at the lease, in milliseconds.
const STEP_MS: u64 = 50;

/// Keeps or takes the lease until the process stops.
pub(crate) async fn keep_lease(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(STEP_MS)).await;
        if owner.fleet.stop.is_triggered() {
            return;
        }
        let step = owner.state.borrow().lease.next_step(owner.now());
        let done = match step {
            LeaseStep::Wait => Ok(()),
            LeaseStep::Read => read_lease(&owner).await,
            LeaseStep::Create(record) => write_lease(&owner, record, None).await,
            LeaseStep::Replace(record, revision) => {
                write_lease(&owner, record, Some(revision)).await
            }
        };
        if let Err(e) = done {
            owner.fleet.metrics.count("direct.lease_failures");
            log_event!(debug, Event::StoreFailed, what = "lease", error = %e);
        }
    }
}

async fn read_lease(owner: &Owner) -> Result<(), PlatformError> {
    owner.state.borrow_mut().lease.note_read_sent(owner.now());
    let found = owner.store.read_json::<LeaseRecord>(CallClass::Lease, LEASE_KEY).await?;
    owner.state.borrow_mut().lease.note_read(found, owner.now());
    Ok(())
}

async fn write_lease(
    owner: &Rc<Owner>,
    record: LeaseRecord,
    revision: Option<u64>,
) -> Result<(), PlatformError> {
    let sent_at = owner.now();
    owner.state.borrow_mut().lease.note_write_sent(sent_at);
    let value = to_json(&record)?;
    let end = match revision {
        None => owner.store.create(CallClass::Lease, LEASE_KEY, value).await?,
        Some(revision) => owner.store.update(CallClass::Lease, LEASE_KEY, value, revision).await?,
    };
    match end {
        WriteOutcome::Written(revision) => {
            let term = record.term;
            let is_new = owner.state.borrow_mut().lease.note_written(record, revision, sent_at);
            if is_new {
                log_event!(info, Event::LeaseTaken, term, revision);
                owner.fleet.metrics.count("direct.leases_taken");
                let generation = owner.state.borrow().generation;
                owner.follow_as(Some(generation));
                actix_rt::spawn(load_jobs(owner.clone()));
            }
        }
        WriteOutcome::Conflict(found) => {
            let found = match &found {
                Some(object) => Some((parse_json::<LeaseRecord>(object)?, object.version)),
                None => None,
            };
            let lost = owner.state.borrow_mut().lease.note_conflict(found, owner.now());
            if lost {
                lose_lease(owner, "another holder");
            }
        }
    }
    Ok(())
}

/// Takes a peer's claim.
pub(crate) fn take_claim(owner: &Rc<Owner>, claim: &OwnerClaim) {
    let lost = owner.state.borrow_mut().lease.note_claim(claim, owner.now());
    if lost {
        lose_lease(owner, "a peer claims a higher term");
    }
    if claim.serving {
        pass_copies_on(owner, claim.term);
    }
}

/// Makes the claim for datagrams.
pub(crate) fn own_claim(owner: &Owner) -> Option<OwnerClaim> {
    let state = owner.state.borrow();
    state.lease.claim(state.serving, owner.now())
}

/// Gives the lease up, so that another process takes it at once. Returns whether it was held.
pub(crate) async fn hand_over(owner: &Rc<Owner>) -> bool {
    let handed = owner.state.borrow_mut().lease.hand_over(owner.now());
    let Some((record, revision)) = handed else { return false };
    lose_lease(owner, "handed over");
    let Ok(value) = to_json(&record) else { return true };
    if let Err(e) = owner.store.update(CallClass::Lease, LEASE_KEY, value, revision).await {
        log_event!(debug, Event::StoreFailed, what = "lease", error = %e);
    }
    true
}

fn lose_lease(owner: &Rc<Owner>, cause: &str) {
    log_event!(info, Event::LeaseLost, cause);
    owner.fleet.metrics.count("direct.leases_lost");
    owner.step_down();
    actix_rt::spawn(pass_progress_on(owner.clone()));
}
