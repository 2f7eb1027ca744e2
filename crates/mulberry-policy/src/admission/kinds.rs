//! What admission is told and what it answers.

use mulberry_protocol::bundle::BatchFill;
use mulberry_protocol::refusal::RefusalReason;

use crate::limit::LimitSettings;

/// Identifies a request within one side process.
pub type RequestId = u64;

/// How batch shares the endpoint with online requests.
///
/// All but [`AdmissionMode::Preemptive`] are baselines that experiments compare with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Batch never runs.
    OnlineOnly,
    /// One queue in order of arrival.
    Shared,
    /// A fixed number of places belongs to batch.
    Split {
        /// Places of batch.
        batch: u32,
    },
    /// Online goes first, but running batch items are left alone.
    Priority,
    /// Online goes first, and running batch items make room for it.
    Preemptive,
}

/// Settings of an [`Admission`](super::Admission).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// How batch shares the endpoint.
    pub mode: AdmissionMode,
    /// Bounds of the concurrency limit.
    pub limit: LimitSettings,
    /// How far batch fills the endpoint.
    pub fill: BatchFill,
    /// Share of the time between tokens that batch may take the endpoint to.
    pub batch_gap_share: f64,
    /// Places that batch leaves free for online arrivals.
    pub headroom: u32,
    /// Batch items whose prompts are computed at the same time.
    pub batch_prefills: u32,
    /// Batch items held ready beside the running ones.
    pub batch_prefetch: u32,
    /// Online requests that may wait, as a multiple of the limit.
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

/// A request offered to the side.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Its identifier.
    pub id: RequestId,
    /// Milliseconds within which an online request must start to be of use.
    pub deadline_ms: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Whether it must run alone, as a suspect of crashing endpoints.
    pub alone: bool,
}

/// What the side must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the endpoint.
    Start(RequestId),
    /// Refuse the request, which did not run.
    Refuse(RequestId, RefusalReason),
    /// Cancel the batch item on the engine, then report it with [`Admission::note_stopped`](super::Admission::note_stopped).
    Preempt(RequestId),
}
