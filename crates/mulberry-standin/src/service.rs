//! A plain service that records every call.

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

/// One call that the service ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallRecord {
    /// The identifier given by the sender.
    pub request: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The body, as text.
    pub body: String,
}

/// Faults of the service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ServiceFaults {
    /// Time that each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Whether answers are dropped after the call ran.
    pub drop_answers: bool,
}

#[derive(Default)]
struct ServiceState {
    calls: Vec<CallRecord>,
    faults: ServiceFaults,
}

/// A plain service that can be shared among threads.
#[derive(Clone, Default)]
pub struct SharedService {
    state: Arc<Mutex<ServiceState>>,
}

impl SharedService {
    /// Counts the calls of each body.
    pub fn count_bodies(&self) -> std::collections::HashMap<String, usize> {
        let mut counts = std::collections::HashMap::new();
        for call in &self.lock().calls {
            *counts.entry(call.body.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns every call.
    pub fn calls(&self) -> Vec<CallRecord> {
        self.lock().calls.clone()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct AnswerDropped;

impl std::fmt::Display for AnswerDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was dropped")
    }
}

impl std::error::Error for AnswerDropped {}

/// Starts the service.
pub fn start_service(
    listen: SocketAddr,
    host: SharedService,
) -> Result<RunningServer, StandinError> {
    start_server(listen, 1, move |cfg| {
        cfg.app_data(web::Data::new(host.clone()))
            .route("/health", web::get().to(HttpResponse::Ok))
            .route("/service/record", web::get().to(record))
            .route("/service/faults", web::post().to(set_faults))
            .default_service(web::to(call));
    })
}

async fn call(host: web::Data<SharedService>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let request = req.headers().get("x-request-id").and_then(|v| v.to_str().ok());
    let path = req.uri().path_and_query().map_or("", |p| p.as_str()).to_owned();
    let record = CallRecord {
        request: request.unwrap_or("unnamed").to_owned(),
        method: req.method().to_string(),
        path: path.clone(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let (number, faults) = {
        let mut state = host.lock();
        state.calls.push(record);
        (state.calls.len(), state.faults.clone())
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.drop_answers {
        let cut = futures_util::stream::once(async { Err::<Bytes, _>(AnswerDropped) });
        return HttpResponse::Ok().streaming(cut);
    }
    let echo = String::from_utf8_lossy(&body);
    HttpResponse::Ok().json(json!({"call": number, "path": path, "echo": echo}))
}

async fn record(host: web::Data<SharedService>) -> HttpResponse {
    HttpResponse::Ok().json(host.calls())
}

async fn set_faults(
    host: web::Data<SharedService>,
    body: web::Json<ServiceFaults>,
) -> HttpResponse {
    host.set_faults(body.into_inner());
    HttpResponse::Ok().finish()
}
