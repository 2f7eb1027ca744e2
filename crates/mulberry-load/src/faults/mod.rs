//! `faults`: the real processes under every fault of the brief, compared with what the stand-ins
//! recorded.

mod check;
mod injector;
mod jobs;
mod journal;
mod online;
mod report;
mod watch;

use std::rc::Rc;
use std::time::Duration;

use mulberry_policy::fault_injection::InjectedFault;
use mulberry_policy::fault_injection::inject_fault;
use mulberry_standin::engine::EngineFaults;
use mulberry_standin::engine::EngineSettings;
use mulberry_standin::object_api::ObjectApiFaults;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::SAMPLE_BUNDLE;

use self::journal::Journal;
use crate::error::LoadError;

/// Engines of the deployment.
const ENGINES: usize = 3;

/// Workers of each kind of online requests.
const CHAT_WORKERS: u64 = 6;
const GIFT_WORKERS: u64 = 3;

/// Writes and reads a second that each entry may make.
pub(crate) const ENTRY_RATES: (f64, f64) = (30.0, 100.0);

/// Text that crashes an engine.
pub(crate) const CRASH_MARK: &str = "CRASH-MARK";

/// Most time for the jobs to end after the faults, in milliseconds.
const SETTLE_MS: u64 = 40_000;

/// What is asked for.
#[derive(Debug, Clone)]
pub(crate) struct FaultPlan {
    pub seed: u64,
    pub seconds: u64,
    pub json: bool,
    pub broken: Option<InjectedFault>,
    pub trace: bool,
}

/// Finds a promise by its name.
pub(crate) fn find_promise(name: &str) -> Result<InjectedFault, LoadError> {
    let found = InjectedFault::ALL.iter().find(|p| p.as_str() == name).copied();
    found.ok_or_else(|| {
        let known: Vec<&str> = InjectedFault::ALL.iter().map(|p| p.as_str()).collect();
        LoadError::NoPromise { name: name.to_owned(), known: known.join(", ") }
    })
}

/// Runs the experiment.
pub(crate) async fn run(plan: FaultPlan) -> Result<(), LoadError> {
    if let Some(promise) = plan.broken {
        inject_fault(promise);
    }
    let fleet = start_fleet(&plan).await?;
    let journal = Rc::new(Journal::new(&fleet));
    let poller = actix_rt::spawn(watch::poll_entries(journal.clone()));
    let mut workers = Vec::new();
    for worker in 0..CHAT_WORKERS {
        workers.push(actix_rt::spawn(online::send_chats(worker, plan.seed, journal.clone())));
    }
    for worker in 0..GIFT_WORKERS {
        workers.push(actix_rt::spawn(online::send_gifts(worker, plan.seed, journal.clone())));
    }
    workers.push(actix_rt::spawn(online::send_poison(plan.seed, journal.clone())));
    let jobs = actix_rt::spawn(jobs::send_jobs(plan.seed, plan.seconds, journal.clone()));
    let fleet = injector::inject(fleet, &plan, &journal).await?;
    journal.stop.trigger();
    for worker in workers {
        // What a worker that panicked had sent stays in the journal.
        let _ended = worker.await;
    }
    let _sent = jobs.await;
    jobs::wait_for_ends(&journal, Duration::from_millis(SETTLE_MS)).await;
    jobs::read_results(&journal).await;
    journal.watching.trigger();
    let _polled = poller.await;
    let checks = check::check(&journal, &fleet);
    fleet.stop().await;
    report::print(&plan, &journal, &checks);
    let passed = checks.iter().filter(|c| !c.holds()).count();
    if passed == 0 { Ok(()) } else { Err(LoadError::Bound { count: passed }) }
}

async fn start_fleet(plan: &FaultPlan) -> Result<Fleet, LoadError> {
    let engine = EngineSettings {
        step_base_us: 4_000,
        load_ms: 200,
        restart_ms: 400,
        ..EngineSettings::default()
    };
    let mut fleet_plan = FleetPlan::sample(ENGINES, engine);
    fleet_plan.entry_zones.push("kochi-c".to_owned());
    fleet_plan.store_rates = ENTRY_RATES;
    // One engine does not check orders, so that its side alone keeps old ones away.
    if let Some(settings) = fleet_plan.endpoints.get_mut(1).and_then(|e| e.engine.as_mut()) {
        settings.checks_orders = false;
    }
    let fleet = Fleet::start(fleet_plan).await?;
    fleet.roll(SAMPLE_BUNDLE).await?;
    for engine in fleet.engines() {
        let crash_on = CRASH_MARK.to_owned();
        engine.set_faults(EngineFaults { crash_on, ..EngineFaults::default() });
    }
    if plan.broken == Some(InjectedFault::UnconditionalWrites) {
        let faults = ObjectApiFaults { ignore_conditions: true, ..ObjectApiFaults::default() };
        fleet.object_api.set_faults(faults);
    }
    fleet.wait_ready().await?;
    Ok(fleet)
}
