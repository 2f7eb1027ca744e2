//! The platform's list of VMs, which shows changes late.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use xxhash_rust::xxh3::xxh3_64;

use mulberry_platform::vm_list::Vm;
use mulberry_platform::vm_list::VmListDocument;

use crate::server::RunningServer;
use crate::server::StandinError;
use crate::server::start_server;

struct ListState {
    lag: Duration,
    history: Vec<(Instant, Vec<Vm>)>,
}

/// A list that can be shared among threads.
#[derive(Clone)]
pub struct SharedVmList {
    state: Arc<Mutex<ListState>>,
}

impl SharedVmList {
    /// Makes a list that shows its first content at once and later changes after `lag_ms`.
    pub fn new(vms: Vec<Vm>, lag_ms: u64) -> Self {
        let lag = Duration::from_millis(lag_ms);
        let shown = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let state = ListState { lag, history: vec![(shown, vms)] };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Changes the list; callers see it after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.history.push((Instant::now(), vms));
    }

    /// Returns the list as callers see it now.
    pub fn visible(&self) -> Vec<Vm> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let lag = state.lag;
        let visible = state.history.iter().rposition(|(at, _)| at.elapsed() >= lag).unwrap_or(0);
        state.history.drain(..visible);
        state.history.first().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }
}

/// Starts the list's API.
pub fn start_vm_list(
    listen: SocketAddr,
    host: SharedVmList,
) -> Result<RunningServer, StandinError> {
    start_server(listen, 1, move |cfg| {
        cfg.app_data(web::Data::new(host.clone()))
            .route("/vms", web::get().to(show))
            .route("/vms", web::put().to(change));
    })
}

async fn show(host: web::Data<SharedVmList>, req: HttpRequest) -> HttpResponse {
    let document = VmListDocument { vms: host.visible() };
    let Ok(body) = serde_json::to_vec(&document) else {
        return HttpResponse::InternalServerError().finish();
    };
    let etag = format!("\"{:016x}\"", xxh3_64(&body));
    let known = req.headers().get("if-none-match").and_then(|v| v.to_str().ok());
    if known == Some(&etag) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok().insert_header(("etag", etag)).content_type("application/json").body(body)
}

async fn change(host: web::Data<SharedVmList>, body: web::Json<VmListDocument>) -> HttpResponse {
    host.set(body.into_inner().vms);
    HttpResponse::Ok().finish()
}
