//! What an experiment runs, and what came of it.

use indexmap::IndexMap;

use mulberry_policy::admission::AdmissionSettings;
use mulberry_policy::routing::RoutingMode;
use mulberry_standin::engine::EngineSettings;

/// One policy.
#[derive(Debug, Clone)]
pub(crate) struct Variant {
    pub name: &'static str,
    pub admission: AdmissionSettings,
    pub routing: RoutingMode,
    /// Whether stopped batch items go on from where they were.
    pub resume: bool,
}

/// The pool and its clock.
#[derive(Debug, Clone)]
pub(crate) struct WorldPlan {
    /// Engines, each with the factor of its step time.
    pub slowness: Vec<f64>,
    pub engine: EngineSettings,
    pub seconds: f64,
    /// Whether batch items wait all the time.
    pub batch: bool,
    /// An engine range that is away from one second to another.
    pub lost: Option<(std::ops::Range<usize>, f64, f64)>,
    /// Milliseconds between the reports that the router sees.
    pub report_ms: u64,
    pub deadline_ms: u32,
}

impl Default for WorldPlan {
    fn default() -> Self {
        Self {
            slowness: vec![1.0, 1.0, 1.0, 1.0, 1.6],
            engine: EngineSettings::default(),
            seconds: 120.0,
            batch: true,
            lost: None,
            report_ms: 2_000,
            deadline_ms: 8_000,
        }
    }
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// Time and first-token time of each online answer, in seconds and milliseconds.
    pub first_ms: Vec<(f64, f64)>,
    pub gaps_ms: Vec<f64>,
    pub online_tokens: u64,
    pub refused: u64,
    pub refusals: IndexMap<&'static str, u64>,
    pub batch_items: u64,
    pub batch_tokens: u64,
    /// Tokens of prompts and answers computed more than once for the same item.
    pub repeated_tokens: u64,
    pub computed_tokens: u64,
    /// Prompt tokens computed for online requests.
    pub online_prompt_tokens: u64,
    /// Batch items stopped for online requests.
    pub stops: u64,
    /// Longest time from a preemption to the item's stop, in milliseconds.
    pub stop_ms_max: f64,
    /// Longest stretch in which places for batch were free, in milliseconds.
    pub unfilled_ms_max: f64,
    /// Batch tokens and online answers by second.
    pub batch_by_s: Vec<u64>,
    pub online_by_s: Vec<u64>,
}
