//! HTTP client of the endpoint: requests, health checks and engine control calls.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use hyper::header::CONTENT_TYPE;
use serde::Deserialize;
use serde_json::json;

use mulberry_platform::http_client::HttpClient;
use mulberry_platform::http_client::HttpError;
use mulberry_platform::http_client::HttpResponse;
use mulberry_platform::http_client::request;
use mulberry_protocol::link::Dispatch;

/// Time allowed for the head of a response to a request, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 600_000;

/// Time allowed for a health check or an engine control call, in milliseconds.
const CONTROL_CALL_TIMEOUT_MS: u64 = 1_000;

/// Response of the endpoint, whose body is read as a stream of parts.
pub(crate) type EndpointResponse = HttpResponse;

/// HTTP client of the endpoint. It can't move between threads, so each thread has its own.
#[derive(Clone)]
pub(crate) struct EndpointClient {
    client: HttpClient,
    base: String,
}

/// Name and version of a model that is loaded and ready on the engine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct ReadyModel {
    pub model: String,
    pub version: String,
}

/// Response of the engine to `GET /engine/orders`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct OrdersReport {
    /// Highest fencing number of any order that the engine has received.
    pub highest: u64,
    pub ready: Vec<ReadyModel>,
}

/// Response of the engine to `POST /engine/cancel`.
#[derive(Deserialize)]
struct CancelReport {
    /// Handle with which the request can be resumed.
    resume: String,
}

/// Outcome of an order to load or unload a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    CarriedOut,
    /// The engine has received an order with a higher fencing number.
    RefusedAsOld,
    Failed,
}

impl EndpointClient {
    /// Creates a client of the endpoint at `address`. Connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(RESPONSE_TIMEOUT_MS), base: format!("http://{address}") }
    }

    /// Sends a request under an identifier, `id`, by which the engine can cancel it and
    /// records can be searched. `resume` is the handle of a cancelled run and the number of tokens
    /// already received from it.
    pub async fn send(
        &self,
        dispatch: &Dispatch,
        id: &str,
        body: Bytes,
        resume: Option<(&str, u32)>,
    ) -> Result<EndpointResponse, HttpError> {
        let method = Method::from_bytes(dispatch.method.as_bytes()).unwrap_or(Method::POST);
        let url = format!("{}{}", self.base, dispatch.path);
        let mut req = request(method, &url).header("x-request-id", id);
        if !dispatch.content_type.is_empty() {
            req = req.header(CONTENT_TYPE, dispatch.content_type.as_str());
        }
        if let Some((handle, tokens)) = resume {
            req = req.header("x-resume", handle);
            req = req.header("x-resume-from", tokens);
        }
        self.client.send(req, body).await
    }

    fn control_client(&self) -> HttpClient {
        self.client.with_timeout(CONTROL_CALL_TIMEOUT_MS)
    }

    /// Cancels a request on the engine. Returns the handle to resume it, or none if the call
    /// failed.
    pub async fn cancel(&self, id: &str) -> Option<String> {
        let req = request(Method::POST, &format!("{}/engine/cancel", self.base));
        let sent = self.control_client().send_json(req, &json!({"request": id})).await;
        let response = sent.ok()?;
        let report: CancelReport = response.json().await.ok()?;
        Some(report.resume)
    }

    /// Returns whether the endpoint answers its health check with success.
    pub async fn is_healthy(&self) -> bool {
        let req = request(Method::GET, &format!("{}/health", self.base));
        let sent = self.control_client().send(req, Bytes::new()).await;
        sent.is_ok_and(|r| r.status().is_success())
    }

    /// Returns the models that the engine holds and the highest fencing number it has received, or
    /// none if the call failed.
    pub async fn get_orders(&self) -> Option<OrdersReport> {
        let req = request(Method::GET, &format!("{}/engine/orders", self.base));
        let sent = self.control_client().send(req, Bytes::new()).await;
        sent.ok()?.json().await.ok()
    }

    /// Orders the engine to load or unload a model. The engine refuses the order if it has received
    /// one with a higher fencing number.
    pub async fn send_order(
        &self,
        fence: u64,
        action: &str,
        model: &str,
        version: &str,
    ) -> OrderOutcome {
        let order = json!({"fence": fence, "action": action, "model": model, "version": version});
        let req = request(Method::POST, &format!("{}/engine/orders", self.base));
        let sent = self.control_client().send_json(req, &order).await;
        match sent.map(|r| r.status().as_u16()) {
            Ok(200..=299) => OrderOutcome::CarriedOut,
            Ok(409) => OrderOutcome::RefusedAsOld,
            _ => OrderOutcome::Failed,
        }
    }
}
