//! The objects, their changes and the faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// Changes kept for watches; older revisions are compacted.
const KEPT_CHANGES: usize = 10_000;

/// Faults that can be set while the API runs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ObjectApiFaults {
    /// Whether every call fails.
    pub outage: bool,
    /// Time that each call takes, in milliseconds.
    pub slow_ms: u64,
    /// One in this many writes takes effect without an answer; zero means none.
    pub lose_answer_in: u32,
    /// Writes accepted a second; zero means no limit.
    pub writes_per_s: u32,
    /// Reads accepted a second; zero means no limit.
    pub reads_per_s: u32,
    /// Whether watches return at once as compacted.
    pub compact_watches: bool,
    /// Whether reads return the value before the last change.
    pub stale_reads: bool,
    /// Whether writes take effect whatever their condition.
    pub ignore_conditions: bool,
}

/// Calls that the API took.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallCounts {
    /// Reads of single objects.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Calls refused for their rate.
    pub refused: u64,
    /// Most writes in any second.
    pub writes_per_s_max: u64,
    /// Most reads, lists and watches in any second.
    pub reads_per_s_max: u64,
}

#[derive(Debug, Clone)]
pub(super) struct Stored {
    pub version: u64,
    pub value: Bytes,
    pub previous: Option<(u64, Bytes)>,
}

#[derive(Debug, Clone)]
pub(super) struct Change {
    pub revision: u64,
    pub key: String,
    pub value: Option<Bytes>,
}

/// How a conditional write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    Done(u64),
    Conflict,
}

pub(super) struct ObjectState {
    pub objects: BTreeMap<String, Stored>,
    pub revision: u64,
    pub changes: VecDeque<Change>,
    pub faults: ObjectApiFaults,
    pub counts: CallCounts,
    second: Instant,
    writes_this_s: u64,
    reads_this_s: u64,
    writes_seen: u64,
}

/// An object API that can be shared among threads.
#[derive(Clone)]
pub struct SharedObjectApi {
    state: Arc<Mutex<ObjectState>>,
    changed: watch::Sender<u64>,
}

impl Default for SharedObjectApi {
    fn default() -> Self {
        let state = ObjectState {
            objects: BTreeMap::new(),
            revision: 0,
            changes: VecDeque::new(),
            faults: ObjectApiFaults::default(),
            counts: CallCounts::default(),
            second: Instant::now(),
            writes_this_s: 0,
            reads_this_s: 0,
            writes_seen: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), changed: watch::Sender::new(0) }
    }
}

impl SharedObjectApi {
    /// Sets the faults.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        self.lock().faults = faults;
    }

    /// Returns the call counts.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts.clone()
    }

    /// Lists the keys with a prefix, without counting a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.objects.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Reads a value, without counting a call.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.lock().objects.get(key).map(|s| s.value.clone())
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ObjectState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(super) fn write(&self, key: &str, value: Bytes, expected: Option<u64>) -> WriteResult {
        let mut state = self.lock();
        let found = state.objects.get(key).map(|s| (s.version, s.value.clone()));
        let ignore = state.faults.ignore_conditions;
        if found.as_ref().map(|(version, _)| *version) != expected && !ignore {
            return WriteResult::Conflict;
        }
        state.revision += 1;
        let revision = state.revision;
        let stored = Stored { version: revision, value: value.clone(), previous: found };
        state.objects.insert(key.to_owned(), stored);
        state.record_change(key, Some(value));
        drop(state);
        self.changed.send_replace(revision);
        WriteResult::Done(revision)
    }

    pub(super) fn delete(&self, key: &str, expected: u64) -> Option<WriteResult> {
        let mut state = self.lock();
        let version = state.objects.get(key)?.version;
        if version != expected {
            return Some(WriteResult::Conflict);
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.remove(key);
        state.record_change(key, None);
        drop(state);
        self.changed.send_replace(revision);
        Some(WriteResult::Done(revision))
    }
}

impl ObjectState {
    /// Counts a call, and tells whether the rate allows it.
    pub fn admit(&mut self, is_write: bool) -> bool {
        if self.second.elapsed().as_millis() >= 1_000 {
            self.second = Instant::now();
            self.writes_this_s = 0;
            self.reads_this_s = 0;
        }
        let limits = (self.faults.writes_per_s, self.faults.reads_per_s);
        let (count, limit) = if is_write {
            (&mut self.writes_this_s, limits.0)
        } else {
            (&mut self.reads_this_s, limits.1)
        };
        *count += 1;
        let admitted = limit == 0 || *count <= u64::from(limit);
        self.counts.writes_per_s_max = self.counts.writes_per_s_max.max(self.writes_this_s);
        self.counts.reads_per_s_max = self.counts.reads_per_s_max.max(self.reads_this_s);
        if !admitted {
            self.counts.refused += 1;
        }
        admitted
    }

    /// Tells whether the answer to this write is lost.
    pub fn loses_answer(&mut self) -> bool {
        self.writes_seen += 1;
        let every = u64::from(self.faults.lose_answer_in);
        every > 0 && self.writes_seen.is_multiple_of(every)
    }

    /// Returns the oldest revision that a watch can continue from.
    pub fn oldest_revision(&self) -> u64 {
        self.changes.front().map_or(self.revision, |c| c.revision - 1)
    }

    fn record_change(&mut self, key: &str, value: Option<Bytes>) {
        let change = Change { revision: self.revision, key: key.to_owned(), value };
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }
}
