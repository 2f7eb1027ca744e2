//! Stand-in for the platform's list of VMs, which shows changes with a delay.

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
    /// Delay until readers see a change.
    lag: Duration,
    /// Versions of the list with the time of each change, oldest first. The first one is visible.
    history: Vec<(Instant, Vec<Vm>)>,
}

/// State of a list of VMs, shared by its server and the test that changes it.
#[derive(Clone)]
pub struct SharedVmList {
    state: Arc<Mutex<ListState>>,
}

impl SharedVmList {
    /// Creates a list that shows its initial content at once and later changes after `lag_ms`.
    pub fn new(vms: Vec<Vm>, lag_ms: u64) -> Self {
        let lag = Duration::from_millis(lag_ms);
        let changed_at = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let state = ListState { lag, history: vec![(changed_at, vms)] };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Replaces the list. Readers see the change after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.history.push((Instant::now(), vms));
    }

    /// Returns the list as readers see it now.
    pub fn visible(&self) -> Vec<Vm> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let lag = state.lag;
        let newest_visible =
            state.history.iter().rposition(|(at, _)| at.elapsed() >= lag).unwrap_or(0);
        state.history.drain(..newest_visible);
        state.history.first().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }
}

/// Starts the list's server.
pub fn start_vm_list(
    listen: SocketAddr,
    list: SharedVmList,
) -> Result<RunningServer, StandinError> {
    start_server(listen, 1, move |cfg| {
        cfg.app_data(web::Data::new(list.clone()))
            .route("/vms", web::get().to(read))
            .route("/vms", web::put().to(replace));
    })
}

async fn read(list: web::Data<SharedVmList>, req: HttpRequest) -> HttpResponse {
    let document = VmListDocument { vms: list.visible() };
    let Ok(body) = serde_json::to_vec(&document) else {
        return HttpResponse::InternalServerError().finish();
    };
    let etag = format!("\"{:016x}\"", xxh3_64(&body));
    let known_etag = req.headers().get("if-none-match").and_then(|v| v.to_str().ok());
    if known_etag == Some(&etag) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok().insert_header(("etag", etag)).content_type("application/json").body(body)
}

async fn replace(list: web::Data<SharedVmList>, body: web::Json<VmListDocument>) -> HttpResponse {
    list.set(body.into_inner().vms);
    HttpResponse::Ok().finish()
}
