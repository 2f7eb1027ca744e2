//! HTTP client for answers that must be whole: a body that breaks off before the end that its length or its
//! chunks announce is an error.

use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::TryFutureExt;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use miette::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tower_service::Service;

use crate::client_socket::ClientSocket;
use crate::http::CONNECT_TIMEOUT_MS;
use crate::http::CONNECTIONS_PER_HOST;
use crate::http::FINAL_STATUSES;
use crate::http::KEEP_ALIVE_TIMEOUT_MS;

/// Largest body of an answer that is parsed as JSON, in bytes.
const MAX_JSON_BYTES: usize = 4 * 1024 * 1024;

/// Why a call got no whole answer.
#[derive(Debug, Error, Diagnostic)]
pub enum HttpError {
    /// The request can't be made of its parts; nothing was sent.
    #[error("the request is not valid: {0}")]
    Request(#[from] hyper::http::Error),
    /// The request's body can't be encoded, or that of the answer not decoded.
    #[error("the JSON is not valid: {0}")]
    Json(#[from] serde_json::Error),
    /// No answer came, or its head broke off.
    #[error("no answer: {0}")]
    NoAnswer(#[from] hyper_util::client::legacy::Error),
    /// The status is none that ends an exchange.
    #[error("{status} is no final status")]
    NoFinalStatus {
        /// The status.
        status: u16,
    },
    /// The body broke off.
    #[error("the answer broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
    /// The body is longer than what is read of it.
    #[error("the answer exceeds {max_bytes} bytes")]
    TooLarge {
        /// Most bytes that are read.
        max_bytes: usize,
    },
    /// The body broke off, or can't be read for another reason.
    #[error("the answer can't be read: {detail}")]
    Unreadable {
        /// Cause of the failure.
        detail: String,
    },
    /// The answer took too long.
    #[error("no answer in time")]
    TimedOut,
}

/// Returns a builder for a request.
pub fn request(method: Method, url: &str) -> hyper::http::request::Builder {
    Request::builder().method(method).uri(url)
}

/// Opens connections whose ends are looked at while a request is still being written.
#[derive(Debug, Clone)]
struct SocketConnector {
    connector: HttpConnector,
}

impl Service<Uri> for SocketConnector {
    type Response = TokioIo<ClientSocket>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, server: Uri) -> Self::Future {
        let connecting = self.connector.call(server);
        let socket = |io: TokioIo<TcpStream>| ClientSocket::new(io.into_inner(), None);
        connecting.map_ok(move |io| TokioIo::new(socket(io))).boxed()
    }
}

/// A client with idle connections of its own, for use on one thread.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<SocketConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client that does not follow redirects and waits for the head of an answer for `timeout_ms`.
    pub fn new(timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(KEEP_ALIVE_TIMEOUT_MS))
            .pool_max_idle_per_host(CONNECTIONS_PER_HOST)
            .build(SocketConnector { connector });
        Self { client, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Returns the same client with another time to wait for the head of an answer, in milliseconds.
    pub fn with_timeout(&self, timeout_ms: u64) -> Self {
        Self { client: self.client.clone(), timeout: Duration::from_millis(timeout_ms) }
    }

    /// Sends a request and returns its answer once the head is there. To drop the answer, or the call
    /// before, closes the connection.
    pub async fn send(
        &self,
        request: hyper::http::request::Builder,
        body: Bytes,
    ) -> Result<HttpResponse, HttpError> {
        let request = request.body(Full::new(body))?;
        let sent = timeout(self.timeout, self.client.request(request)).await;
        let response = sent.map_err(|_| HttpError::TimedOut)??;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(HttpError::NoFinalStatus { status });
        }
        Ok(HttpResponse { response, timeout: self.timeout })
    }

    /// Sends a request whose body is JSON.
    pub async fn send_json(
        &self,
        request: hyper::http::request::Builder,
        body: &impl Serialize,
    ) -> Result<HttpResponse, HttpError> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        self.send(request.header(CONTENT_TYPE, "application/json"), body).await
    }
}

/// An answer whose head is there.
#[derive(Debug)]
pub struct HttpResponse {
    response: Response<Incoming>,
    /// Time for the whole body, if it is read at once.
    timeout: Duration,
}

impl HttpResponse {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Returns the next part of the body, or none behind its end.
    pub async fn next(&mut self) -> Option<Result<Bytes, HttpError>> {
        loop {
            match self.response.body_mut().frame().await? {
                Ok(frame) => {
                    if let Ok(part) = frame.into_data() {
                        return Some(Ok(part));
                    }
                }
                Err(e) => return Some(Err(e.into())),
            }
        }
    }

    /// Reads the whole body. Fails if it is longer than `max_bytes`, breaks off, or takes longer than the
    /// client waits for a head.
    pub async fn read(self, max_bytes: usize) -> Result<Bytes, HttpError> {
        let body = Limited::new(self.response.into_body(), max_bytes);
        let read = timeout(self.timeout, body.collect()).await;
        match read.map_err(|_| HttpError::TimedOut)? {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => Err(HttpError::TooLarge { max_bytes }),
            Err(e) => Err(HttpError::Unreadable { detail: e.to_string() }),
        }
    }

    /// Reads the whole body as JSON.
    pub async fn json<T: DeserializeOwned>(self) -> Result<T, HttpError> {
        Ok(serde_json::from_slice(&self.read(MAX_JSON_BYTES).await?)?)
    }
}
