//! State that the threads of an entry share.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use tokio::sync::Notify;

use mulberry_platform::object_http::HttpObjectApi;
use mulberry_platform::store::SharedBudget;
use mulberry_platform::store::Store;
use mulberry_process::clock::SharedClock;
use mulberry_process::metrics::Metrics;
use mulberry_process::stop::StopSignal;
use mulberry_protocol::auth::SecretKeyring;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

use crate::policies::TrafficPolicies;
use crate::settings::EntrySettings;
use crate::snapshot::Snapshot;

/// Time without a tick of the control thread after which it counts as stalled, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 750;

static NEXT_INSTANCE: AtomicU64 = AtomicU64::new(1);

thread_local! {
    /// Store clients of this thread, by the instance of the entry.
    static STORES: RefCell<IndexMap<u64, Store>> = RefCell::new(IndexMap::new());
}

/// Shared state of one entry. Clones are cheap.
#[derive(Clone)]
pub(crate) struct Shared {
    pub settings: Arc<EntrySettings>,
    pub secrets: SecretKeyring,
    pub clock: SharedClock,
    pub metrics: Metrics,
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    pub policies: Arc<TrafficPolicies>,
    /// Batch items that wait at this entry, by service.
    pub backlog: Arc<ArcSwap<IndexMap<ServiceName, u64>>>,
    /// Rate limit of the calls to the store, shared by all threads.
    pub budget: SharedBudget,
    /// Notified when a heartbeat names a newer bundle than the one in force.
    pub bundle_refresh: Arc<Notify>,
    /// Whether the process is stopping.
    pub leaving: Arc<AtomicBool>,
    /// Whether a heartbeat from any side has been received.
    pub heartbeat_received: Arc<AtomicBool>,
    /// Time of the control thread's last tick, in milliseconds of the clock.
    pub control_tick_ms: Arc<AtomicU64>,
    pub stopped: StopSignal,
    /// Number of this entry among those in the process, since tests start several.
    instance: u64,
}

impl Shared {
    pub fn new(
        settings: EntrySettings,
        secrets: SecretKeyring,
        clock: SharedClock,
        metrics: Metrics,
    ) -> Self {
        let budget = SharedBudget::new(settings.store_rates(), clock.clone(), metrics.clone());
        Self {
            settings: Arc::new(settings),
            secrets,
            clock,
            metrics,
            snapshot: Arc::new(ArcSwap::from_pointee(Snapshot::default())),
            policies: Arc::default(),
            backlog: Arc::new(ArcSwap::from_pointee(IndexMap::new())),
            budget,
            bundle_refresh: Arc::new(Notify::new()),
            leaving: Arc::default(),
            heartbeat_received: Arc::default(),
            control_tick_ms: Arc::default(),
            stopped: StopSignal::default(),
            instance: NEXT_INSTANCE.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the calling thread's store client for this entry.
    pub fn store(&self) -> Store {
        STORES.with_borrow_mut(|stores| {
            let make = || {
                let address = self.settings.object_api.to_string();
                let token = self.settings.object_api_token.clone();
                let api = HttpObjectApi::new(&address, token);
                Store::new(Rc::new(api), self.budget.clone())
            };
            stores.entry(self.instance).or_insert_with(make).clone()
        })
    }

    /// Returns whether the control thread is stalled, so that its snapshot may be out of date. This
    /// is the case just after the process was paused: heartbeats that arrived meanwhile have not
    /// been handled yet.
    pub fn is_control_stalled(&self) -> bool {
        let tick = Millis(self.control_tick_ms.load(Ordering::Relaxed));
        self.clock.now().since(tick) > STALL_TIMEOUT_MS
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
