//! Acquires, renews and releases the lease on the batch jobs.

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
use crate::owner::copy::forward_copies;
use crate::owner::handoff::hand_off_progress;
use crate::owner::load::load_jobs;

/// Store key of the lease.
const LEASE_KEY: &str = "leases/jobs";

/// Interval at which the next step on the lease is decided, in milliseconds.
const STEP_INTERVAL_MS: u64 = 50;

/// Acquires the lease when it is free and renews it, until the process stops.
pub(crate) async fn maintain_lease(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(STEP_INTERVAL_MS)).await;
        if owner.shared.stop.is_triggered() {
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
            owner.shared.metrics.count("direct.lease_failures");
            log_event!(debug, Event::StoreFailed, what = "lease", error = %e);
        }
    }
}

async fn read_lease(owner: &Owner) -> Result<(), PlatformError> {
    owner.state.borrow_mut().lease.record_read_sent(owner.now());
    let found = owner.store.read_json::<LeaseRecord>(CallClass::Lease, LEASE_KEY).await?;
    owner.state.borrow_mut().lease.record_read(found, owner.now());
    Ok(())
}

async fn write_lease(
    owner: &Rc<Owner>,
    record: LeaseRecord,
    revision: Option<u64>,
) -> Result<(), PlatformError> {
    let sent_at = owner.now();
    owner.state.borrow_mut().lease.record_write_sent(sent_at);
    let value = to_json(&record)?;
    let end = match revision {
        None => owner.store.create(CallClass::Lease, LEASE_KEY, value).await?,
        Some(revision) => owner.store.update(CallClass::Lease, LEASE_KEY, value, revision).await?,
    };
    match end {
        WriteOutcome::Written(revision) => {
            let term = record.term;
            let is_new = owner.state.borrow_mut().lease.record_written(record, revision, sent_at);
            if is_new {
                log_event!(info, Event::LeaseTaken, term, revision);
                owner.shared.metrics.count("direct.leases_taken");
                let generation = owner.state.borrow().generation;
                owner.set_owned_generation(Some(generation));
                actix_rt::spawn(load_jobs(owner.clone()));
            }
        }
        WriteOutcome::Conflict(found) => {
            let found = match &found {
                Some(object) => Some((parse_json::<LeaseRecord>(object)?, object.version)),
                None => None,
            };
            let lost = owner.state.borrow_mut().lease.record_conflict(found, owner.now());
            if lost {
                handle_lease_loss(owner, "another holder");
            }
        }
    }
    Ok(())
}

/// Handles a peer's claim to own the batch jobs: gives up the lease if the claim supersedes it, and
/// sends the copies kept here to an owner that serves.
pub(crate) fn handle_peer_claim(owner: &Rc<Owner>, claim: &OwnerClaim) {
    let lost = owner.state.borrow_mut().lease.record_claim(claim, owner.now());
    if lost {
        handle_lease_loss(owner, "a peer claims a higher term");
    }
    if claim.serving {
        forward_copies(owner, claim.term);
    }
}

/// Returns the claim that this process's heartbeats carry, if it holds the lease.
pub(crate) fn own_claim(owner: &Owner) -> Option<OwnerClaim> {
    let state = owner.state.borrow();
    state.lease.claim(state.serving, owner.now())
}

/// Releases the lease so that another process can acquire it at once. Returns whether it was held.
pub(crate) async fn release_lease(owner: &Rc<Owner>) -> bool {
    let released = owner.state.borrow_mut().lease.hand_over(owner.now());
    let Some((record, revision)) = released else { return false };
    handle_lease_loss(owner, "handed over");
    let Ok(value) = to_json(&record) else { return true };
    if let Err(e) = owner.store.update(CallClass::Lease, LEASE_KEY, value, revision).await {
        log_event!(debug, Event::StoreFailed, what = "lease", error = %e);
    }
    true
}

fn handle_lease_loss(owner: &Rc<Owner>, cause: &str) {
    log_event!(info, Event::LeaseLost, cause);
    owner.shared.metrics.count("direct.leases_lost");
    owner.step_down();
    actix_rt::spawn(hand_off_progress(owner.clone()));
}
