//! Requests of trials, with what their answers must be.

use serde_json::Value;
use serde_json::json;

use mulberry_standin::engine::expected_answer;

/// A chat request.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// Text that many requests begin with.
    pub system: String,
    /// Text of its own.
    pub user: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Whether the answer is a stream.
    pub stream: bool,
}

impl ChatRequest {
    /// Returns the request body.
    pub fn body(&self) -> Value {
        json!({
            "model": self.model,
            "messages": [
                {"role": "system", "content": self.system},
                {"role": "user", "content": self.user},
            ],
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        })
    }

    /// Returns the only right answer.
    pub fn expected_answer(&self) -> String {
        expected_answer(&format!("{}\n{}", self.system, self.user), self.max_tokens)
    }

    /// Returns the line of a job's input that asks the same.
    pub fn job_line(&self, custom_id: &str) -> Value {
        let mut body = self.body();
        if let Some(fields) = body.as_object_mut() {
            fields.remove("stream");
        }
        json!({
            "custom_id": custom_id,
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        })
    }
}
