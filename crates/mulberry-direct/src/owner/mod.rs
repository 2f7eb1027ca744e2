//! The owner of the batch jobs. A lease in the platform's store makes one process the owner at a
//! time; the others are standbys.
//!
//! All tasks run on one thread, so that the state needs no locks. A task must not hold a borrow of
//! the state while it waits for the network.

mod commit;
mod conviction_store;
mod copy;
mod dispatch;
mod drain;
mod giving_up;
mod handoff;
mod job_routes;
mod lease;
mod link_server;
mod load;
mod process;
mod read;
mod retention;
mod run;
mod schedule;
mod submit;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use mulberry_platform::store::Store;
use mulberry_policy::item_times::ItemTimes;
use mulberry_policy::job_log::JobLog;
use mulberry_policy::job_prospects::JobProspects;
use mulberry_policy::owner_lease::OwnerLease;
use mulberry_policy::progress_copies::ProgressCopies;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::event::Event;
use mulberry_protocol::job_address::JobAddress;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ClientName;
use mulberry_protocol::name::JobId;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::time::Millis;

use crate::connection::ConnectionPool;
use crate::owner::retention::Leftovers;
use crate::shared::SharedState;

pub use process::run_owner;

/// Time for which an endpoint counts as out of reach after an item could not be sent to it, in milliseconds.
const UNREACHED_MS: u64 = 1_000;

/// Identifies an item by its job and its index in that job.
pub(crate) type ItemKey = (JobId, usize);

/// A run of an item that is in progress.
pub(crate) struct ActiveRun {
    /// Load key of the endpoint.
    pub(crate) endpoint: u64,
    /// Service of the endpoint.
    pub(crate) service: ServiceName,
    /// Aborts the run and closes its connection.
    pub(crate) abort: AbortHandle,
}

/// A submission that is being written to the store.
#[derive(Debug, Clone)]
pub(crate) struct PendingSubmission {
    /// Where the job was submitted.
    pub(crate) address: JobAddress,
    /// Client account that submitted it, if there is one.
    pub(crate) account: Option<ClientName>,
    /// Tokens of the job's items, which count as waiting on the route.
    pub(crate) tokens: u64,
}

/// Mutable state of an owner process. Most of it is empty on a standby.
pub(crate) struct OwnerState {
    pub(crate) lease: OwnerLease,
    /// Whether this process holds the lease and has loaded the jobs.
    pub(crate) serving: bool,
    /// Incremented when the lease is lost, so that tasks started before don't change the state.
    pub(crate) generation: u64,
    pub(crate) jobs: IndexMap<JobId, JobLog>,
    /// Objects without a job, as they were found when the jobs were loaded.
    pub(crate) leftovers: Leftovers,
    pub(crate) pending_submissions: IndexMap<JobId, PendingSubmission>,
    pub(crate) runs: IndexMap<ItemKey, ActiveRun>,
    /// Jobs that have nothing to run at.
    pub(crate) prospects: JobProspects<JobId>,
    /// Load key of the endpoint on which each item ran last.
    pub(crate) last_endpoints: IndexMap<ItemKey, u64>,
    /// Load keys of endpoints that an item could lately not be sent to, and until when they count as out of
    /// reach.
    pub(crate) unreached: IndexMap<u64, Millis>,
    /// When writing results of each job was last started.
    pub(crate) last_commit_at: IndexMap<JobId, Millis>,
    /// VMs that are to be drained, each with the revision of its drain order.
    pub(crate) drain_orders: IndexMap<String, u64>,
    /// VMs whose drain order is complete or withdrawn.
    pub(crate) closed_drain_orders: IndexSet<String>,
    pub(crate) item_times: ItemTimes,
    /// Progress of the items that had no listed result when the lease was lost.
    pub(crate) unfinished_progress: Vec<(JobId, Vec<ItemProgress>)>,
    /// Copies of the current owner's progress, kept for the next owner.
    pub(crate) copies: ProgressCopies,
}

impl OwnerState {
    /// Returns the jobs that are not settled.
    pub(crate) fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &JobLog)> {
        self.jobs.iter().filter(|(_, log)| !log.is_settled())
    }

    /// Records that an item could not be sent to an endpoint.
    pub(crate) fn record_unreached(&mut self, endpoint: u64, now: Millis) {
        self.unreached.retain(|_, until| now < *until);
        self.unreached.insert(endpoint, now + UNREACHED_MS);
    }

    /// Imports the progress that an earlier owner made on a job's items, and aborts the runs that
    /// were behind it.
    pub(crate) fn import_progress(&mut self, job: &JobId, items: Vec<ItemProgress>, now: Millis) {
        let Some(log) = self.jobs.get_mut(job) else { return };
        log_event!(info, Event::ProgressTaken, job = %job, items = items.len());
        let outdated = items.into_iter().filter_map(|item| log.import_progress(item, now));
        for index in outdated {
            if let Some(run) = self.runs.swap_remove(&(job.clone(), index)) {
                run.abort.abort();
            }
        }
    }
}

/// An owner process, holding the lease or standing by.
pub(crate) struct Owner {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) store: Store,
    pub(crate) pool: ConnectionPool,
    pub(crate) state: RefCell<OwnerState>,
    /// The generation in which this process holds the lease, or `None` while it is a standby. Opens
    /// and closes the watches that only the owner needs.
    pub(crate) owned_generation: watch::Sender<Option<u64>>,
    /// When the configuration was last listed from the store.
    pub(crate) configuration_listed_at: Cell<Option<Millis>>,
    /// When the endpoints were last listed from the store.
    pub(crate) endpoints_listed_at: Cell<Option<Millis>>,
    /// Notified after each attempt to write results, when a job has ended, and when the lease is
    /// lost.
    pub(crate) results_changed: Notify,
    /// Notified when there may be items to start.
    pub(crate) work: Notify,
    /// Notified when the handoff of progress to the next owner is over.
    pub(crate) handoff_done: Notify,
}

impl Owner {
    /// Creates an owner process that is a standby until it acquires the lease.
    pub(crate) fn new(shared: Arc<SharedState>, store: Store) -> Rc<Self> {
        let lease = OwnerLease::new(shared.settings.name.clone());
        shared.set_watching(false);
        Rc::new(Self {
            shared,
            store,
            pool: ConnectionPool::default(),
            state: RefCell::new(OwnerState {
                lease,
                serving: false,
                generation: 0,
                jobs: IndexMap::new(),
                leftovers: Leftovers::default(),
                pending_submissions: IndexMap::new(),
                runs: IndexMap::new(),
                prospects: JobProspects::default(),
                last_endpoints: IndexMap::new(),
                unreached: IndexMap::new(),
                last_commit_at: IndexMap::new(),
                drain_orders: IndexMap::new(),
                closed_drain_orders: IndexSet::new(),
                item_times: ItemTimes::default(),
                unfinished_progress: Vec::new(),
                copies: ProgressCopies::default(),
            }),
            owned_generation: watch::Sender::new(None),
            configuration_listed_at: Cell::new(None),
            endpoints_listed_at: Cell::new(None),
            results_changed: Notify::new(),
            work: Notify::new(),
            handoff_done: Notify::new(),
        })
    }

    /// Returns the current time of the steady clock.
    pub(crate) fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Returns whether this process still serves in the same generation.
    pub(crate) fn is_current(&self, generation: u64) -> bool {
        let state = self.state.borrow();
        state.serving && state.generation == generation
    }

    /// Starts the watches of the configuration, the endpoints and the drain orders as the owner
    /// of `generation`, or stops them if it is `None`.
    pub(crate) fn set_owned_generation(&self, generation: Option<u64>) {
        self.shared.set_watching(generation.is_some());
        self.owned_generation.send_replace(generation);
    }

    /// Stops serving after the lease is lost: aborts all runs, keeps the progress of open items for
    /// the handoff, and drops the rest of the owner's state.
    pub(crate) fn step_down(&self) {
        let mut state = self.state.borrow_mut();
        state.serving = false;
        state.generation += 1;
        for run in state.runs.values() {
            run.abort.abort();
        }
        state.runs.clear();
        state.prospects.clear();
        let progress = state.open_jobs().map(|(job, log)| {
            (job.clone(), log.unlisted_outputs().map(|o| o.to_progress()).collect::<Vec<_>>())
        });
        state.unfinished_progress = progress.filter(|(_, items)| !items.is_empty()).collect();
        state.jobs.clear();
        state.pending_submissions.clear();
        state.last_endpoints.clear();
        state.unreached.clear();
        state.last_commit_at.clear();
        drop(state);
        self.set_owned_generation(None);
        self.results_changed.notify_waiters();
    }
}
