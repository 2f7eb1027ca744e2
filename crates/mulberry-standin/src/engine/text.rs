//! Text of the engine's answers. It is a fixed function of the prompt, so that tests can check that
//! a caller received the right answer.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Minimum number of tokens of an answer that the token limit does not cut short.
const MIN_ANSWER_TOKENS: u64 = 8;

/// Number of different lengths that an answer can have, from [`MIN_ANSWER_TOKENS`] up.
const ANSWER_LENGTHS: u64 = 120;

/// Syllables of which each token's text has two.
const SYLLABLES: [&str; 16] = [
    "ba", "ke", "li", "mo", "nu", "pra", "ri", "sto", "ta", "ve", "zi", "cho", "dra", "fe", "gu",
    "ha",
];

/// Returns the estimated number of tokens of a text, at least one.
pub fn estimate_tokens(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Returns the prompt of a request body: the content of its messages, one a line, or else its
/// `prompt`.
pub fn prompt_text(body: &Value) -> String {
    if let Some(messages) = body.get("messages").and_then(Value::as_array) {
        let lines = messages.iter().map(|m| m.get("content").map_or("", as_text));
        return lines.collect::<Vec<_>>().join("\n");
    }
    body.get("prompt").map_or("", as_text).to_owned()
}

fn as_text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

/// Returns the number of tokens of the answer to a prompt under the request's token limit.
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let full_length = MIN_ANSWER_TOKENS + xxh3_64(prompt.as_bytes()) % ANSWER_LENGTHS;
    (full_length as u32).min(max_tokens).max(1)
}

/// Returns the text of the token at `index` of the answer to the prompt with this hash.
pub fn token_text(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    let first = SYLLABLES[(hash % 16) as usize];
    let second = SYLLABLES[(hash >> 8) as usize % 16];
    format!("{first}{second} ")
}

/// Returns the whole answer to a prompt under the request's token limit.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..answer_tokens(prompt, max_tokens)).map(|i| token_text(hash, i)).collect()
}
