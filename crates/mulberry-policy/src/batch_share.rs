//! Schedules batch items on endpoints that also serve online requests.
//!
//! Batch items use the slots that online requests leave free, less a reserve, and are stopped as
//! soon as online load needs their slots. A stopped item keeps the output it has so far and resumes
//! later, so stopping it costs little.

use indexmap::IndexMap;

use mulberry_protocol::time::Millis;

/// An endpoint that may run batch items, with its current load.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedEndpoint {
    /// Key by which running items and started items refer to the endpoint.
    pub key: u64,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Online requests in flight there, from all entries.
    pub online: u32,
    /// Batch items in flight there that other processes run.
    pub peer_batch: u32,
    /// Whether new items may start there.
    pub open: bool,
    /// Stands for its service and software version.
    pub version: u64,
    /// Time that it takes relative to the other endpoints of its service, in percent.
    pub slowness_percent: u32,
}

/// A batch item that is running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningItem<K> {
    /// Identifies the item.
    pub item: K,
    /// Key of the endpoint that runs it.
    pub endpoint: u64,
    /// Time by which its job is due.
    pub due_at: Millis,
    /// Time after which its caller no longer expects it.
    pub expected_until: Millis,
    /// Estimated time to generate the rest of its output, in milliseconds.
    pub left_ms: u64,
}

/// A batch item that is ready to start or to resume.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingItem<K> {
    /// Identifies the item.
    pub item: K,
    /// Time by which its job is due.
    pub due_at: Millis,
    /// Time after which its caller no longer expects it.
    pub expected_until: Millis,
    /// Estimated time to generate the rest of its output, in milliseconds.
    pub left_ms: u64,
    /// Endpoint of its last run. Another endpoint is preferred for the next one.
    pub last_endpoint: Option<u64>,
    /// The version that began its output, if it has any to continue.
    pub begun_by: Option<BegunBy>,
}

impl<K> RunningItem<K> {
    fn promise(&self) -> Promise {
        Promise { due_at: self.due_at, expected_until: self.expected_until }
    }
}

impl<K> WaitingItem<K> {
    fn promise(&self) -> Promise {
        Promise { due_at: self.due_at, expected_until: self.expected_until }
    }
}

/// The version that began an item's output. Another one has to begin anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BegunBy {
    /// Stands for the service and the software version, as in [`SharedEndpoint::version`].
    pub version: u64,
    /// When the last of the output came.
    pub updated_at: Millis,
}

/// Time for which an item waits for a slot of the version that began its output, in milliseconds.
/// After it any endpoint runs the item from the start.
pub const VERSION_WAIT_MS: u64 = 2_000;

/// Batch items to stop and to start.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchPlan<K> {
    /// Items to stop.
    pub stops: Vec<K>,
    /// Items to start, each with the key of its endpoint.
    pub starts: Vec<(K, u64)>,
}

/// Slots that are kept free for online requests at each endpoint.
pub const RESERVED_SLOTS: u32 = 1;

/// Returns the items to stop, on endpoints where online load needs their slots, and the items to
/// start in free slots.
pub fn plan_batch<K: Clone>(
    endpoints: &[SharedEndpoint],
    running: &[RunningItem<K>],
    waiting: &[WaitingItem<K>],
    now: Millis,
) -> BatchPlan<K> {
    let mut free_slots: IndexMap<u64, i64> =
        endpoints.iter().map(|e| (e.key, free_slots_at(e))).collect();
    for item in running {
        if let Some(free) = free_slots.get_mut(&item.endpoint) {
            *free -= 1;
        }
    }
    let mut stops = Vec::new();
    let mut by_slack: Vec<&RunningItem<K>> = running.iter().collect();
    by_slack.sort_by_key(|r| std::cmp::Reverse(urgency_key(r.promise(), r.left_ms, now)));
    for item in by_slack {
        // Online requests may use the reserve before an item is stopped.
        let overcommitted = free_slots
            .get(&item.endpoint)
            .is_some_and(|free| *free + i64::from(RESERVED_SLOTS) < 0);
        if overcommitted {
            stops.push(item.item.clone());
            *free_slots.entry(item.endpoint).or_default() += 1;
        }
    }
    let mut by_urgency: Vec<&WaitingItem<K>> = waiting.iter().collect();
    by_urgency.sort_by_key(|w| urgency_key(w.promise(), w.left_ms, now));
    let mut starts = Vec::new();
    for item in by_urgency {
        let version = awaited_version(item, endpoints, now);
        let suitable =
            endpoints.iter().filter(|e| e.open && version.is_none_or(|v| e.version == v));
        let best = suitable.max_by_key(|e| {
            let free = free_slots.get(&e.key).copied().unwrap_or(0);
            // Online requests avoid slow endpoints, so that an item costs them least there.
            (free, item.last_endpoint != Some(e.key), e.slowness_percent)
        });
        let free = best.and_then(|best| free_slots.get_mut(&best.key)).filter(|free| **free > 0);
        match (best, free) {
            (Some(best), Some(free)) => {
                *free -= 1;
                starts.push((item.item.clone(), best.key));
            }
            _ if version.is_some() => {}
            _ => break,
        }
    }
    BatchPlan { stops, starts }
}

/// Returns the version that a waiting item needs now, or none if any will do.
fn awaited_version<K>(
    item: &WaitingItem<K>,
    endpoints: &[SharedEndpoint],
    now: Millis,
) -> Option<u64> {
    let begun_by = item.begun_by?;
    let is_there = endpoints.iter().any(|e| e.version == begun_by.version);
    let is_waited_for = now.since(begun_by.updated_at) < VERSION_WAIT_MS;
    (is_there && is_waited_for).then_some(begun_by.version)
}

/// Returns the slots left for batch items, negative if online requests and the batch items of other
/// processes use more than their part.
fn free_slots_at(endpoint: &SharedEndpoint) -> i64 {
    i64::from(endpoint.slots)
        - i64::from(RESERVED_SLOTS)
        - i64::from(endpoint.online)
        - i64::from(endpoint.peer_batch)
}

/// When its caller expects an item.
#[derive(Debug, Clone, Copy)]
struct Promise {
    due_at: Millis,
    expected_until: Millis,
}

/// Returns a key that sorts items by the time at which they must begin to keep what is promised of them. An
/// item that can't be in time any more makes room for others that can, but not for so long that its caller
/// goes without it. Only items that nobody expects any more go behind all others.
fn urgency_key(promise: Promise, left_ms: u64, now: Millis) -> (bool, u64) {
    let end = now + left_ms;
    let kept_by = if end <= promise.due_at { promise.due_at } else { promise.expected_until };
    (end > kept_by, kept_by.0.saturating_sub(left_ms))
}
