//! The owner of the batch jobs: one process at a time, by a lease in the platform's store.
//!
//! Everything runs on the process's one thread, so that its state needs no locks. A task that waits
//! for the network holds no borrow of the state meanwhile.

mod accept;
mod calls;
mod copy;
mod lease;
mod listing;
mod load;
mod pass_on;
mod process;
mod read;
mod retire;
mod run;
mod schedule;
mod serve;
mod tidy;

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
use mulberry_policy::job_log::JobLog;
use mulberry_policy::owner_lease::OwnerLease;
use mulberry_policy::progress_copies::ProgressCopies;
use mulberry_protocol::batch_job::ItemProgress;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::JobId;
use mulberry_protocol::time::Millis;

use crate::connection::ConnectionPool;
use crate::shared::SharedState;

pub use process::run_owner;

/// Which item of which job.
pub(crate) type ItemKey = (JobId, usize);

/// An item that runs.
pub(crate) struct Run {
    /// Short key of the endpoint.
    pub(crate) endpoint: u64,
    /// Ends the run and its connection.
    pub(crate) abort: AbortHandle,
}

/// A submission whose write is under way.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    /// Name of the route.
    pub(crate) route: Arc<str>,
    /// Tokens that it adds to those that wait.
    pub(crate) tokens: u64,
}

/// What the owner knows.
pub(crate) struct OwnerState {
    pub(crate) lease: OwnerLease,
    /// Whether the jobs are loaded and calls are answered.
    pub(crate) serving: bool,
    /// Rises when the lease is lost, so that tasks of before change nothing.
    pub(crate) generation: u64,
    pub(crate) jobs: IndexMap<JobId, JobLog>,
    pub(crate) submissions: IndexMap<JobId, Submission>,
    pub(crate) runs: IndexMap<ItemKey, Run>,
    /// Endpoints on which items ran last.
    pub(crate) last_endpoints: IndexMap<ItemKey, u64>,
    /// When results of a job were last written.
    pub(crate) written_at: IndexMap<JobId, Millis>,
    /// VMs to empty, each with the revision of its order.
    pub(crate) retirements: IndexMap<String, u64>,
    pub(crate) emptied: IndexSet<String>,
    pub(crate) pace: Pace,
    /// What was made of items that were not listed when the lease was lost.
    pub(crate) left_over: Vec<(JobId, Vec<ItemProgress>)>,
    /// What another owner has had copied here, for the next one.
    pub(crate) copies: ProgressCopies,
}

impl OwnerState {
    /// Lists the jobs that have something left to do.
    pub(crate) fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &JobLog)> {
        self.jobs.iter().filter(|(_, log)| !log.is_settled())
    }

    /// Takes what an earlier owner had of a job's items, and stops the runs that were behind it.
    pub(crate) fn import_progress(&mut self, job: &JobId, items: Vec<ItemProgress>, now: Millis) {
        let Some(log) = self.jobs.get_mut(job) else { return };
        log_event!(info, Event::ProgressTaken, job = %job, items = items.len());
        let behind = items.into_iter().filter_map(|item| log.import_progress(item, now));
        for index in behind {
            if let Some(run) = self.runs.swap_remove(&(job.clone(), index)) {
                run.abort.abort();
            }
        }
    }
}

/// How long items take, learned from those that completed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Events of one item.
    pub(crate) events: f64,
    /// Time between events, in milliseconds.
    pub(crate) gap_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { events: FIRST_EVENTS, gap_ms: FIRST_GAP_MS }
    }
}

/// Events of an item before any has completed.
const FIRST_EVENTS: f64 = 180.0;

/// Time between events before any item has completed, in milliseconds.
const FIRST_GAP_MS: f64 = 30.0;

/// Weight of the newest item in what is learned.
const PACE_WEIGHT: f64 = 0.05;

impl Pace {
    /// Learns from an item that completed in one run.
    pub(crate) fn learn(&mut self, events: u32, span_ms: u64) {
        if events == 0 {
            return;
        }
        self.events += (f64::from(events) - self.events) * PACE_WEIGHT;
        self.gap_ms += (span_ms as f64 / f64::from(events) - self.gap_ms) * PACE_WEIGHT;
    }

    /// Estimates the time that the rest of an item takes, in milliseconds.
    pub(crate) fn left_ms(&self, events: u32) -> u64 {
        ((self.events - f64::from(events)).max(self.events / 10.0) * self.gap_ms) as u64
    }
}

/// The owner process.
pub(crate) struct Owner {
    pub(crate) fleet: Arc<SharedState>,
    pub(crate) store: Store,
    pub(crate) pool: ConnectionPool,
    pub(crate) state: RefCell<OwnerState>,
    /// The generation in which this process holds the lease, none while it stands by.
    pub(crate) owned: watch::Sender<Option<u64>>,
    /// When the configuration was last read whole.
    pub(crate) configuration_read: Cell<Option<Millis>>,
    /// When the endpoints were last read whole.
    pub(crate) endpoints_read: Cell<Option<Millis>>,
    /// Told when results were listed.
    pub(crate) listed: Notify,
    /// Told when items may start.
    pub(crate) work: Notify,
    /// Told when the work on open items was passed on.
    pub(crate) passed_on: Notify,
}

impl Owner {
    /// Makes the state of a process that has just started.
    pub(crate) fn new(fleet: Arc<SharedState>, store: Store) -> Rc<Self> {
        let lease = OwnerLease::new(fleet.settings.name.clone());
        fleet.set_following(false);
        Rc::new(Self {
            fleet,
            store,
            pool: ConnectionPool::default(),
            state: RefCell::new(OwnerState {
                lease,
                serving: false,
                generation: 0,
                jobs: IndexMap::new(),
                submissions: IndexMap::new(),
                runs: IndexMap::new(),
                last_endpoints: IndexMap::new(),
                written_at: IndexMap::new(),
                retirements: IndexMap::new(),
                emptied: IndexSet::new(),
                pace: Pace::default(),
                left_over: Vec::new(),
                copies: ProgressCopies::default(),
            }),
            owned: watch::Sender::new(None),
            configuration_read: Cell::new(None),
            endpoints_read: Cell::new(None),
            listed: Notify::new(),
            work: Notify::new(),
            passed_on: Notify::new(),
        })
    }

    /// Returns the time.
    pub(crate) fn now(&self) -> Millis {
        self.fleet.clock.now()
    }

    /// Tells whether this process still serves as it did at `generation`.
    pub(crate) fn is_current(&self, generation: u64) -> bool {
        let state = self.state.borrow();
        state.serving && state.generation == generation
    }

    /// Begins to follow the configuration and the endpoints as the owner of `generation`, or stops to.
    pub(crate) fn follow_as(&self, generation: Option<u64>) {
        self.fleet.set_following(generation.is_some());
        self.owned.send_replace(generation);
    }

    /// Stops everything that only the owner does.
    pub(crate) fn step_down(&self) {
        let mut state = self.state.borrow_mut();
        state.serving = false;
        state.generation += 1;
        for run in state.runs.values() {
            run.abort.abort();
        }
        state.runs.clear();
        let progress = state.open_jobs().map(|(job, log)| {
            (job.clone(), log.unlisted_outputs().map(|o| o.to_progress()).collect::<Vec<_>>())
        });
        state.left_over = progress.filter(|(_, items)| !items.is_empty()).collect();
        state.jobs.clear();
        state.submissions.clear();
        state.last_endpoints.clear();
        state.written_at.clear();
        drop(state);
        self.follow_as(None);
        self.listed.notify_waiters();
    }
}
