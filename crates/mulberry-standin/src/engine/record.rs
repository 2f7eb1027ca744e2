//! Record of the requests that the engine ran, which tests compare with what callers received.

use serde::Deserialize;
use serde::Serialize;

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The run has not ended yet.
    Running,
    /// The last token was generated.
    Finished,
    /// The run was cancelled, or its caller closed the connection.
    Cancelled,
    /// The engine crashed during the run.
    Crashed,
}

/// One run of a request. A request that is resumed or sent again has several.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunRecord {
    /// Value of the caller's `x-request-id` header, or `unnamed`.
    pub request: String,
    /// Hash of the prompt, which also determines the answer's text.
    pub prompt_hash: u64,
    /// Whether the run continued an earlier, cancelled one.
    pub resumed: bool,
    /// Number of prompt tokens computed, without those found in the prefix cache.
    pub computed_prompt_tokens: u32,
    /// Number of tokens generated in this run.
    pub tokens: u32,
    /// When the request was accepted, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Outcome of the run.
    pub end: RunOutcome,
}
