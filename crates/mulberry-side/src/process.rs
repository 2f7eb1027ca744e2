//! Starts a side's sockets, threads and tasks, and stops them gracefully.

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
use crate::control::GetStatus;
use crate::control::Leave;
use crate::control::SideControl;
use crate::endpoint::EndpointClient;
use crate::error::SideError;
use crate::heartbeat::receive_heartbeats;
use crate::link_server::accept_links;
use crate::orders::sync_bundle;
use crate::orders::watch_health;
use crate::settings::SideSettings;

/// Time between checks whether every request has ended, and the time left after the last check for
/// responses to be sent.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which even an idle side keeps running after it told the entries that it leaves, so that
/// they stop sending it requests first.
const LEAVE_NOTICE_DELAY: Duration = Duration::from_millis(500);

/// State shared by the threads of the process.
#[derive(Clone)]
pub(crate) struct Shared {
    pub settings: Arc<SideSettings>,
    pub secrets: SecretKeyring,
    pub metrics: Metrics,
    pub control: Addr<SideControl>,
    /// Notified when the health of the endpoint must be checked at once.
    pub health_probe: Arc<Notify>,
    /// Notified when a newer bundle was announced or put in force.
    pub bundle_notify: Arc<Notify>,
    pub stop: StopSignal,
}

thread_local! {
    /// Clients that this thread has created, each with the endpoint's address.
    static ENDPOINTS: RefCell<Vec<(SocketAddr, EndpointClient)>> =
        const { RefCell::new(Vec::new()) };
}

impl Shared {
    /// Returns the calling thread's client of the endpoint, and creates it on the first call.
    pub fn endpoint(&self) -> EndpointClient {
        let address = self.settings.endpoint_address;
        ENDPOINTS.with_borrow_mut(|endpoints| {
            if let Some((_, endpoint)) = endpoints.iter().find(|(a, _)| *a == address) {
                return endpoint.clone();
            }
            let endpoint = EndpointClient::new(address);
            endpoints.push((address, endpoint.clone()));
            endpoint
        })
    }
}

/// A running side, with the threads it started.
pub struct SideProcess {
    /// Address bound for links (TCP) and heartbeats (UDP).
    pub address: SocketAddr,
    /// Address bound for health, readiness and status (HTTP).
    pub admin_address: SocketAddr,
    /// Counters and histograms of this side.
    pub metrics: Metrics,
    shared: Shared,
    admin: ServerHandle,
    /// Traffic threads, then the control thread.
    arbiters: Vec<Arbiter>,
}

/// Binds the sockets and starts a side on threads of its own.
pub fn start_side(settings: SideSettings) -> Result<SideProcess, SideError> {
    let secrets = SecretKeyring::parse(&settings.secrets)?;
    let listen_error = |address| move |source| SideError::Listen { address, source };
    let listener = TcpListener::bind(settings.listen).map_err(listen_error(settings.listen))?;
    let address = listener.local_addr().map_err(listen_error(settings.listen))?;
    listener.set_nonblocking(true).map_err(listen_error(address))?;
    let socket = UdpSocket::bind(address).map_err(listen_error(address))?;
    socket.set_nonblocking(true).map_err(listen_error(address))?;
    let admin_listen = settings.admin_listen;
    let admin_listener = TcpListener::bind(admin_listen).map_err(listen_error(admin_listen))?;
    let admin_address = admin_listener.local_addr().map_err(listen_error(admin_listen))?;

    let clock: SharedClock = Arc::new(SystemClock::default());
    let metrics = Metrics::new("mulberryshed", settings.statsd);
    let socket = Arc::new(socket);
    let (pull_tx, pull_rx) = mpsc::unbounded_channel();
    let bundle_notify = Arc::new(Notify::new());
    let incarnation = rand::random();
    let control_thread = Arbiter::new();
    let state = SideControl::new(
        settings.clone(),
        secrets.clone(),
        clock,
        metrics.clone(),
        socket.clone(),
        incarnation,
        pull_tx,
        bundle_notify.clone(),
    );
    let control = SideControl::start_in_arbiter(&control_thread.handle(), move |_| state);
    let shared = Shared {
        settings: Arc::new(settings),
        secrets,
        metrics: metrics.clone(),
        control,
        health_probe: Arc::new(Notify::new()),
        bundle_notify,
        stop: StopSignal::default(),
    };
    let traffic_threads: Vec<Arbiter> =
        (0..shared.settings.threads.max(1)).map(|_| Arbiter::new()).collect();
    start_tasks(&shared, &control_thread, &traffic_threads, listener, socket, pull_rx);
    let admin = start_admin(admin_listener, shared.clone()).map_err(listen_error(admin_address))?;
    let endpoint = shared.settings.endpoint.as_str();
    log_event!(info, Event::ProcessServing, role = "side", endpoint, %address);
    let mut arbiters = traffic_threads;
    arbiters.push(control_thread);
    Ok(SideProcess { address, admin_address, metrics, shared, admin, arbiters })
}

/// Starts the tasks of the control thread and the traffic threads.
fn start_tasks(
    shared: &Shared,
    control_thread: &Arbiter,
    traffic_threads: &[Arbiter],
    listener: TcpListener,
    socket: Arc<UdpSocket>,
    pull_rx: mpsc::UnboundedReceiver<crate::control::PullRequest>,
) {
    let handles = traffic_threads.iter().map(Arbiter::handle).collect();
    let (accept, health, bundle) = (shared.clone(), shared.clone(), shared.clone());
    let heartbeats = shared.clone();
    control_thread.spawn_fn(move || {
        actix_rt::spawn(accept_links(listener, accept, handles));
        actix_rt::spawn(watch_health(health));
        actix_rt::spawn(sync_bundle(bundle));
        actix_rt::spawn(receive_heartbeats(
            socket,
            heartbeats.secrets,
            heartbeats.control,
            heartbeats.metrics,
            heartbeats.stop,
        ));
    });
    let pulls = shared.clone();
    if let Some(thread) = traffic_threads.first() {
        thread.spawn_fn(move || {
            actix_rt::spawn(pull_items(pull_rx, pulls));
        });
    }
}

impl SideProcess {
    /// Stops gracefully: tells the entries that the side leaves, lets running requests end within
    /// the drain time, then stops the threads.
    pub async fn stop(self) {
        if is_injected(InjectedFault::StopWithoutDrain) {
            return self.kill().await;
        }
        let endpoint = self.shared.settings.endpoint.as_str();
        log_event!(info, Event::ProcessStopping, role = "side", endpoint);
        self.shared.control.do_send(Leave);
        tokio::time::sleep(LEAVE_NOTICE_DELAY).await;
        let drain = Duration::from_millis(self.shared.settings.drain_ms);
        let deadline = tokio::time::Instant::now() + drain;
        while tokio::time::Instant::now() < deadline {
            let status = self.shared.control.send(GetStatus).await;
            if status.is_err() || status.is_ok_and(|s| s.idle && s.held_online == 0) {
                break;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // Responses that were written may not have been sent yet.
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        self.kill().await;
        log_event!(info, Event::ProcessStopped, role = "side");
    }

    /// Blocks the control thread for `duration`, as if the VM were paused, for tests.
    pub fn pause(&self, duration: Duration) {
        if let Some(control) = self.arbiters.last() {
            control.spawn_fn(move || std::thread::sleep(duration));
        }
    }

    /// Stops at once without draining, as a crash would.
    pub async fn kill(self) {
        self.shared.stop.trigger();
        self.admin.stop(false).await;
        for arbiter in self.arbiters {
            arbiter.stop();
            // Joining fails only if the thread panicked, and then it has ended as well.
            let _ended = arbiter.join();
        }
    }
}
