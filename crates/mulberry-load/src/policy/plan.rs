//! Inputs and results of a simulation.

use indexmap::IndexMap;

use mulberry_policy::admission::AdmissionSettings;
use mulberry_policy::routing::RoutingMode;
use mulberry_standin::engine::EngineSettings;

/// A policy: the settings of admission and routing.
#[derive(Debug, Clone)]
pub(crate) struct Variant {
    pub name: &'static str,
    pub admission: AdmissionSettings,
    pub routing: RoutingMode,
    /// Whether preempted batch items resume from the state that their engine kept.
    pub resume: bool,
}

/// The simulated pool of engines and its load of batch items.
#[derive(Debug, Clone)]
pub(crate) struct SimulationPlan {
    /// Factor of the step time for each engine.
    pub slowness: Vec<f64>,
    pub engine: EngineSettings,
    pub seconds: f64,
    /// Whether there are always batch items waiting.
    pub batch: bool,
    /// Engines that are lost for a while: their indices, and start and end in seconds.
    pub outage: Option<(std::ops::Range<usize>, f64, f64)>,
    /// Interval between the load reports that the router gets, in milliseconds.
    pub report_ms: u64,
    /// Deadline of the first token of online requests.
    pub deadline_ms: u32,
}

impl Default for SimulationPlan {
    fn default() -> Self {
        Self {
            slowness: vec![1.0, 1.0, 1.0, 1.0, 1.6],
            engine: EngineSettings::default(),
            seconds: 120.0,
            batch: true,
            outage: None,
            report_ms: 2_000,
            deadline_ms: 8_000,
        }
    }
}

/// Measurements of one simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// For each online answer, the time of its first token in seconds, and the time to it from its
    /// arrival in milliseconds.
    pub first_ms: Vec<(f64, f64)>,
    /// Times between successive tokens of online answers.
    pub gaps_ms: Vec<f64>,
    pub online_tokens: u64,
    pub refused: u64,
    /// Refused online requests by reason.
    pub refusals: IndexMap<&'static str, u64>,
    pub batch_items: u64,
    pub batch_tokens: u64,
    /// Tokens of prompts and answers computed again for a request or item that had run before.
    pub repeated_tokens: u64,
    /// All tokens computed, of prompts and answers.
    pub computed_tokens: u64,
    /// Prompt tokens computed for online requests.
    pub online_prompt_tokens: u64,
    /// Batch items that were preempted and stopped.
    pub stops: u64,
    /// Longest time from a preemption until the item stopped, in milliseconds.
    pub stop_ms_max: f64,
    /// Longest time during which more than a fifth of an engine's slots were free, in milliseconds.
    pub unfilled_ms_max: f64,
    /// Batch tokens by second.
    pub batch_by_s: Vec<u64>,
    /// Completed online answers by second.
    pub online_by_s: Vec<u64>,
}
