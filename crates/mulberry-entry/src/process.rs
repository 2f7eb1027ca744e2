//! Puts the entry together: sockets, threads, and the graceful stop.

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

use crate::bundles::follow_bundle;
use crate::control::EntryControl;
use crate::control::Hurry;
use crate::controls::Controls;
use crate::error::EntryError;
use crate::heartbeat::follow_vm_list;
use crate::heartbeat::receive_beats;
use crate::http::start_http;
use crate::jobs::Connect;
use crate::jobs::JobControl;
use crate::jobs::LeaveJobs;
use crate::jobs::accept_owner_links;
use crate::settings::EntrySettings;
use crate::shared::Shared;

/// A running entry.
pub struct EntryProcess {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for sides.
    pub owner_address: SocketAddr,
    /// Counters.
    pub metrics: Metrics,
    shared: Shared,
    controls: Controls,
    http: ServerHandle,
    control_thread: Arbiter,
}

/// Starts an entry on its own threads.
pub fn start_entry(settings: EntrySettings) -> Result<EntryProcess, EntryError> {
    let secrets = SecretKeyring::parse(&settings.secrets)?;
    let failed = |address| move |source| EntryError::Listen { address, source };
    let listener = TcpListener::bind(settings.listen).map_err(failed(settings.listen))?;
    let address = listener.local_addr().map_err(failed(settings.listen))?;
    let owner_listen = settings.owner_listen;
    let owner_listener = TcpListener::bind(owner_listen).map_err(failed(owner_listen))?;
    owner_listener.set_nonblocking(true).map_err(failed(owner_listen))?;
    let owner_address = owner_listener.local_addr().map_err(failed(owner_listen))?;
    let beat_address = SocketAddr::new(owner_address.ip(), 0);
    let socket = UdpSocket::bind(beat_address).map_err(failed(beat_address))?;
    socket.set_nonblocking(true).map_err(failed(beat_address))?;

    let clock: SharedClock = Arc::new(SystemClock::default());
    let metrics = Metrics::new("mulberryshed", settings.statsd);
    let shared = Shared::new(settings, secrets, clock, metrics.clone());
    let socket = Arc::new(socket);
    let control_thread = Arbiter::new();
    let handle = control_thread.handle();
    let entry_state = EntryControl::new(shared.clone(), socket.clone(), owner_address);
    let job_state = JobControl::new(shared.clone());
    let controls = Controls {
        entry: EntryControl::start_in_arbiter(&handle, move |_| entry_state),
        jobs: JobControl::start_in_arbiter(&handle, move |_| job_state),
    };
    controls.jobs.do_send(Connect(controls.clone()));
    let (tasks, task_controls) = (shared.clone(), controls.clone());
    control_thread.spawn_fn(move || {
        let (shared, controls) = (tasks, task_controls);
        actix_rt::spawn(receive_beats(socket, shared.clone(), controls.clone()));
        actix_rt::spawn(follow_vm_list(shared.clone(), controls.clone()));
        actix_rt::spawn(follow_bundle(shared.clone(), controls.clone()));
        actix_rt::spawn(accept_owner_links(owner_listener, shared, controls));
    });
    let http = start_http(listener, shared.clone(), controls.clone()).map_err(failed(address))?;
    let entry = shared.settings.entry.as_str();
    log_event!(info, Event::ProcessServing, role = "entry", entry, %address);
    Ok(EntryProcess { address, owner_address, metrics, shared, controls, http, control_thread })
}

impl EntryProcess {
    /// Stops gracefully: becomes unready for the balancer, gives up its jobs, ends what runs, then
    /// ends the process's threads.
    pub async fn stop(self) {
        if is_injected(InjectedFault::StopWithoutDrain) {
            return self.kill().await;
        }
        let entry = self.shared.settings.entry.as_str();
        log_event!(info, Event::ProcessStopping, role = "entry", entry);
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.controls.entry.do_send(Hurry);
        let notice = Duration::from_millis(self.shared.settings.notice_ms);
        let drain = Duration::from_millis(self.shared.settings.drain_ms);
        let leave = self.controls.jobs.send(LeaveJobs { wait: drain });
        // The actor lives as long as the process.
        let (_left, ()) = tokio::join!(leave, tokio::time::sleep(notice));
        self.http.stop(true).await;
        self.shared.stopped.trigger();
        self.control_thread.stop();
        // A thread that panicked has ended too.
        let _ended = self.control_thread.join();
        log_event!(info, Event::ProcessStopped, role = "entry");
    }

    /// Blocks the control thread, as if its VM were paused.
    pub fn pause(&self, span: Duration) {
        self.control_thread.spawn_fn(move || std::thread::sleep(span));
    }

    /// Ends at once, as a crash would.
    pub async fn kill(self) {
        self.shared.stopped.trigger();
        self.control_thread.stop();
        self.http.stop(false).await;
        let _ended = self.control_thread.join();
    }
}
