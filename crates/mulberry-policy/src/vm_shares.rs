//! How the memory and the descriptors of a VM are divided among what a process holds.

/// Share of the memory for bytes of callers' requests and responses. On the smallest VM, of 120 MB, eleven
/// bodies of 4 MB fit into the part of it for large requests.
const CALLER_BYTES_SHARE: f64 = 0.45;

/// Share of the memory for responses of endpoints that are being read whole.
const RESPONSE_BYTES_SHARE: f64 = 0.11;

/// Share of the memory for the buffers of connections.
const CONNECTION_SHARE: f64 = 0.25;

/// Memory of one connection with its buffers, in bytes: two buffers of 8 kB, one head in its parsed form,
/// and the state of its task.
const CONNECTION_BYTES: u64 = 24 * 1024;

/// Share of the descriptors for callers' connections. The rest is for endpoints, peers, the store, metrics,
/// readiness probes and files.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.6;

/// Memory and descriptors that are assumed if neither the settings nor the system state them.
const DEFAULT_MEMORY_BYTES: u64 = 512 * 1024 * 1024;
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// Smallest part for callers' bytes: one body of the usual limit and a few ordinary requests.
const MIN_CALLER_BYTES: u64 = 6 * 1024 * 1024;

/// Most that a process holds of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmShares {
    /// Bytes of callers' requests and responses.
    pub caller_bytes: u64,
    /// Bytes of the responses that are being read whole.
    pub response_bytes: u64,
    /// Connections of callers.
    pub connections: usize,
}

/// Divides what a process may use, as far as it is known.
pub fn divide_vm(memory_bytes: Option<u64>, descriptors: Option<u64>) -> VmShares {
    let memory = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
    let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
    let part = |share: f64| (memory as f64 * share) as u64;
    let by_memory = part(CONNECTION_SHARE) / CONNECTION_BYTES;
    let by_descriptors = (descriptors as f64 * CALLER_DESCRIPTOR_SHARE) as u64;
    VmShares {
        caller_bytes: part(CALLER_BYTES_SHARE).max(MIN_CALLER_BYTES),
        response_bytes: part(RESPONSE_BYTES_SHARE),
        connections: by_memory.min(by_descriptors).max(1) as usize,
    }
}
