//! Carries out the platform's orders to drain VMs that are to be removed. No durable state is kept
//! on a VM, so the only step needed is to release the lease if the owner runs on that VM.

use std::rc::Rc;
use std::time::Duration;

use mulberry_platform::store::WriteOutcome;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::owner::Owner;
use crate::owner::commit::flush_results;
use crate::owner::lease::release_lease;
use crate::store_watch::RELAXED_PACE;
use crate::store_watch::StoreChange;
use crate::store_watch::list_and_watch;

/// Interval at which pending drain orders are checked, in milliseconds.
const POLL_INTERVAL_MS: u64 = 300;

/// Watches the drain orders in the store, as the owner, until the process stops.
pub(crate) async fn watch_drain_orders(owner: Rc<Owner>) {
    let prefix = owner.shared.dialect.drain_order_prefix();
    let vm_name = |key: &str| key.strip_prefix(prefix).unwrap_or(key).to_owned();
    let (owned_generation, renewals) =
        (owner.owned_generation.subscribe(), owner.shared.renewals.subscribe());
    list_and_watch(&owner.store, prefix, RELAXED_PACE, owned_generation, renewals, |change| {
        let mut state = owner.state.borrow_mut();
        match change {
            StoreChange::Listed(objects) => {
                state.drain_orders = objects.iter().map(|o| (vm_name(&o.key), o.version)).collect();
            }
            StoreChange::Changed(events) => {
                for event in events {
                    let vm = vm_name(&event.object.key);
                    if event.deleted {
                        state.closed_drain_orders.shift_remove(&vm);
                        state.drain_orders.shift_remove(&vm);
                    } else {
                        state.drain_orders.insert(vm, event.object.version);
                    }
                }
            }
            StoreChange::Asking
            | StoreChange::Failed
            | StoreChange::Unchanged
            | StoreChange::UpTo(_)
            | StoreChange::Paused => {}
        }
    })
    .await;
}

/// Carries out pending drain orders and reports them as complete while this process serves as the
/// owner. The owner's own VM is reported by the next owner.
pub(crate) async fn execute_drain_orders(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let next = {
            let state = owner.state.borrow();
            let open =
                state.drain_orders.iter().find(|(vm, _)| !state.closed_drain_orders.contains(*vm));
            open.filter(|_| state.serving).map(|(vm, revision)| (vm.clone(), *revision))
        };
        let Some((vm, revision)) = next else { continue };
        if vm == owner.shared.settings.vm {
            flush_results(&owner).await;
            release_lease(&owner).await;
            continue;
        }
        let key = format!("{}{vm}/status", owner.shared.dialect.drain_order_prefix());
        let value = owner.shared.dialect.encode_drain_order_completed();
        match owner.store.update(CallClass::Commit, &key, value, revision).await {
            Ok(WriteOutcome::Written(_)) => {
                log_event!(info, Event::VmEmptied, vm);
                owner.state.borrow_mut().closed_drain_orders.insert(vm);
            }
            Ok(WriteOutcome::Conflict(Some(object))) => {
                owner.state.borrow_mut().drain_orders.insert(vm, object.version);
            }
            Ok(WriteOutcome::Conflict(None)) => {
                owner.state.borrow_mut().closed_drain_orders.insert(vm);
            }
            Err(e) => log_event!(debug, Event::StoreFailed, what = "retirement", error = %e),
        }
    }
}
