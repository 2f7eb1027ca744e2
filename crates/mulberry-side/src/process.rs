//! Puts the side together: sockets, threads, and the graceful stop.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix_rt::Arbiter;
use actix_web::dev::ServerHandle;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use mulberry_policy::fault_injection::InjectedFault;
use mulberry_policy::fault_injection::is_injected;
use mulberry_process::clock::SharedClock;
use mulberry_process::clock::SystemClock;
use mulberry_process::metrics::Metrics;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::admin::start_admin;
use crate::batch::pull_items;
use crate::control::AskStatus;
use crate::control::Leave;
use crate::control::SideControl;
use crate::endpoint::Endpoint;
use crate::error::SideError;
use crate::heartbeat::receive_beats;
use crate::link_server::accept_links;
use crate::orders::follow_bundle;
use crate::orders::watch_health;
use crate::settings::SideSettings;

/// Time between looks at whether everything has ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Time for entries to learn that the side leaves, before an idle side goes.
const FAREWELL: Duration = Duration::from_millis(500);

/// What the threads of the process share.
#[derive(Clone)]
pub(crate) struct Shared {
    pub settings: Arc<SideSettings>,
    pub secrets: SecretKeyring,
    pub metrics: Metrics,
    pub control: Addr<SideControl>,
    pub probe: Arc<Notify>,
    pub news: Arc<Notify>,
    pub stopped: StopSignal,
}

thread_local! {
    static ENDPOINT: RefCell<Vec<(SocketAddr, Endpoint)>> = const { RefCell::new(Vec::new()) };
}

impl Shared {
    /// Returns the calling thread's client of the endpoint.
    pub fn endpoint(&self) -> Endpoint {
        let address = self.settings.endpoint_address;
        ENDPOINT.with_borrow_mut(|known| {
            if let Some((_, endpoint)) = known.iter().find(|(a, _)| *a == address) {
                return endpoint.clone();
            }
            let endpoint = Endpoint::new(address);
            known.push((address, endpoint.clone()));
            endpoint
        })
    }
}

/// A running side.
pub struct SideProcess {
    /// Address for links and heartbeats.
    pub address: SocketAddr,
    /// Address for health and status.
    pub admin_address: SocketAddr,
    /// Counters.
    pub metrics: Metrics,
    shared: Shared,
    admin: ServerHandle,
    arbiters: Vec<Arbiter>,
}

/// Starts a side on its own threads.
pub fn start_side(settings: SideSettings) -> Result<SideProcess, SideError> {
    let secrets = SecretKeyring::parse(&settings.secrets)?;
    let failed = |address| move |source| SideError::Listen { address, source };
    let listener = TcpListener::bind(settings.listen).map_err(failed(settings.listen))?;
    let address = listener.local_addr().map_err(failed(settings.listen))?;
    listener.set_nonblocking(true).map_err(failed(address))?;
    let socket = UdpSocket::bind(address).map_err(failed(address))?;
    socket.set_nonblocking(true).map_err(failed(address))?;
    let admin_listen = settings.admin_listen;
    let admin_listener = TcpListener::bind(admin_listen).map_err(failed(admin_listen))?;
    let admin_address = admin_listener.local_addr().map_err(failed(admin_listen))?;

    let clock: SharedClock = Arc::new(SystemClock::default());
    let metrics = Metrics::new("mulberryshed", settings.statsd);
    let socket = Arc::new(socket);
    let (pulls, pull_orders) = mpsc::unbounded_channel();
    let news = Arc::new(Notify::new());
    let incarnation = rand::random();
    let control_thread = Arbiter::new();
    let state = SideControl::new(
        settings.clone(),
        secrets.clone(),
        clock,
        metrics.clone(),
        socket.clone(),
        incarnation,
        pulls,
        news.clone(),
    );
    let control = SideControl::start_in_arbiter(&control_thread.handle(), move |_| state);
    let shared = Shared {
        settings: Arc::new(settings),
        secrets,
        metrics: metrics.clone(),
        control,
        probe: Arc::new(Notify::new()),
        news,
        stopped: StopSignal::default(),
    };
    let traffic: Vec<Arbiter> =
        (0..shared.settings.threads.max(1)).map(|_| Arbiter::new()).collect();
    start_tasks(&shared, &control_thread, &traffic, listener, socket, pull_orders);
    let admin = start_admin(admin_listener, shared.clone()).map_err(failed(admin_address))?;
    let endpoint = shared.settings.endpoint.as_str();
    log_event!(info, Event::ProcessServing, role = "side", endpoint, %address);
    let mut arbiters = traffic;
    arbiters.push(control_thread);
    Ok(SideProcess { address, admin_address, metrics, shared, admin, arbiters })
}

fn start_tasks(
    shared: &Shared,
    control_thread: &Arbiter,
    traffic: &[Arbiter],
    listener: TcpListener,
    socket: Arc<UdpSocket>,
    pull_orders: mpsc::UnboundedReceiver<crate::control::PullOrder>,
) {
    let handles = traffic.iter().map(Arbiter::handle).collect();
    let (accept, health, bundle) = (shared.clone(), shared.clone(), shared.clone());
    let beats = shared.clone();
    control_thread.spawn_fn(move || {
        actix_rt::spawn(accept_links(listener, accept, handles));
        actix_rt::spawn(watch_health(health));
        actix_rt::spawn(follow_bundle(bundle));
        actix_rt::spawn(receive_beats(
            socket,
            beats.secrets,
            beats.control,
            beats.metrics,
            beats.stopped,
        ));
    });
    let pulls = shared.clone();
    if let Some(thread) = traffic.first() {
        thread.spawn_fn(move || {
            actix_rt::spawn(pull_items(pull_orders, pulls));
        });
    }
}

impl SideProcess {
    /// Stops gracefully: says so to the entries, ends what runs, then ends the process's threads.
    pub async fn stop(self) {
        if is_injected(InjectedFault::StopWithoutDrain) {
            return self.kill().await;
        }
        let endpoint = self.shared.settings.endpoint.as_str();
        log_event!(info, Event::ProcessStopping, role = "side", endpoint);
        self.shared.control.do_send(Leave);
        tokio::time::sleep(FAREWELL).await;
        let drain = Duration::from_millis(self.shared.settings.drain_ms);
        let end = tokio::time::Instant::now() + drain;
        while tokio::time::Instant::now() < end {
            let status = self.shared.control.send(AskStatus).await;
            if status.is_err() || status.is_ok_and(|s| s.idle && s.held_online == 0) {
                break;
            }
            tokio::time::sleep(DRAIN_LOOK).await;
        }
        // Answers that are written but not yet sent get a moment.
        tokio::time::sleep(DRAIN_LOOK).await;
        self.kill().await;
        log_event!(info, Event::ProcessStopped, role = "side");
    }

    /// Blocks the control thread, as if its VM were paused.
    pub fn pause(&self, span: Duration) {
        if let Some(control) = self.arbiters.last() {
            control.spawn_fn(move || std::thread::sleep(span));
        }
    }

    /// Ends at once, as a crash would.
    pub async fn kill(self) {
        self.shared.stopped.trigger();
        self.admin.stop(false).await;
        for arbiter in self.arbiters {
            arbiter.stop();
            // A thread that panicked has ended too.
            let _ended = arbiter.join();
        }
    }
}
