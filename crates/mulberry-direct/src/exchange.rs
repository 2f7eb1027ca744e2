//! One request to one endpoint and its answer, with the checks that an answer belongs to it.

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
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use thiserror::Error;

use crate::connection::Connection;
use crate::connection::ConnectionPool;
use crate::connection::SendError;
use crate::dialect::HeaderNames;

/// Most times that a connection which ended unused is replaced by another.
const MAX_STALE: u32 = 3;

/// Why an exchange with an endpoint failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request never left.
    #[error("not sent: {detail}")]
    NotSent {
        /// What went wrong.
        detail: String,
    },
    /// The endpoint did not run the request.
    #[error("the endpoint answered {status} without running the request")]
    NotRun {
        /// The status.
        status: StatusCode,
    },
    /// The connection broke, or the answer was not one; the request may have run.
    #[error("broken: {detail}")]
    Broken {
        /// What went wrong.
        detail: String,
    },
}

/// The head of an answer, with its body to follow.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// Headers without those that concern one connection.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    address: SocketAddr,
    keep: Option<Duration>,
    reusable: bool,
    pool: ConnectionPool,
}

impl Answer {
    /// Returns the next part of the body, or none at its end. The connection is then kept.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return Ok(Some(part));
                    }
                }
                Some(Err(e)) => {
                    self.connection = None;
                    return Err(ExchangeError::Broken { detail: e.to_string() });
                }
                None => {
                    self.keep_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body, at most `max_bytes` of it.
    pub async fn read_all(&mut self, max_bytes: usize) -> Result<Bytes, ExchangeError> {
        let Some(first) = self.next_part().await? else { return Ok(Bytes::new()) };
        let mut whole = BytesMut::from(first);
        while let Some(part) = self.next_part().await? {
            whole.extend_from_slice(&part);
            if whole.len() > max_bytes {
                self.connection = None;
                return Err(ExchangeError::Broken { detail: "the answer is too long".to_owned() });
            }
        }
        Ok(whole.freeze())
    }

    fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.reusable) {
            self.pool.put(self.address, connection, self.keep);
        }
    }
}

/// A request to an endpoint.
#[derive(Debug)]
pub struct EndpointRequest {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// The request with all headers.
    pub req: Request<Full<Bytes>>,
    /// Identifier that the answer must repeat.
    pub request_id: HeaderValue,
}

/// Sends a request and returns the head of the answer that belongs to it.
pub async fn exchange(
    pool: &ConnectionPool,
    names: &HeaderNames,
    request: EndpointRequest,
) -> Result<Answer, ExchangeError> {
    let EndpointRequest { address, req, request_id } = request;
    let mut stale = 0;
    let (connection, response) = loop {
        let mut connection = pool.take(address).await.map_err(|e| not_sent(&e))?;
        match connection.send(req.clone()).await {
            Ok(response) => break (connection, response),
            Err(SendError::NotSent) if stale < MAX_STALE => stale += 1,
            Err(e @ (SendError::NotSent | SendError::Connect { .. })) => return Err(not_sent(&e)),
            Err(e) => return Err(ExchangeError::Broken { detail: e.to_string() }),
        }
    };
    let (head, body) = response.into_parts();
    let status = head.status;
    let mut headers = head.headers;
    let foreign = headers.get(&names.request_id).is_some_and(|id| *id != request_id);
    if foreign {
        pool.clear(address);
        return Err(ExchangeError::Broken {
            detail: "the answer is to another request".to_owned(),
        });
    }
    let refused = headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    let reusable = !says_close(&headers) && head.version == hyper::Version::HTTP_11;
    let keep = keep_alive(&headers);
    strip_hop_headers(&mut headers);
    let mut answer = Answer {
        status,
        headers,
        body,
        connection: Some(connection),
        address,
        keep,
        reusable,
        pool: pool.clone(),
    };
    if refused {
        // Reading the rest keeps the connection; what it says does not matter.
        let _rest = answer.read_all(MAX_REFUSAL_BYTES).await;
        return Err(ExchangeError::NotRun { status });
    }
    if !answer.headers.contains_key(&names.request_id) && status.is_success() {
        return Err(ExchangeError::Broken { detail: "the answer names no request".to_owned() });
    }
    Ok(answer)
}

/// Largest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Removes the headers that concern one connection only.
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

/// Headers that concern one connection.
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

fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns the time for which the peer keeps an idle connection, less a second for the way.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse().ok());
    Some(Duration::from_secs(seconds?).saturating_sub(Duration::from_millis(700)))
}

fn not_sent(error: &SendError) -> ExchangeError {
    ExchangeError::NotSent { detail: error.to_string() }
}
