//! What the threads of an entry share.

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

use crate::guards::Guards;
use crate::settings::EntrySettings;
use crate::snapshot::Snapshot;

/// Time without a look of the control thread after which it counts as stuck, in milliseconds.
const STUCK_MS: u64 = 750;

static NEXT_PROCESS: AtomicU64 = AtomicU64::new(1);

thread_local! {
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
    pub guards: Arc<Guards>,
    pub backlog: Arc<ArcSwap<IndexMap<ServiceName, u64>>>,
    pub budget: SharedBudget,
    pub refresh_bundle: Arc<Notify>,
    pub leaving: Arc<AtomicBool>,
    /// Whether any side was heard yet.
    pub heard_side: Arc<AtomicBool>,
    /// When the control thread last looked at what is due, in milliseconds of the clock.
    pub control_tick_ms: Arc<AtomicU64>,
    pub stopped: StopSignal,
    process: u64,
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
            guards: Arc::default(),
            backlog: Arc::new(ArcSwap::from_pointee(IndexMap::new())),
            budget,
            refresh_bundle: Arc::new(Notify::new()),
            leaving: Arc::default(),
            heard_side: Arc::default(),
            control_tick_ms: Arc::default(),
            stopped: StopSignal::default(),
            process: NEXT_PROCESS.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the calling thread's client of the store.
    pub fn store(&self) -> Store {
        STORES.with_borrow_mut(|stores| {
            let make = || {
                let address = self.settings.object_api.to_string();
                let token = self.settings.object_api_token.clone();
                let api = HttpObjectApi::new(&address, token);
                Store::new(Rc::new(api), self.budget.clone())
            };
            stores.entry(self.process).or_insert_with(make).clone()
        })
    }

    /// Tells whether the control thread is stuck, so that what it published may be out of date: the
    /// process was paused, and has not heard yet what happened meanwhile.
    pub fn is_control_stuck(&self) -> bool {
        let tick = Millis(self.control_tick_ms.load(Ordering::Relaxed));
        self.clock.now().since(tick) > STUCK_MS
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
