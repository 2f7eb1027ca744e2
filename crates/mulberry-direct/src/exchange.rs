//! Exchanges one request and response with an endpoint, and checks that the response belongs to the
//! request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use thiserror::Error;

use mulberry_platform::http::FINAL_STATUSES;
use mulberry_policy::response_match::RepeatedId;
use mulberry_policy::response_match::ResponseMatch;
use mulberry_policy::stream_end::BodyFraming;
use mulberry_policy::stream_end::StreamPosition;

use crate::connection::BreakCause;
use crate::connection::Connection;
use crate::connection::ConnectionPool;
use crate::connection::SendError;
use crate::connection::body_framing;
use crate::dialect::HeaderNames;
use crate::endpoint_notice::EndpointNotice;
use crate::endpoint_notice::read_notice;

/// Maximum number of closed idle connections that one exchange replaces by another connection.
const MAX_STALE_CONNECTIONS: u32 = 3;

/// Most parts of a body that is read whole. Parts of a byte each would take the processor for far longer than
/// as many bytes in large ones.
const MAX_BODY_PARTS: u32 = 100_000;

/// Why an exchange with an endpoint failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request was not sent.
    #[error("the request was not sent: {detail}")]
    NotSent {
        /// Cause of the failure.
        detail: String,
    },
    /// The endpoint responded that it did not run the request.
    #[error(
        "the endpoint answered {status} without running the request \
         (request ID: {}, kept connection: {})", matched.id.as_str(), matched.is_kept
    )]
    NotRun {
        /// HTTP status of the response.
        status: StatusCode,
        /// What says that the response belongs to the request.
        matched: ResponseMatch,
        /// What it said of itself.
        notice: EndpointNotice,
    },
    /// The connection broke or the response was invalid; the request may have run.
    #[error("the exchange failed: {detail}")]
    Broken {
        /// How it broke.
        cause: BreakCause,
        /// Cause of the failure, for people.
        detail: String,
    },
}

impl ExchangeError {
    /// Returns whether the endpoint ended the connection while it had the request, as when it
    /// crashes.
    pub fn is_crash(&self) -> bool {
        matches!(self, ExchangeError::Broken { cause: BreakCause::Ended, .. })
    }

    /// Returns the error for a stream that its endpoint broke off by ending it at this position.
    pub fn broken_off(position: StreamPosition) -> Self {
        let detail = format!("the stream ended at position {}", position.as_str());
        Self::Broken { cause: BreakCause::Ended, detail }
    }

    /// Returns the error for a response that is not valid.
    pub fn invalid(detail: impl Into<String>) -> Self {
        Self::Broken { cause: BreakCause::Invalid, detail: detail.into() }
    }
}

/// A response whose head has arrived and whose body is read by chunks.
#[derive(Debug)]
pub struct EndpointResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Time for which connections to the endpoint had been held when the request was sent, in
    /// milliseconds.
    pub held_ms: u64,
    /// What the endpoint says of itself.
    pub notice: EndpointNotice,
    /// What says where the body ends.
    pub framing: BodyFraming,
    body: Incoming,
    connection: Option<Connection>,
    address: SocketAddr,
    keep_alive: Option<Duration>,
    reusable: bool,
    pool: ConnectionPool,
}

impl EndpointResponse {
    /// Returns the next chunk of the body, or `None` at its end, when the connection returns to the
    /// pool.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    self.pool.record_heard(self.address);
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
                Some(Err(e)) => {
                    self.connection = None;
                    let cause = BreakCause::of(&e);
                    return Err(ExchangeError::Broken { cause, detail: e.to_string() });
                }
                None => {
                    self.return_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Returns whether the body is a stream of events. One that states no type is taken for it.
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        content_type.is_none_or(|t| t.trim_start().starts_with(EVENT_STREAM_TYPE))
    }

    /// Reads the whole body. Fails if it is longer than `max_bytes`.
    pub async fn read_all(&mut self, max_bytes: usize) -> Result<Bytes, ExchangeError> {
        let Some(first) = self.next_chunk().await? else { return Ok(Bytes::new()) };
        let mut buffered = self.pool.count_buffered();
        let mut has_room = buffered.add(first.len());
        let mut whole = BytesMut::from(first);
        let mut parts = 1;
        while let Some(chunk) = self.next_chunk().await? {
            has_room &= buffered.add(chunk.len());
            whole.extend_from_slice(&chunk);
            parts += 1;
            let detail = match has_room {
                false => "too many response bodies are too long".to_owned(),
                true if whole.len() > max_bytes => {
                    format!("the response body exceeds {max_bytes} bytes")
                }
                true if parts > MAX_BODY_PARTS => {
                    format!("the response body has more than {MAX_BODY_PARTS} parts")
                }
                true => continue,
            };
            self.connection = None;
            return Err(ExchangeError::invalid(detail));
        }
        Ok(whole.freeze())
    }

    /// Closes the connection, so that the endpoint stops.
    pub fn abandon(&mut self) {
        self.connection = None;
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.reusable) {
            self.pool.put(self.address, connection, self.keep_alive);
        }
    }
}

/// Media type of a stream of events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// A request that is ready to be sent to an endpoint.
#[derive(Debug)]
pub struct EndpointRequest {
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// The HTTP request with all its headers.
    pub req: Request<Full<Bytes>>,
    /// Request ID that the response must repeat.
    pub request_id: HeaderValue,
    /// Time for which connections to the address must have been held, in milliseconds, so that the
    /// request reaches no other process than the one behind them.
    pub min_held_ms: Option<u64>,
}

/// Sends a request and returns its response once the head has arrived. The response must repeat the
/// request ID.
pub async fn exchange(
    pool: &ConnectionPool,
    names: &HeaderNames,
    request: EndpointRequest,
) -> Result<EndpointResponse, ExchangeError> {
    let EndpointRequest { address, req, request_id, min_held_ms } = request;
    let mut stale = 0;
    let (mut connection, response, held_ms) = loop {
        let taken = pool.take_for(address, &request_id).await;
        let mut connection = taken.map_err(|e| not_sent(&e))?;
        let held_ms = pool.held_ms(address).unwrap_or(0);
        if min_held_ms.is_some_and(|min| held_ms < min) {
            let detail = "the endpoint has ended the connections that were held to it".to_owned();
            return Err(ExchangeError::NotSent { detail });
        }
        match connection.send(req.clone()).await {
            Ok(response) => break (connection, response, held_ms),
            Err(SendError::NotSent) if stale < MAX_STALE_CONNECTIONS => stale += 1,
            Err(e @ (SendError::NotSent | SendError::Connect { .. })) => return Err(not_sent(&e)),
            Err(SendError::Broken { source }) => {
                let cause = BreakCause::of(&source);
                let detail = SendError::Broken { source }.to_string();
                return Err(ExchangeError::Broken { cause, detail });
            }
        }
    };
    pool.record_heard(address);
    let (head, body) = response.into_parts();
    let status = head.status;
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        // What the endpoint has done nobody knows, nor what else it sends. The connection is closed.
        return Err(ExchangeError::invalid(format!("{} is no final status", status.as_u16())));
    }
    let mut headers = head.headers;
    let id = match headers.get(&names.request_id) {
        Some(id) if *id == request_id => RepeatedId::Same,
        Some(_) => RepeatedId::Other,
        None => RepeatedId::Missing,
    };
    let matched = ResponseMatch { id, is_kept: connection.record_response() };
    if !matched.is_certain() {
        pool.clear(address);
        let detail = match id {
            RepeatedId::Other => "the response has the ID of another request",
            RepeatedId::Same | RepeatedId::Missing => "a response without an ID may be a copy",
        };
        return Err(ExchangeError::invalid(detail));
    }
    let not_run = headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    let notice = read_notice(names, status, not_run, &headers);
    let reusable = !has_connection_close(&headers)
        && head.version == hyper::Version::HTTP_11
        && matched.is_copy_recognized();
    if !status.is_success() {
        connection.record_failed(&request_id);
    }
    let keep_alive = parse_keep_alive(&headers);
    let framing = body_framing(&headers);
    if !reusable || framing == BodyFraming::Connection {
        connection.expect_close();
    }
    strip_hop_headers(&mut headers);
    let mut response = EndpointResponse {
        status,
        headers,
        held_ms,
        notice,
        framing,
        body,
        connection: Some(connection),
        address,
        keep_alive,
        reusable,
        pool: pool.clone(),
    };
    if not_run {
        // The body is read only so that the connection can be reused.
        let _rest = response.read_all(MAX_REFUSAL_BYTES).await;
        return Err(ExchangeError::NotRun { status, matched, notice });
    }
    if id == RepeatedId::Missing && status.is_success() {
        return Err(ExchangeError::invalid("the response has no request ID"));
    }
    Ok(response)
}

/// Largest body that is read from a response whose request did not run, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(*name);
    }
}

/// Hop-by-hop headers, and `Content-Length`, which the HTTP library computes anew for each message.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns the time for which the peer keeps an idle connection open, less 700 ms so that no
/// request is on its way when the peer closes it.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse().ok());
    Some(Duration::from_secs(seconds?).saturating_sub(Duration::from_millis(700)))
}

fn not_sent(error: &SendError) -> ExchangeError {
    ExchangeError::NotSent { detail: error.to_string() }
}
