//! What a process knows of the deployment: published by the control thread, read by traffic.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use tokio::sync::watch;

use mulberry_policy::ejection::Ejector;
use mulberry_policy::occupancy::LoadClass;
use mulberry_policy::occupancy::Occupancy;
use mulberry_policy::queue_limit::QueueLimits;
use mulberry_policy::watch_renewal::StoreReport;
use mulberry_policy::watch_renewal::WatchRenewal;
use mulberry_process::clock::SharedClock;
use mulberry_process::metrics::Metrics;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::peer::Member;
use mulberry_protocol::peer::OwnerClaim;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::time::Millis;

use crate::dialect::Dialect;
use crate::settings::DirectSettings;

/// Endpoints by name.
pub type Endpoints = IndexMap<EndpointName, EndpointRecord>;

/// A peer as last heard.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name, role and address.
    pub member: Member,
    /// When it was heard.
    pub heard_at: Option<Millis>,
    /// Its claim to own the batch jobs.
    pub owner: Option<OwnerClaim>,
}

/// What the threads of one process share.
pub struct SharedState {
    /// Settings of the process.
    pub settings: DirectSettings,
    /// Names and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// The clock.
    pub clock: SharedClock,
    /// Counters.
    pub metrics: Metrics,
    /// Told when the process stops.
    pub stop: StopSignal,
    /// The configuration in force, none before the first.
    pub configuration: ArcSwapOption<Configuration>,
    /// Known endpoints.
    pub endpoints: ArcSwap<Endpoints>,
    /// Proofs between peers, none before they were read.
    pub secrets: ArcSwapOption<SecretKeyring>,
    /// Requests that are being answered.
    pub in_flight: AtomicU64,
    /// Whether the process stops so soon that new requests could not be answered any more.
    pub closing: AtomicBool,
    /// Whether the process follows the configuration and the endpoints; one that stands by does not.
    is_following: AtomicBool,
    /// Rises when waiting watches are to be made anew.
    pub renewals: watch::Sender<u64>,
    peers: Mutex<IndexMap<EntryName, Peer>>,
    store_news: Mutex<WatchRenewal>,
    occupancy: Mutex<Occupancy>,
    ejector: Mutex<Ejector>,
    queue_limits: Mutex<QueueLimits>,
}

impl SharedState {
    /// Makes the state of a process that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        dialect: Arc<dyn Dialect>,
        clock: SharedClock,
        metrics: Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            dialect,
            clock,
            metrics,
            stop: StopSignal::default(),
            configuration: ArcSwapOption::empty(),
            endpoints: ArcSwap::from_pointee(Endpoints::default()),
            secrets: ArcSwapOption::empty(),
            in_flight: AtomicU64::new(0),
            closing: AtomicBool::new(false),
            is_following: AtomicBool::new(true),
            renewals: watch::Sender::new(0),
            peers: Mutex::default(),
            store_news: Mutex::default(),
            occupancy: Mutex::default(),
            ejector: Mutex::default(),
            queue_limits: Mutex::default(),
        })
    }

    /// Locks the known peers.
    pub fn peers(&self) -> MutexGuard<'_, IndexMap<EntryName, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the count of what is in flight.
    pub fn occupancy(&self) -> MutexGuard<'_, Occupancy> {
        self.occupancy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the record of endpoints that fail.
    pub fn ejector(&self) -> MutexGuard<'_, Ejector> {
        self.ejector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what a process tells of the store, and has the waiting watches made anew if they may never
    /// be answered.
    pub fn note_store_told(&self, teller: &EntryName, told: StoreReport) {
        if !self.is_following.load(Ordering::Relaxed) {
            return;
        }
        let now = self.clock.now();
        let own_version = self.version();
        let mut news = self.store_news.lock().unwrap_or_else(PoisonError::into_inner);
        news.note(teller, told, own_version, now);
        if news.take_due_renewal(own_version, now) {
            self.metrics.count("direct.watches_renewed");
            log_event!(info, Event::WatchesRenewed, teller = %teller, version = told.version,
                own_version, returns = told.returns);
            self.renewals.send_modify(|number| *number += 1);
        }
    }

    /// Notes whether the process follows the configuration and the endpoints from now on.
    pub fn set_following(&self, is_following: bool) {
        *self.store_news.lock().unwrap_or_else(PoisonError::into_inner) = WatchRenewal::default();
        self.is_following.store(is_following, Ordering::Relaxed);
    }

    /// Returns the version of the configuration in force, zero before the first.
    pub fn version(&self) -> u64 {
        self.configuration.load().as_ref().map_or(0, |c| c.version)
    }

    /// Locks what was learned of the services' pace.
    pub fn queue_limits(&self) -> MutexGuard<'_, QueueLimits> {
        self.queue_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an exchange with an endpoint until the guard is dropped.
    pub fn begin_load(self: &Arc<Self>, endpoint: u64, class: LoadClass) -> LoadGuard {
        self.occupancy().begin(endpoint, class);
        LoadGuard { fleet: self.clone(), endpoint, class }
    }

    /// Counts a request of a caller until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard { fleet: self.clone() }
    }

    /// Notes that an endpoint answered.
    pub fn note_endpoint_success(&self, endpoint: &EndpointName) {
        self.ejector().note_success(endpoint);
    }

    /// Notes that an endpoint failed.
    pub fn note_endpoint_failure(&self, endpoint: &EndpointName) -> Option<u64> {
        let known = self.endpoints.load().len();
        let now = self.clock.now();
        self.ejector().note_failure(endpoint, known, now)
    }
}

/// Counts one exchange.
pub struct LoadGuard {
    fleet: Arc<SharedState>,
    endpoint: u64,
    class: LoadClass,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.fleet.occupancy().end(self.endpoint, self.class);
    }
}

/// Counts one request of a caller.
pub struct RequestGuard {
    fleet: Arc<SharedState>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.fleet.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
