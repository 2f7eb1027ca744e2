//! Empties VMs that are to be taken away. Nothing that must last lies on a VM, so that all there is
//! to do is to hand over the lease.

use std::rc::Rc;
use std::time::Duration;

use mulberry_platform::store::WriteOutcome;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::follow::Change;
use crate::follow::follow;
use crate::owner::Owner;
use crate::owner::lease::hand_over;
use crate::owner::listing::flush_results;

/// Time between looks at orders that are not done, in milliseconds.
const LOOK_MS: u64 = 300;

/// Follows the orders to empty VMs until the process stops.
pub(crate) async fn follow_retirements(owner: Rc<Owner>) {
    let prefix = owner.fleet.dialect.retirement_prefix();
    let name = |key: &str| key.strip_prefix(prefix).unwrap_or(key).to_owned();
    let (owned, renewals) = (owner.owned.subscribe(), owner.fleet.renewals.subscribe());
    follow(&owner.store, prefix, owned, renewals, |change| {
        let mut state = owner.state.borrow_mut();
        match change {
            Change::Listed(objects) => {
                state.retirements = objects.iter().map(|o| (name(&o.key), o.version)).collect();
            }
            Change::Changed(events) => {
                for event in events {
                    let vm = name(&event.object.key);
                    if event.deleted {
                        state.emptied.shift_remove(&vm);
                        state.retirements.shift_remove(&vm);
                    } else {
                        state.retirements.insert(vm, event.object.version);
                    }
                }
            }
            Change::Failed | Change::Unchanged | Change::Paused => {}
        }
    })
    .await;
}

/// Carries the orders out while this process owns the jobs.
pub(crate) async fn carry_out_retirements(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let next = {
            let state = owner.state.borrow();
            let open = state.retirements.iter().find(|(vm, _)| !state.emptied.contains(*vm));
            open.filter(|_| state.serving).map(|(vm, revision)| (vm.clone(), *revision))
        };
        let Some((vm, revision)) = next else { continue };
        if vm == owner.fleet.settings.vm {
            flush_results(&owner).await;
            hand_over(&owner).await;
            continue;
        }
        let key = format!("{}{vm}/status", owner.fleet.dialect.retirement_prefix());
        let value = owner.fleet.dialect.encode_retirement_done();
        match owner.store.update(CallClass::Commit, &key, value, revision).await {
            Ok(WriteOutcome::Written(_)) => {
                log_event!(info, Event::VmEmptied, vm);
                owner.state.borrow_mut().emptied.insert(vm);
            }
            Ok(WriteOutcome::Conflict(Some(object))) => {
                owner.state.borrow_mut().retirements.insert(vm, object.version);
            }
            Ok(WriteOutcome::Conflict(None)) => {
                owner.state.borrow_mut().emptied.insert(vm);
            }
            Err(e) => log_event!(debug, Event::StoreFailed, what = "retirement", error = %e),
        }
    }
}
