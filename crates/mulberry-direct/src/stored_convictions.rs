//! Reads the stored convictions, for an entry that does not hear the owner of the jobs, which tells them
//! in its heartbeats.

use std::sync::Arc;

use mulberry_platform::object_api::Object;
use mulberry_platform::store::Store;
use mulberry_platform::store::parse_json;
use mulberry_policy::suspects::CONFIRMED_TTL_MS;
use mulberry_protocol::conviction::CONVICTION_PREFIX;
use mulberry_protocol::conviction::StoredConviction;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::crashes::VerdictSource;
use crate::shared::SharedState;
use crate::store_watch::RELAXED_PACE;
use crate::store_watch::StoreChange;
use crate::store_watch::WatchGate;
use crate::store_watch::list_and_watch;

/// Takes over the stored convictions, and forgets those that are deleted, until the process stops.
pub async fn watch_stored_convictions(shared: Arc<SharedState>, store: Store, gate: WatchGate) {
    let renewals = shared.renewals.subscribe();
    list_and_watch(
        &store,
        CONVICTION_PREFIX,
        RELAXED_PACE,
        gate,
        renewals,
        |change| match change {
            StoreChange::Listed(objects) => objects.iter().for_each(|o| take_over(&shared, o)),
            StoreChange::Changed(events) => {
                for event in events {
                    match event.deleted {
                        true => forget(&shared, &event.object.key),
                        false => take_over(&shared, &event.object),
                    }
                }
            }
            StoreChange::Asking
            | StoreChange::Failed
            | StoreChange::Unchanged
            | StoreChange::UpTo(_)
            | StoreChange::Paused => {}
        },
    )
    .await;
}

fn take_over(shared: &SharedState, object: &Object) {
    let conviction: StoredConviction = match parse_json(object) {
        Ok(conviction) => conviction,
        Err(e) => {
            log_event!(warn, Event::StoreFailed, error = %e, what = "conviction");
            return;
        }
    };
    let (now, unix_s) = (shared.clock.now(), shared.clock.unix_s());
    let left_ms = conviction.until_unix_s.saturating_sub(unix_s) * 1_000;
    let until = now + left_ms.min(CONFIRMED_TTL_MS);
    let (fingerprint, trials) = (conviction.fingerprint, conviction.trials);
    let read = shared.crash_suspects().read_conviction(fingerprint, until, trials, now);
    if let Some(verdict) = read {
        shared.report_conviction(verdict, VerdictSource::Store);
    }
}

fn forget(shared: &SharedState, key: &str) {
    let text = key.strip_prefix(CONVICTION_PREFIX).unwrap_or(key);
    match u64::from_str_radix(text, 16) {
        Ok(fingerprint) => shared.crash_suspects().forget_conviction(fingerprint),
        Err(e) => log_event!(warn, Event::StoreFailed, error = %e, what = "conviction"),
    }
}
