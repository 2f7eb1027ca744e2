//! Stand-in for a plain service. It records every call and echoes the body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::server::RunningServer;
use crate::server::StandinError;
use crate::server::start_server;

/// A call that the service received.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallRecord {
    /// Value of the caller's `x-request-id` header, or `unnamed`.
    pub request: String,
    /// HTTP method of the call.
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    /// Body of the call, with invalid UTF-8 replaced.
    pub body: String,
}

/// Faults that can be injected while the service runs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServiceFaults {
    /// Time that each call takes, in milliseconds, after it was recorded.
    pub delay_ms: u64,
    /// Whether the connection breaks instead of a response, after the call was recorded.
    pub drop_answers: bool,
}

#[derive(Default)]
struct ServiceState {
    calls: Vec<CallRecord>,
    faults: ServiceFaults,
}

/// State of a plain service, shared by its server and the test that runs it.
#[derive(Clone, Default)]
pub struct SharedService {
    state: Arc<Mutex<ServiceState>>,
}

impl SharedService {
    /// Returns the number of calls with each body.
    pub fn calls_per_body(&self) -> std::collections::HashMap<String, usize> {
        let mut counts = std::collections::HashMap::new();
        for call in &self.lock().calls {
            *counts.entry(call.body.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns every call, in the order of arrival.
    pub fn calls(&self) -> Vec<CallRecord> {
        self.lock().calls.clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Error that breaks off the body of a response.
#[derive(Debug)]
struct ResponseDropped;

impl std::fmt::Display for ResponseDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was dropped")
    }
}

impl std::error::Error for ResponseDropped {}

/// Starts the service's server. It records as a call every request except those to `/health` and
/// to the routes for the record and the faults.
pub fn start_service(
    listen: SocketAddr,
    service: SharedService,
) -> Result<RunningServer, StandinError> {
    start_server(listen, 1, move |cfg| {
        cfg.app_data(web::Data::new(service.clone()))
            .route("/health", web::get().to(HttpResponse::Ok))
            .route("/service/record", web::get().to(list_calls))
            .route("/service/faults", web::post().to(set_faults))
            .default_service(web::to(call));
    })
}

async fn call(service: web::Data<SharedService>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let request_id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok());
    let path = req.uri().path_and_query().map_or("", |p| p.as_str()).to_owned();
    let record = CallRecord {
        request: request_id.unwrap_or("unnamed").to_owned(),
        method: req.method().to_string(),
        path: path.clone(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let (number, faults) = {
        let mut state = service.lock();
        state.calls.push(record);
        (state.calls.len(), state.faults.clone())
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.drop_answers {
        let dropped = futures_util::stream::once(async { Err::<Bytes, _>(ResponseDropped) });
        return HttpResponse::Ok().streaming(dropped);
    }
    let echo = String::from_utf8_lossy(&body);
    HttpResponse::Ok().json(json!({"call": number, "path": path, "echo": echo}))
}

async fn list_calls(service: web::Data<SharedService>) -> HttpResponse {
    HttpResponse::Ok().json(service.calls())
}

async fn set_faults(
    service: web::Data<SharedService>,
    body: web::Json<ServiceFaults>,
) -> HttpResponse {
    service.set_faults(body.into_inner());
    HttpResponse::Ok().finish()
}
