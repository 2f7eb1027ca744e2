//! Settings, inputs and actions of [`Admission`](super::Admission).

use mulberry_protocol::bundle::BatchFill;
use mulberry_protocol::refusal::RefusalReason;

use crate::concurrency_limit::LimitSettings;

/// Identifies a request within one side process.
pub type RequestId = u64;

/// How batch items and online requests share the endpoint.
///
/// Production uses [`AdmissionMode::Preemptive`]; the others are baselines for experiments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Batch items never start.
    OnlineOnly,
    /// Online requests and batch items share one queue in order of arrival.
    Shared,
    /// A fixed number of slots is reserved for batch items.
    Split {
        /// Number of slots reserved for batch items.
        batch: u32,
    },
    /// Online requests start first, but running batch items are not preempted.
    Priority,
    /// Online requests start first, and batch items are preempted to free slots for them.
    Preemptive,
}

/// Settings of an [`Admission`](super::Admission).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// How batch items and online requests share the endpoint.
    pub mode: AdmissionMode,
    /// Bounds and target of the concurrency limit.
    pub limit: LimitSettings,
    /// How much of the endpoint's free capacity batch items may use.
    pub fill: BatchFill,
    /// Fraction of `limit.gap_target_ms` that is the target of the separate limit for batch items.
    pub batch_gap_share: f64,
    /// Slots that batch items leave free for arriving online requests.
    pub headroom: u32,
    /// Most batch items that may be in prefill at the same time.
    pub batch_prefills: u32,
    /// Batch items to keep queued at the side in addition to those that can run.
    pub batch_prefetch: u32,
    /// Most online requests that may wait, as a multiple of the concurrency limit.
    pub queue_factor: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            mode: AdmissionMode::Preemptive,
            limit: LimitSettings::default(),
            fill: BatchFill::Gentle,
            batch_gap_share: 0.9,
            headroom: 1,
            batch_prefills: 2,
            batch_prefetch: 4,
            queue_factor: 2,
        }
    }
}

/// A request offered to the side for admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Identifier of the request within the side process.
    pub id: RequestId,
    /// Milliseconds within which an online request must start to be of use; ignored for batch
    /// items.
    pub deadline_ms: u32,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Whether nothing else may run beside it, because it is suspected of crashing endpoints.
    pub alone: bool,
}

/// A call for the side to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the endpoint.
    Start(RequestId),
    /// Refuse the request; it has not run.
    Refuse(RequestId, RefusalReason),
    /// Cancel the batch item on the engine, then call
    /// [`Admission::record_stopped`](super::Admission::record_stopped).
    Preempt(RequestId),
}
