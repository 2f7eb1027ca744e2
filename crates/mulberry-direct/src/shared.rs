//! State that the threads of one process share: configuration, endpoints, peers and load counts.
//! The control thread publishes it and the traffic thread reads it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use mulberry_policy::account_usage::AccountUsages;
use mulberry_policy::crash_suspects::CrashSuspects;
use mulberry_policy::ejection::Ejector;
use mulberry_policy::endpoint_continuity::is_same_process;
use mulberry_policy::endpoint_speed::EndpointSpeeds;
use mulberry_policy::leaving_endpoints::LeavingEndpoints;
use mulberry_policy::memory_budget::MemoryBudget;
use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::occupancy::Occupancy;
use mulberry_policy::run_times::RunTimes;
use mulberry_policy::version_history::VersionHistory;
use mulberry_policy::vm_shares::VmShares;
use mulberry_policy::watch_renewal::Known;
use mulberry_policy::watch_renewal::StoreReport;
use mulberry_policy::watch_renewal::WatchRenewal;
use mulberry_process::clock::SharedClock;
use mulberry_process::metrics::Metrics;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::account::ClientAccount;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ZoneName;
use mulberry_protocol::peer::Member;
use mulberry_protocol::peer::OwnerClaim;
use mulberry_protocol::peer::PeerRole;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::time::Millis;

use crate::account_metrics::AccountLabels;
use crate::account_rates::RateDesk;
use crate::caller_table::CallerFaults;
use crate::confirmation::Confirmation;
use crate::dialect::Dialect;
use crate::drain_gate::DrainGate;
use crate::endpoint_confirmation::EndpointConfirmation;
use crate::endpoint_notice::EndpointNotice;
use crate::fair_share::FairShareDesk;
use crate::limits::LimitDesk;
use crate::origins::OriginDesk;
use crate::settings::DirectSettings;
use crate::trials::TrialDesk;
use crate::vm_limits::vm_shares;
use crate::waiting::WaitingDesk;

/// Records of the known endpoints, by name.
pub type Endpoints = IndexMap<EndpointName, EndpointRecord>;

/// Another process of the deployment, as last heard from.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name, role and address of the peer.
    pub member: Member,
    /// Availability zone of its VM, once it has told it.
    pub zone: Option<ZoneName>,
    /// When this process learned of it.
    pub found_at: Millis,
    /// When its last heartbeat arrived; `None` before the first.
    pub heard_at: Option<Millis>,
    /// The claim to own the batch jobs in its last heartbeat.
    pub owner: Option<OwnerClaim>,
}

/// Shared state of one process.
pub struct SharedState {
    /// Settings read at startup.
    pub settings: DirectSettings,
    /// The platform's names and formats.
    pub dialect: Arc<dyn Dialect>,
    /// Steady and wall-clock time.
    pub clock: SharedClock,
    /// Counters and latency histograms.
    pub metrics: Metrics,
    /// Triggered when the process begins to shut down.
    pub stop: StopSignal,
    /// The configuration in force; empty before the first one was read.
    pub configuration: ArcSwapOption<Configuration>,
    /// Endpoints in use for routing and batch scheduling.
    pub endpoints: ArcSwap<Endpoints>,
    /// Secrets that authenticate peers to each other; empty before they were read.
    pub secrets: ArcSwapOption<SecretKeyring>,
    /// Which requests are still taken when the process stops, and how many are in progress.
    pub drain: DrainGate,
    /// Whether the process watches the configuration and the endpoints; a standby owner does not.
    is_watching: AtomicBool,
    /// Incremented when the pending watch calls must be sent again.
    pub renewals: watch::Sender<u64>,
    peers: Mutex<IndexMap<EntryName, Peer>>,
    /// Whether the members were listed, so that all entries are known.
    pub(crate) has_listed_members: AtomicBool,
    watch_renewal: Mutex<WatchRenewal>,
    occupancy: Mutex<Occupancy>,
    account_usages: Mutex<AccountUsages>,
    pub(crate) confirmation: Confirmation,
    pub(crate) endpoint_confirmation: EndpointConfirmation,
    pub(crate) account_labels: AccountLabels,
    ejector: Mutex<Ejector>,
    leaving: Mutex<LeavingEndpoints>,
    run_times: Mutex<RunTimes>,
    pub(crate) endpoint_speeds: Mutex<EndpointSpeeds>,
    pub(crate) crash_suspects: Mutex<CrashSuspects>,
    /// What the process may hold.
    pub shares: VmShares,
    memory: Mutex<MemoryBudget>,
    /// Turns of large bodies that are being read.
    pub(crate) body_turns: Semaphore,
    caller_faults: Mutex<CallerFaults>,
    pub(crate) trials: TrialDesk,
    pub(crate) origins: OriginDesk,
    pub(crate) limit_desk: LimitDesk,
    pub(crate) fair_share_desk: FairShareDesk,
    pub(crate) rate_desk: RateDesk,
    pub(crate) waiting_desk: WaitingDesk,
    /// Socket for datagrams to peers, once it is open.
    pub datagrams: OnceLock<Arc<UdpSocket>>,
    version_history: Mutex<VersionHistory>,
    /// Revision up to which all changes of endpoints are known, and that of the last change.
    endpoints_known: AtomicU64,
    endpoints_changed: AtomicU64,
    /// Since when changes of endpoints may have been missed; [`NOT_STALE`] if none may.
    endpoints_stale_since: AtomicU64,
}

/// Most large bodies of which a part is read at the same time. Each part takes the traffic thread for a
/// while, and ordinary requests wait for those that are ready before them.
pub(crate) const BODY_TURNS: usize = 4;

/// Value of a time that stands for none.
const NOT_STALE: u64 = u64::MAX;

/// Locks a mutex. What it guards is valid after each step, so that a panic of another thread does
/// not spoil it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SharedState {
    /// Returns the state of a process that has just started.
    pub fn new(
        settings: DirectSettings,
        dialect: Arc<dyn Dialect>,
        clock: SharedClock,
        metrics: Metrics,
    ) -> Arc<Self> {
        let rate_desk = RateDesk::new(settings.quota, &settings.name, clock.now());
        let shares = vm_shares(settings.vm_limits);
        Arc::new(Self {
            settings,
            dialect,
            clock,
            metrics,
            stop: StopSignal::default(),
            configuration: ArcSwapOption::empty(),
            endpoints: ArcSwap::from_pointee(Endpoints::default()),
            secrets: ArcSwapOption::empty(),
            drain: DrainGate::default(),
            is_watching: AtomicBool::new(true),
            renewals: watch::Sender::new(0),
            peers: Mutex::default(),
            has_listed_members: AtomicBool::new(false),
            watch_renewal: Mutex::default(),
            occupancy: Mutex::default(),
            account_usages: Mutex::default(),
            confirmation: Confirmation::default(),
            endpoint_confirmation: EndpointConfirmation::default(),
            account_labels: AccountLabels::default(),
            ejector: Mutex::default(),
            leaving: Mutex::default(),
            run_times: Mutex::default(),
            endpoint_speeds: Mutex::default(),
            crash_suspects: Mutex::default(),
            shares,
            memory: Mutex::new(MemoryBudget::new(shares.caller_bytes)),
            body_turns: Semaphore::new(BODY_TURNS),
            caller_faults: Mutex::default(),
            trials: TrialDesk::default(),
            origins: OriginDesk::default(),
            limit_desk: LimitDesk::default(),
            fair_share_desk: FairShareDesk::default(),
            rate_desk,
            waiting_desk: WaitingDesk::default(),
            datagrams: OnceLock::new(),
            version_history: Mutex::default(),
            endpoints_known: AtomicU64::new(0),
            endpoints_changed: AtomicU64::new(0),
            endpoints_stale_since: AtomicU64::new(NOT_STALE),
        })
    }

    /// Locks the table of peers.
    pub fn peers(&self) -> MutexGuard<'_, IndexMap<EntryName, Peer>> {
        lock(&self.peers)
    }

    /// Returns the number of other entries that this process knows.
    pub fn other_entries(&self) -> usize {
        self.peers().values().filter(|p| p.member.role == PeerRole::Entry).count()
    }

    /// Locks the record of services that run a single software version.
    pub fn version_history(&self) -> MutexGuard<'_, VersionHistory> {
        lock(&self.version_history)
    }

    /// Records that all changes of endpoints up to a revision of the store are known.
    pub(crate) fn record_endpoints_known(&self, revision: u64) {
        self.endpoints_known.fetch_max(revision, Ordering::Relaxed);
    }

    /// Records the revision of a change of endpoints.
    pub(crate) fn record_endpoints_changed(&self, revision: u64) {
        self.endpoints_changed.fetch_max(revision, Ordering::Relaxed);
    }

    /// Returns the revision of the last change of endpoints that a watch brought, zero before it.
    pub fn endpoints_changed(&self) -> u64 {
        self.endpoints_changed.load(Ordering::Relaxed)
    }

    /// Sets since when changes of endpoints may have been missed, if any may.
    pub fn set_endpoints_stale_since(&self, since: Option<Millis>) {
        if since.is_some() {
            self.version_history().clear();
        }
        let since = since.map_or(NOT_STALE, |at| at.0);
        self.endpoints_stale_since.store(since, Ordering::Relaxed);
    }

    /// Returns for how long changes of endpoints may have been missed, in milliseconds.
    pub fn endpoints_stale_ms(&self) -> u64 {
        match self.endpoints_stale_since.load(Ordering::Relaxed) {
            NOT_STALE => 0,
            since => self.clock.now().since(Millis(since)).max(1),
        }
    }

    /// Returns whether the endpoint's record is the one that is known now.
    pub fn is_current_record(&self, endpoint: &EndpointRecord) -> bool {
        let endpoints = self.endpoints.load();
        endpoints.get(&endpoint.name).is_some_and(|known| is_same_process(known, endpoint))
    }

    /// Returns whether the endpoint is known to take requests: it is ready, and has not said that it
    /// leaves.
    pub fn takes_requests(&self, endpoint: &EndpointRecord) -> bool {
        let endpoints = self.endpoints.load();
        let known = endpoints.get(&endpoint.name);
        let is_ready = known.is_some_and(|e| e.state == EndpointState::Ready);
        is_ready && !self.leaving().is_leaving(endpoint)
    }

    /// Locks the counts of requests and items in flight at each endpoint.
    pub fn occupancy(&self) -> MutexGuard<'_, Occupancy> {
        lock(&self.occupancy)
    }

    /// Locks the counts of what client accounts use.
    pub fn account_usages(&self) -> MutexGuard<'_, AccountUsages> {
        lock(&self.account_usages)
    }

    /// Locks the budget of bytes that are held for callers.
    pub fn memory(&self) -> MutexGuard<'_, MemoryBudget> {
        lock(&self.memory)
    }

    /// Locks the record of faults of callers.
    pub(crate) fn caller_faults(&self) -> MutexGuard<'_, CallerFaults> {
        lock(&self.caller_faults)
    }

    /// Locks the record of endpoint failures and ejections.
    pub fn ejector(&self) -> MutexGuard<'_, Ejector> {
        lock(&self.ejector)
    }

    /// Locks the record of endpoints that said that they leave.
    pub fn leaving(&self) -> MutexGuard<'_, LeavingEndpoints> {
        lock(&self.leaving)
    }

    /// Records that an endpoint says that it leaves. It gets nothing new from this process.
    pub fn record_leaving(&self, endpoint: &EndpointRecord) {
        if self.leaving().record(endpoint) {
            self.metrics.count("direct.endpoints_leaving");
            log_event!(info, Event::EndpointLeaving, endpoint = %endpoint.name,
                service = %endpoint.service, state = ?endpoint.state);
        }
    }

    /// Records what an endpoint says of itself in a response.
    pub fn record_notice(&self, endpoint: &EndpointRecord, notice: EndpointNotice) {
        if notice.is_leaving {
            self.record_leaving(endpoint);
        }
        self.record_named_limit(endpoint, notice.limit);
    }

    /// Records what a process reports about the store, and restarts the pending watch calls if the
    /// report shows that they may never be answered.
    pub fn record_store_report(&self, reporter: &EntryName, report: StoreReport) {
        if !self.is_watching.load(Ordering::Relaxed) {
            return;
        }
        let now = self.clock.now();
        let endpoints = self.endpoints_known.load(Ordering::Relaxed).max(self.endpoints_changed());
        let own = Known { version: self.version(), endpoints };
        let mut watch_renewal = lock(&self.watch_renewal);
        watch_renewal.record(reporter, report, own, now);
        if watch_renewal.take_due_renewal(own, now) {
            self.metrics.count("direct.watches_renewed");
            log_event!(info, Event::WatchesRenewed, teller = %reporter,
                version = report.known.version, own_version = own.version,
                endpoints = report.known.endpoints, own_endpoints = own.endpoints, returns = report.recoveries);
            self.renewals.send_modify(|number| *number += 1);
            self.endpoint_confirmation.renewals.send_modify(|number| *number += 1);
        }
    }

    /// Sets whether the process watches the configuration and the endpoints, and forgets earlier
    /// reports about the store.
    pub fn set_watching(&self, is_watching: bool) {
        *lock(&self.watch_renewal) = WatchRenewal::default();
        self.is_watching.store(is_watching, Ordering::Relaxed);
    }

    /// Returns the version of the configuration in force, or zero before the first one.
    pub fn version(&self) -> u64 {
        self.configuration.load().as_ref().map_or(0, |c| c.version)
    }

    /// Locks the measured run times of all services.
    pub fn run_times(&self) -> MutexGuard<'_, RunTimes> {
        lock(&self.run_times)
    }

    /// Counts a request as in flight at an endpoint until the guard is dropped.
    pub fn begin_load(self: &Arc<Self>, endpoint: u64, class: LoadClass) -> LoadGuard {
        self.occupancy().begin(endpoint, class);
        LoadGuard { shared: self.clone(), endpoint, class }
    }

    /// Begins a caller's request, which is of no client account yet.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        RequestGuard { shared: self.clone(), account: None }
    }

    /// Records that an endpoint responded, with whatever status.
    pub fn record_endpoint_success(&self, endpoint: &EndpointName) {
        self.ejector().record_success(endpoint);
    }

    /// Records that an endpoint failed. Returns the length of the ejection that begins now, if any,
    /// in milliseconds.
    pub fn record_endpoint_failure(&self, endpoint: &EndpointName) -> Option<u64> {
        let known = self.endpoints.load().len();
        let now = self.clock.now();
        self.ejector().record_failure(endpoint, known, now)
    }
}

/// Keeps one request or item counted as in flight at its endpoint until dropped.
pub struct LoadGuard {
    shared: Arc<SharedState>,
    endpoint: u64,
    class: LoadClass,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.shared.occupancy().end(self.endpoint, self.class);
        self.shared.call_waiting();
    }
}

/// Keeps one caller's request counted for its client account until dropped.
pub struct RequestGuard {
    shared: Arc<SharedState>,
    /// Account for which it is counted as an online request in flight.
    account: Option<u32>,
}

impl RequestGuard {
    /// Counts the request as an online request of an account, too, until the guard is dropped.
    pub fn begin_account(&mut self, account: Option<&ClientAccount>) {
        if let (None, Some(account)) = (self.account, account) {
            self.shared.account_usages().begin(account.id(), self.shared.clock.now());
            self.account = Some(account.id());
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(account) = self.account {
            self.shared.account_usages().end(account, self.shared.clock.now());
        }
    }
}
