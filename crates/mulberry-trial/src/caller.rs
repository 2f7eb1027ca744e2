//! A client of the HTTP API that picks entries round robin, as the platform's load balancer does.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Instant;

use awc::Client;
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;

use mulberry_platform::http::new_client;

use crate::error::TrialError;
use crate::request::ChatRequest;

/// Timeout of a request until its response is complete, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 60_000;

/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 512 * 1024 * 1024;

/// Boundary between the parts of an upload's multipart form.
const FORM_BOUNDARY: &str = "mulberryshed-trial-form-boundary";

/// How a request ended, as the caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// A complete response without a refusal; `status` may still be an error.
    Answered {
        /// HTTP status.
        status: u16,
        /// The generated text, or the body of a plain service's response.
        text: String,
    },
    /// A response with an `x-refusal-reason` header.
    Refused {
        /// HTTP status.
        status: u16,
        /// Value of the `x-refusal-reason` header.
        reason: String,
        /// Value of the `x-run-state` header: whether the request ran.
        run: String,
    },
    /// A stream that ended without `[DONE]`.
    Cut {
        /// Error code of the last error event, if one arrived.
        reason: Option<String>,
    },
    /// The connection failed before the response was complete.
    NoAnswer,
}

/// The outcome and timing of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallReport {
    /// How the request ended.
    pub outcome: CallOutcome,
    /// Time to the first chunk of a stream, otherwise to the whole body or the failure, in
    /// milliseconds.
    pub first_byte_ms: f64,
    /// Times between consecutive chunks of a stream, in milliseconds.
    pub gaps_ms: Vec<f64>,
    /// Time to the end of the response, in milliseconds.
    pub total_ms: f64,
}

/// A caller with one client account's key. It stays on the thread that created it.
pub struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    key: String,
    next_index: Cell<usize>,
}

impl Caller {
    /// Creates a caller that sends to `entries` with the API key `key`.
    pub fn new(entries: Vec<SocketAddr>, key: &str) -> Self {
        Self {
            client: new_client(CALL_TIMEOUT_MS),
            entries,
            key: key.to_owned(),
            next_index: Cell::new(0),
        }
    }

    /// Returns the next entry, round robin.
    pub fn next_entry(&self) -> SocketAddr {
        let index = self.next_index.get();
        self.next_index.set(index + 1);
        self.entries[index % self.entries.len()]
    }

    /// Sends a chat request to one entry, without retries.
    pub async fn chat_at(&self, entry: SocketAddr, request: &ChatRequest) -> CallReport {
        let started = Instant::now();
        let sent = self
            .client
            .post(format!("http://{entry}/v1/chat/completions"))
            .bearer_auth(&self.key)
            .send_json(&request.body())
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(_) => return no_response_report(started),
        };
        if request.stream && response.status().is_success() {
            read_stream(response, started).await
        } else {
            read_full_response(response, started, true).await
        }
    }

    /// Sends a chat request. If an entry's connection fails without a response, tries the next
    /// entry, as a load balancer would.
    pub async fn chat(&self, request: &ChatRequest) -> CallReport {
        let mut report = self.chat_at(self.next_entry(), request).await;
        for _ in 1..self.entries.len() {
            if report.outcome != CallOutcome::NoAnswer {
                break;
            }
            report = self.chat_at(self.next_entry(), request).await;
        }
        report
    }

    /// Calls a plain service through an entry.
    pub async fn call_service(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> CallReport {
        let started = Instant::now();
        let method = awc::http::Method::from_bytes(method.as_bytes()).unwrap_or_default();
        let url = format!("http://{entry}/services/{path}");
        let mut req = self.client.request(method, url).bearer_auth(&self.key);
        if let Some(key) = key {
            req = req.insert_header(("idempotency-key", key.to_owned()));
        }
        match req.send_body(body.to_owned()).await {
            Ok(response) => read_full_response(response, started, false).await,
            Err(_) => no_response_report(started),
        }
    }

    /// Uploads a job's input lines and returns the identifier of the file.
    pub async fn upload(&self, entry: SocketAddr, lines: &str) -> Result<String, TrialError> {
        let form = format!(
            "--{FORM_BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{FORM_BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; \
             filename=\"input.jsonl\"\r\nContent-Type: application/jsonl\r\n\r\n{lines}\r\n\
             --{FORM_BOUNDARY}--\r\n"
        );
        let sent = self
            .client
            .post(format!("http://{entry}/v1/files"))
            .bearer_auth(&self.key)
            .content_type(format!("multipart/form-data; boundary={FORM_BOUNDARY}"))
            .send_body(form)
            .await;
        let value = read_json("upload", sent).await?;
        parse_id("upload", &value)
    }

    /// Creates a job from an uploaded file and returns the identifier of the job.
    pub async fn create_batch(
        &self,
        entry: SocketAddr,
        file: &str,
        endpoint: &str,
        key: Option<&str>,
    ) -> Result<String, TrialError> {
        let mut req = self.client.post(format!("http://{entry}/v1/batches")).bearer_auth(&self.key);
        if let Some(key) = key {
            req = req.insert_header(("idempotency-key", key.to_owned()));
        }
        let body = json!({"input_file_id": file, "endpoint": endpoint, "completion_window": "24h"});
        let value = read_json("create batch", req.send_json(&body).await).await?;
        parse_id("create batch", &value)
    }

    /// Sends a GET request for `path` and parses the response as JSON.
    pub async fn get_json(&self, entry: SocketAddr, path: &str) -> Result<Value, TrialError> {
        let sent =
            self.client.get(format!("http://{entry}{path}")).bearer_auth(&self.key).send().await;
        read_json("get", sent).await
    }

    /// Sends a POST request without a body to `path` and parses the response as JSON.
    pub async fn post_json(&self, entry: SocketAddr, path: &str) -> Result<Value, TrialError> {
        let sent =
            self.client.post(format!("http://{entry}{path}")).bearer_auth(&self.key).send().await;
        read_json("post", sent).await
    }

    /// Downloads a file and parses each of its lines as JSON.
    pub async fn file_lines(
        &self,
        entry: SocketAddr,
        file: &str,
    ) -> Result<Vec<Value>, TrialError> {
        let sent = self
            .client
            .get(format!("http://{entry}/v1/files/{file}/content"))
            .bearer_auth(&self.key)
            .send()
            .await;
        let body = read_body("content", sent).await?;
        let lines = body.split(|b| *b == b'\n').filter(|l| !l.is_empty());
        lines.map(|l| serde_json::from_slice(l).map_err(|e| call_error("content", e))).collect()
    }
}

/// Returns whether an entry is ready and knows at least `sides` live sides that serve and have
/// applied the entry's bundle.
pub async fn is_ready(entry: SocketAddr, sides: usize) -> bool {
    let client = new_client(1_000);
    let Ok(mut response) = client.get(format!("http://{entry}/status")).send().await else {
        return false;
    };
    let Ok(status) = response.json::<Value>().await else { return false };
    let serving = |s: &&Value| {
        s["live"] == json!(true)
            && s["presence"] == "serving"
            && s["bundle-done"] == status["bundle"]
    };
    let count = status["sides"].as_array().map_or(0, |l| l.iter().filter(serving).count());
    status["ready"] == json!(true) && count >= sides
}

fn no_response_report(started: Instant) -> CallReport {
    let total_ms = started.elapsed().as_secs_f64() * 1_000.0;
    CallReport {
        outcome: CallOutcome::NoAnswer,
        first_byte_ms: total_ms,
        gaps_ms: Vec::new(),
        total_ms,
    }
}

async fn read_full_response(
    mut response: ClientResponse,
    started: Instant,
    is_chat: bool,
) -> CallReport {
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let (reason, run) = (header("x-refusal-reason"), header("x-run-state"));
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let total_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let outcome = match body {
        Err(_) => CallOutcome::NoAnswer,
        Ok(_) if !reason.is_empty() => CallOutcome::Refused { status, reason, run },
        Ok(body) if is_chat => {
            let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            let text = value.pointer("/choices/0/message/content").and_then(Value::as_str);
            CallOutcome::Answered { status, text: text.unwrap_or("").to_owned() }
        }
        Ok(body) => {
            CallOutcome::Answered { status, text: String::from_utf8_lossy(&body).into_owned() }
        }
    };
    CallReport { outcome, first_byte_ms: total_ms, gaps_ms: Vec::new(), total_ms }
}

async fn read_stream(mut response: ClientResponse, started: Instant) -> CallReport {
    let mut first_ms = None;
    let mut gaps_ms = Vec::new();
    let mut last_chunk_at = started;
    let mut text = String::new();
    let mut buf: Vec<u8> = Vec::new();
    let mut done = false;
    let mut cut_reason = None;
    while let Some(Ok(chunk)) = response.next().await {
        let chunk: Bytes = chunk;
        let now = Instant::now();
        match first_ms {
            None => first_ms = Some((now - started).as_secs_f64() * 1_000.0),
            Some(_) => gaps_ms.push((now - last_chunk_at).as_secs_f64() * 1_000.0),
        }
        last_chunk_at = now;
        buf.extend_from_slice(&chunk);
        while let Some(end) = buf.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = buf.drain(..end + 2).collect();
            let data = event.strip_prefix(b"data: ").unwrap_or(&event);
            if data.starts_with(b"[DONE]") {
                done = true;
                continue;
            }
            let value: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
            if let Some(code) = value.pointer("/error/code").and_then(Value::as_str) {
                cut_reason = Some(code.to_owned());
            }
            let content = value.pointer("/choices/0/delta/content").and_then(Value::as_str);
            text.push_str(content.unwrap_or(""));
        }
    }
    let total_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let status = response.status().as_u16();
    let outcome = if done {
        CallOutcome::Answered { status, text }
    } else {
        CallOutcome::Cut { reason: cut_reason }
    };
    CallReport { outcome, first_byte_ms: first_ms.unwrap_or(total_ms), gaps_ms, total_ms }
}

async fn read_body(
    call: &'static str,
    sent: Result<ClientResponse, awc::error::SendRequestError>,
) -> Result<Bytes, TrialError> {
    let mut response = sent.map_err(|e| call_error(call, e))?;
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|e| call_error(call, e))?;
    if status.is_success() {
        Ok(body)
    } else {
        let detail = format!("status {status}: {}", String::from_utf8_lossy(&body));
        Err(TrialError::Call { call, detail })
    }
}

async fn read_json(
    call: &'static str,
    sent: Result<ClientResponse, awc::error::SendRequestError>,
) -> Result<Value, TrialError> {
    let body = read_body(call, sent).await?;
    serde_json::from_slice(&body).map_err(|e| call_error(call, e))
}

fn parse_id(call: &'static str, value: &Value) -> Result<String, TrialError> {
    let id = value.get("id").and_then(Value::as_str);
    id.map(str::to_owned).ok_or_else(|| call_error(call, "the response has no id"))
}

fn call_error(call: &'static str, detail: impl ToString) -> TrialError {
    TrialError::Call { call, detail: detail.to_string() }
}
