//! Keeps the convictions of requests that crash endpoints in the platform's store, so that they
//! outlast a restart of all processes. The owner of the batch jobs writes them, and tells them to all
//! peers in its heartbeats after it has read them.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;

use mulberry_platform::error::PlatformError;
use mulberry_platform::store::parse_json;
use mulberry_platform::store::to_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::conviction::CONVICTION_PREFIX;
use mulberry_protocol::conviction::StoredConviction;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::time::Millis;

use crate::owner::Owner;
use crate::trials::delete_conviction;

/// Interval at which the owner looks for convictions to write, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// Most convictions that are read from the store; others end unread.
const MAX_LOADED_CONVICTIONS: usize = 1_000;

/// Reads the convictions whenever this process becomes the owner, and writes new ones while it is,
/// until the process stops.
pub(crate) async fn keep_convictions(owner: Rc<Owner>) {
    let mut loaded_generation = None;
    let mut stored = IndexSet::new();
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let (serving, generation) = {
            let state = owner.state.borrow();
            (state.serving, state.generation)
        };
        if !serving {
            continue;
        }
        let kept = async {
            if loaded_generation != Some(generation) {
                stored = load_convictions(&owner).await?;
                loaded_generation = Some(generation);
            }
            store_convictions(&owner, &mut stored).await
        };
        if let Err(e) = kept.await {
            log_event!(debug, Event::StoreFailed, error = %e, what = "convictions");
        }
    }
}

/// Reads the convictions from the store and deletes those that have ended. Returns the fingerprints
/// of the others.
async fn load_convictions(owner: &Owner) -> Result<IndexSet<u64>, PlatformError> {
    let (objects, _) = owner.store.list_all(CallClass::Listing, CONVICTION_PREFIX, true).await?;
    let (now, unix_s) = (owner.now(), owner.shared.clock.unix_s());
    let mut stored = IndexSet::new();
    for object in objects.iter().take(MAX_LOADED_CONVICTIONS) {
        let conviction: StoredConviction = match parse_json(object) {
            Ok(conviction) => conviction,
            Err(e) => {
                log_event!(warn, Event::StoreFailed, error = %e, what = "conviction");
                continue;
            }
        };
        let left_s = conviction.until_unix_s.saturating_sub(unix_s);
        if left_s == 0 {
            owner.store.delete(CallClass::Listing, &object.key, object.version).await?;
            continue;
        }
        stored.insert(conviction.fingerprint);
        let until = now + left_s * 1_000;
        let mut suspects = owner.shared.crash_suspects();
        suspects.add_conviction(conviction.fingerprint, until, now);
        suspects.record_trials(conviction.fingerprint, conviction.trials, now);
    }
    Ok(stored)
}

/// Stores new convictions, and deletes those of requests that have completed since.
async fn store_convictions(owner: &Owner, stored: &mut IndexSet<u64>) -> Result<(), PlatformError> {
    let now = owner.now();
    let convictions = owner.shared.crash_suspects().convictions(now);
    let is_void = |f: &&u64| !convictions.iter().any(|(convicted, _)| convicted == *f);
    let void: Vec<u64> = stored.iter().filter(is_void).copied().collect();
    for fingerprint in void {
        delete_conviction(&owner.store, fingerprint).await?;
        stored.swap_remove(&fingerprint);
    }
    for (fingerprint, until) in convictions {
        if !stored.contains(&fingerprint) {
            store_conviction(owner, fingerprint, until, now).await?;
            stored.insert(fingerprint);
            let now = owner.now();
            owner.shared.crash_suspects().confirm_conviction(fingerprint, until, now);
        }
    }
    Ok(())
}

async fn store_conviction(
    owner: &Owner,
    fingerprint: u64,
    until: Millis,
    now: Millis,
) -> Result<(), PlatformError> {
    let until_unix_s = owner.shared.clock.unix_s() + until.since(now) / 1_000;
    let conviction = StoredConviction { fingerprint, until_unix_s, trials: 0 };
    // A conflict means that an owner before has stored it, or that a trial was claimed.
    owner.store.create(CallClass::Listing, &conviction.key(), to_json(&conviction)?).await?;
    owner.shared.metrics.count("direct.convictions_stored");
    Ok(())
}
