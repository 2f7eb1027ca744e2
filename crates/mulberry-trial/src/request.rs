//! Chat requests whose correct answer is known in advance.

use serde_json::Value;
use serde_json::json;

use mulberry_standin::engine::expected_answer;

/// A chat request with one system and one user message.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Text of the system message, the prefix that many prompts share.
    pub system: String,
    /// Text of the user message.
    pub user: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl ChatRequest {
    /// Returns the JSON body of the request.
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

    /// Returns the one correct answer, which the stand-in engine derives from the prompt.
    pub fn expected_answer(&self) -> String {
        expected_answer(&format!("{}\n{}", self.system, self.user), self.max_tokens)
    }

    /// Returns a line of a job's input that makes the same request, without streaming.
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
