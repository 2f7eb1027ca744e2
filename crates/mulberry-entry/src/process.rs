//! Starts the entry's sockets, threads and actors, and stops them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::Actor;
use actix_rt::Arbiter;
use actix_web::dev::ServerHandle;

use mulberry_policy::fault_injection::InjectedFault;
use mulberry_policy::fault_injection::is_injected;
use mulberry_process::clock::SharedClock;
use mulberry_process::clock::SystemClock;
use mulberry_process::metrics::Metrics;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::actors::ControlActors;
use crate::bundles::watch_bundle;
use crate::control::EntryControl;
use crate::control::SendHeartbeatsNow;
use crate::error::EntryError;
use crate::heartbeat::poll_vm_list;
use crate::heartbeat::receive_heartbeats;
use crate::http::start_http;
use crate::jobs::DrainJobs;
use crate::jobs::JobControl;
use crate::jobs::SetActors;
use crate::jobs::accept_owner_links;
use crate::settings::EntrySettings;
use crate::shared::Shared;

/// A running entry.
pub struct EntryProcess {
    /// Address of the callers' HTTP API.
    pub address: SocketAddr,
    /// Address at which sides open links to pull batch items.
    pub owner_address: SocketAddr,
    /// Counters of this entry.
    pub metrics: Metrics,
    shared: Shared,
    actors: ControlActors,
    http: ServerHandle,
    control_thread: Arbiter,
}

/// Starts an entry on threads of its own.
pub fn start_entry(settings: EntrySettings) -> Result<EntryProcess, EntryError> {
    let secrets = SecretKeyring::parse(&settings.secrets)?;
    let listen_error = |address| move |source| EntryError::Listen { address, source };
    let listener = TcpListener::bind(settings.listen).map_err(listen_error(settings.listen))?;
    let address = listener.local_addr().map_err(listen_error(settings.listen))?;
    let owner_listen = settings.owner_listen;
    let owner_listener = TcpListener::bind(owner_listen).map_err(listen_error(owner_listen))?;
    owner_listener.set_nonblocking(true).map_err(listen_error(owner_listen))?;
    let owner_address = owner_listener.local_addr().map_err(listen_error(owner_listen))?;
    let heartbeat_address = SocketAddr::new(owner_address.ip(), 0);
    let socket = UdpSocket::bind(heartbeat_address).map_err(listen_error(heartbeat_address))?;
    socket.set_nonblocking(true).map_err(listen_error(heartbeat_address))?;

    let clock: SharedClock = Arc::new(SystemClock::default());
    let metrics = Metrics::new("mulberryshed", settings.statsd);
    let shared = Shared::new(settings, secrets, clock, metrics.clone());
    let socket = Arc::new(socket);
    let control_thread = Arbiter::new();
    let handle = control_thread.handle();
    let entry_control = EntryControl::new(shared.clone(), socket.clone(), owner_address);
    let job_control = JobControl::new(shared.clone());
    let actors = ControlActors {
        entry: EntryControl::start_in_arbiter(&handle, move |_| entry_control),
        jobs: JobControl::start_in_arbiter(&handle, move |_| job_control),
    };
    actors.jobs.do_send(SetActors(actors.clone()));
    let (task_shared, task_actors) = (shared.clone(), actors.clone());
    control_thread.spawn_fn(move || {
        let (shared, actors) = (task_shared, task_actors);
        actix_rt::spawn(receive_heartbeats(socket, shared.clone(), actors.clone()));
        actix_rt::spawn(poll_vm_list(shared.clone(), actors.clone()));
        actix_rt::spawn(watch_bundle(shared.clone(), actors.clone()));
        actix_rt::spawn(accept_owner_links(owner_listener, shared, actors));
    });
    let http =
        start_http(listener, shared.clone(), actors.clone()).map_err(listen_error(address))?;
    let entry = shared.settings.entry.as_str();
    log_event!(info, Event::ProcessServing, role = "entry", entry, %address);
    Ok(EntryProcess { address, owner_address, metrics, shared, actors, http, control_thread })
}

impl EntryProcess {
    /// Stops gracefully: reports not ready to the load balancer, drains and gives up the jobs, lets
    /// running requests end, then stops the threads.
    pub async fn stop(self) {
        if is_injected(InjectedFault::StopWithoutDrain) {
            return self.kill().await;
        }
        let entry = self.shared.settings.entry.as_str();
        log_event!(info, Event::ProcessStopping, role = "entry", entry);
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.actors.entry.do_send(SendHeartbeatsNow);
        let notice = Duration::from_millis(self.shared.settings.notice_ms);
        let drain = Duration::from_millis(self.shared.settings.drain_ms);
        let drained = self.actors.jobs.send(DrainJobs { timeout: drain });
        // The result is ignored: the actor runs until the control thread is stopped below.
        let (_drained, ()) = tokio::join!(drained, tokio::time::sleep(notice));
        self.http.stop(true).await;
        self.shared.stopped.trigger();
        self.control_thread.stop();
        // The result is ignored: a thread that panicked has ended as well.
        let _ended = self.control_thread.join();
        log_event!(info, Event::ProcessStopped, role = "entry");
    }

    /// Blocks the control thread for `duration`, to simulate a paused VM.
    pub fn pause(&self, duration: Duration) {
        self.control_thread.spawn_fn(move || std::thread::sleep(duration));
    }

    /// Stops at once without draining, to simulate a crash.
    pub async fn kill(self) {
        self.shared.stopped.trigger();
        self.control_thread.stop();
        self.http.stop(false).await;
        let _ended = self.control_thread.join();
    }
}
