//! Reads from `/proc` the CPU time of groups of threads and the memory of this process.
//!
//! Experiments run several components in one process; the threads that start while a component
//! starts are taken as its own.

use std::collections::BTreeSet;
use std::fs;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// A set of thread ids of this process.
#[derive(Debug, Clone, Default)]
pub(crate) struct ThreadSet {
    ids: BTreeSet<u64>,
}

impl ThreadSet {
    /// Returns the current threads of the process that are not in `before`.
    pub fn started_since(before: &ThreadSet) -> Self {
        let ids = Self::all().ids.difference(&before.ids).copied().collect();
        Self { ids }
    }

    /// Returns all current threads of the process.
    pub fn all() -> Self {
        let entries = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
        let ids = entries.filter_map(|e| e.file_name().to_str()?.parse().ok()).collect();
        Self { ids }
    }

    /// Returns the set without the main thread, which sends the load.
    pub fn without_main(&self) -> Self {
        let main = u64::from(std::process::id());
        Self { ids: self.ids.iter().copied().filter(|id| *id != main).collect() }
    }

    /// Returns the CPU time that these threads have used so far, in microseconds. Threads that ended
    /// count as zero.
    pub fn cpu_us(&self) -> f64 {
        self.ids.iter().map(|id| thread_cpu_us(*id)).sum()
    }
}

fn thread_cpu_us(id: u64) -> f64 {
    let text = fs::read_to_string(format!("/proc/self/task/{id}/schedstat"));
    let cpu_ns = text.ok().and_then(|t| t.split(' ').next()?.parse::<f64>().ok());
    cpu_ns.unwrap_or(0.0) / 1_000.0
}

/// Returns the resident memory of the process, in bytes, or zero if it cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
