//! Shares endpoints between online requests and batch items.
//!
//! Batch takes what online leaves, less a reserve, and gives it back as soon as online grows. A
//! stopped item keeps its output and goes on later, so that stopping costs little.

use indexmap::IndexMap;

use mulberry_protocol::time::Millis;

/// An endpoint that may run items.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedEndpoint {
    /// Short key.
    pub key: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Online requests in flight there, of all entries.
    pub online: u32,
    /// Batch items in flight there that this process doesn't run.
    pub peer_batch: u32,
    /// Whether new items may start there.
    pub open: bool,
}

/// An item that runs.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningItem<K> {
    /// Which item.
    pub item: K,
    /// Where it runs.
    pub endpoint: u64,
    /// When its job is due.
    pub due_at: Millis,
    /// Time that the rest of its output takes, in milliseconds.
    pub left_ms: u64,
}

/// An item that could run.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingItem<K> {
    /// Which item.
    pub item: K,
    /// When its job is due.
    pub due_at: Millis,
    /// Time that the rest of its output takes, in milliseconds.
    pub left_ms: u64,
    /// Endpoint of its last run; another one is preferred.
    pub last_endpoint: Option<u64>,
}

/// What to change.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchPlan<K> {
    /// Items to stop.
    pub stops: Vec<K>,
    /// Items to start, each with its endpoint.
    pub starts: Vec<(K, u64)>,
}

/// Slots that are kept free for online requests at each endpoint.
pub const RESERVED_SLOTS: u32 = 1;

/// Plans which items to stop and which to start.
pub fn plan_batch<K: Clone>(
    endpoints: &[SharedEndpoint],
    running: &[RunningItem<K>],
    waiting: &[WaitingItem<K>],
    now: Millis,
) -> BatchPlan<K> {
    let mut room: IndexMap<u64, i64> = endpoints.iter().map(|e| (e.key, room_at(e))).collect();
    for item in running {
        if let Some(left) = room.get_mut(&item.endpoint) {
            *left -= 1;
        }
    }
    let mut stops = Vec::new();
    let mut by_slack: Vec<&RunningItem<K>> = running.iter().collect();
    by_slack.sort_by_key(|r| std::cmp::Reverse(urgency(r.due_at, r.left_ms, now)));
    for item in by_slack {
        // One slot of the reserve may be used up before an item is stopped.
        let over =
            room.get(&item.endpoint).is_some_and(|left| *left + i64::from(RESERVED_SLOTS) < 0);
        if over {
            stops.push(item.item.clone());
            *room.entry(item.endpoint).or_default() += 1;
        }
    }
    let mut order: Vec<&WaitingItem<K>> = waiting.iter().collect();
    order.sort_by_key(|w| urgency(w.due_at, w.left_ms, now));
    let mut starts = Vec::new();
    for item in order {
        let best = endpoints.iter().filter(|e| e.open).max_by_key(|e| {
            let left = room.get(&e.key).copied().unwrap_or(0);
            (left, item.last_endpoint != Some(e.key))
        });
        let Some(best) = best else { break };
        let left = room.entry(best.key).or_default();
        if *left <= 0 {
            break;
        }
        *left -= 1;
        starts.push((item.item.clone(), best.key));
    }
    BatchPlan { stops, starts }
}

fn room_at(endpoint: &SharedEndpoint) -> i64 {
    i64::from(endpoint.slots)
        - i64::from(RESERVED_SLOTS)
        - i64::from(endpoint.online)
        - i64::from(endpoint.peer_batch)
}

/// Orders items: those that can still be in time before the others, then by their slack.
fn urgency(due_at: Millis, left_ms: u64, now: Millis) -> (bool, u64) {
    let end = now + left_ms;
    (end > due_at, due_at.0.saturating_sub(left_ms))
}
