//! State of the stand-in: its objects, their recent changes, the injected faults and the call
//! counts.

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

/// Number of changes kept for watches. Watches from older revisions fail as compacted.
const KEPT_CHANGES: usize = 10_000;

/// Faults and rate limits that can be set while the API runs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ObjectApiFaults {
    /// Whether every call fails with status 503.
    pub outage: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// One in this many writes takes effect but gets no usable response; zero means none.
    pub lose_answer_in: u32,
    /// Writes accepted per second; zero means no limit.
    pub writes_per_s: u32,
    /// Reads, lists and watches accepted per second; zero means no limit.
    pub reads_per_s: u32,
    /// Whether every watch fails at once as compacted.
    pub compact_watches: bool,
    /// Whether reads and lists return the value and version before the object's last change.
    pub stale_reads: bool,
    /// Whether writes take effect even if their condition does not hold.
    pub ignore_conditions: bool,
}

/// Numbers of calls that the API received.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallCounts {
    /// Number of reads of single objects.
    pub reads: u64,
    /// Number of writes and deletes.
    pub writes: u64,
    /// Number of pages listed.
    pub lists: u64,
    /// Number of watch calls.
    pub watches: u64,
    /// Number of calls refused by the rate limits, which the counts above leave out.
    pub refused: u64,
    /// Highest number of writes and deletes in one second, those refused included.
    pub writes_per_s_max: u64,
    /// Highest number of reads, lists and watches in one second, those refused included.
    pub reads_per_s_max: u64,
}

/// An object with the version and value before its last change.
#[derive(Debug, Clone)]
pub(super) struct StoredObject {
    pub version: u64,
    pub value: Bytes,
    pub previous: Option<(u64, Bytes)>,
}

/// A change of an object, kept for watches. A delete has no value.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub revision: u64,
    pub key: String,
    pub value: Option<Bytes>,
}

/// Outcome of a conditional write or delete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    /// The call took effect at this revision.
    Written(u64),
    /// The object does not have the expected version.
    Conflict,
}

pub(super) struct ObjectState {
    pub objects: BTreeMap<String, StoredObject>,
    pub revision: u64,
    pub changes: VecDeque<Change>,
    pub faults: ObjectApiFaults,
    pub counts: CallCounts,
    /// Start of the second in which calls are counted against the rate limits.
    second_start: Instant,
    writes_this_s: u64,
    reads_this_s: u64,
    /// Number of writes so far that [`ObjectApiFaults::lose_answer_in`] may select from.
    writes_seen: u64,
}

/// State of an object API, shared by its server and the test that runs it.
#[derive(Clone)]
pub struct SharedObjectApi {
    state: Arc<Mutex<ObjectState>>,
    /// Sends the revision of each change to the waiting watches.
    changes: watch::Sender<u64>,
}

impl Default for SharedObjectApi {
    fn default() -> Self {
        let state = ObjectState {
            objects: BTreeMap::new(),
            revision: 0,
            changes: VecDeque::new(),
            faults: ObjectApiFaults::default(),
            counts: CallCounts::default(),
            second_start: Instant::now(),
            writes_this_s: 0,
            reads_this_s: 0,
            writes_seen: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), changes: watch::Sender::new(0) }
    }
}

impl SharedObjectApi {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts.clone()
    }

    /// Returns the keys with a prefix, without counting a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.objects.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Returns the value of an object, without counting a call.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.lock().objects.get(key).map(|s| s.value.clone())
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ObjectState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Writes an object that has the expected version, or does not exist if none is given.
    pub(super) fn write(&self, key: &str, value: Bytes, expected: Option<u64>) -> WriteResult {
        let mut state = self.lock();
        let previous = state.objects.get(key).map(|s| (s.version, s.value.clone()));
        let ignores_conditions = state.faults.ignore_conditions;
        if previous.as_ref().map(|(version, _)| *version) != expected && !ignores_conditions {
            return WriteResult::Conflict;
        }
        state.revision += 1;
        let revision = state.revision;
        let stored = StoredObject { version: revision, value: value.clone(), previous };
        state.objects.insert(key.to_owned(), stored);
        state.record_change(key, Some(value));
        drop(state);
        self.changes.send_replace(revision);
        WriteResult::Written(revision)
    }

    /// Deletes an object that has the expected version. Returns none if it does not exist.
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
        self.changes.send_replace(revision);
        Some(WriteResult::Written(revision))
    }
}

impl ObjectState {
    /// Counts a call, and returns whether the rate limits allow it.
    pub fn admit(&mut self, is_write: bool) -> bool {
        if self.second_start.elapsed().as_millis() >= 1_000 {
            self.second_start = Instant::now();
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

    /// Returns whether the response to this write is lost. Counts the write.
    pub fn loses_response(&mut self) -> bool {
        self.writes_seen += 1;
        let every = u64::from(self.faults.lose_answer_in);
        every > 0 && self.writes_seen.is_multiple_of(every)
    }

    /// Returns the oldest revision from which a watch can continue.
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
