//! The engine's record of what it ran.

use serde::Deserialize;
use serde::Serialize;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It still runs.
    Running,
    /// Its last token was generated.
    Finished,
    /// It was cancelled, or its caller went away.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunRecord {
    /// The identifier given by the sender.
    pub request: String,
    /// Hash of the prompt.
    pub prompt_hash: u64,
    /// Whether it continued a run before.
    pub resumed: bool,
    /// Prompt tokens computed, those found in the cache left out.
    pub computed_prompt_tokens: u32,
    /// Tokens generated.
    pub tokens: u32,
    /// When it was taken, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// How it ended.
    pub end: RunOutcome,
}
