//! What this process may use: as the settings state it, or else as the operating system does.

use mulberry_policy::vm_shares::VmShares;
use mulberry_policy::vm_shares::divide_vm;

use crate::settings::VmLimits;

/// Part of the system's memory that a process takes for its own where the settings state none: other
/// programs run beside it.
const SYSTEM_MEMORY_PART: u64 = 4;

/// Returns what the process may hold of each kind.
pub fn vm_shares(limits: VmLimits) -> VmShares {
    let memory = limits.memory_bytes.or_else(system_memory);
    divide_vm(memory, limits.descriptors.or_else(max_open_files))
}

fn system_memory() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes * 1_024 / SYSTEM_MEMORY_PART)
}

fn max_open_files() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
