//! Settings of the simulated engine, and the faults that can be injected into it.

use serde::Deserialize;
use serde::Serialize;

/// Step times, limits and delays of a simulated engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Fixed part of the duration of a step, in microseconds.
    pub step_base_us: u64,
    /// Time that each decoding sequence adds to the step, in microseconds.
    pub step_per_sequence_us: u64,
    /// Time that each computed prompt token adds to the step, in microseconds.
    pub prefill_us_per_token: u64,
    /// Maximum number of prompt tokens computed in one step, over all sequences.
    pub prefill_chunk_tokens: u32,
    /// Maximum number of sequences in the running batch.
    pub max_sequences: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Maximum number of cancelled sequences whose state is kept so that they can be resumed.
    pub kept_sequences: usize,
    /// Time that loading a model takes, in milliseconds.
    pub load_ms: u64,
    /// Time for which the engine is down after a crash, in milliseconds.
    pub restart_ms: u64,
    /// Delay of load reports and cache events, in milliseconds.
    pub report_lag_ms: u64,
    /// One in this many cache events is lost; zero or one means all.
    pub lose_cache_event_in: u32,
    /// Whether the engine refuses orders whose fencing number is lower than the highest received.
    pub checks_orders: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step_base_us: 8_000,
            step_per_sequence_us: 120,
            prefill_us_per_token: 25,
            prefill_chunk_tokens: 512,
            max_sequences: 128,
            cache_blocks: 4_096,
            kept_sequences: 32,
            load_ms: 300,
            restart_ms: 600,
            report_lag_ms: 1_000,
            lose_cache_event_in: 20,
            checks_orders: true,
        }
    }
}

/// Faults that can be set while the engine runs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct EngineFaults {
    /// Duration of a step as a percentage of the normal one; zero means the normal duration.
    pub slow_percent: u32,
    /// Text that crashes the engine if a prompt contains it; empty means none.
    pub crash_on: String,
    /// Meant to break off streams after their first tokens; accepted, but without effect so far.
    pub cut_streams: bool,
}
