//! The `faults` experiment: runs the real processes under load and injected faults, and compares what
//! callers saw with what the stand-ins recorded.

mod check;
mod injector;
mod jobs;
mod journal;
mod online;
mod poll;
mod report;

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

/// Number of engines in the deployment.
const ENGINE_COUNT: usize = 3;

/// Number of workers that send chats.
const CHAT_WORKERS: u64 = 6;

/// Number of workers that send non-idempotent service calls.
const SERVICE_CALL_WORKERS: u64 = 3;

/// Writes and reads per second that each entry may send to the store.
pub(crate) const ENTRY_RATES: (f64, f64) = (30.0, 100.0);

/// Text in a prompt that makes a stand-in engine crash.
pub(crate) const CRASH_MARK: &str = "CRASH-MARK";

/// Timeout for all jobs to end after the faults, in milliseconds.
const JOB_END_TIMEOUT_MS: u64 = 40_000;

/// Arguments of the experiment.
#[derive(Debug, Clone)]
pub(crate) struct FaultPlan {
    pub seed: u64,
    pub seconds: u64,
    pub json: bool,
    /// A fault that breaks one guarantee on purpose, to see its check fail.
    pub injected: Option<InjectedFault>,
    /// Whether to print the injected faults even if all bounds are met.
    pub trace: bool,
}

/// Returns the injectable fault with this name on the command line.
pub(crate) fn find_fault(name: &str) -> Result<InjectedFault, LoadError> {
    let found = InjectedFault::ALL.iter().find(|f| f.as_str() == name).copied();
    found.ok_or_else(|| {
        let known: Vec<&str> = InjectedFault::ALL.iter().map(|f| f.as_str()).collect();
        LoadError::UnknownFault { name: name.to_owned(), known: known.join(", ") }
    })
}

/// Runs load and faults, waits for the jobs to end, and prints all checks. Fails if a check fails.
pub(crate) async fn run(plan: FaultPlan) -> Result<(), LoadError> {
    if let Some(fault) = plan.injected {
        inject_fault(fault);
    }
    let fleet = start_fleet(&plan).await?;
    let journal = Rc::new(Journal::new(&fleet));
    let poller = actix_rt::spawn(poll::poll_entries(journal.clone()));
    let mut workers = Vec::new();
    for worker in 0..CHAT_WORKERS {
        workers.push(actix_rt::spawn(online::send_chats(worker, plan.seed, journal.clone())));
    }
    for worker in 0..SERVICE_CALL_WORKERS {
        workers.push(actix_rt::spawn(online::send_service_calls(
            worker,
            plan.seed,
            journal.clone(),
        )));
    }
    workers.push(actix_rt::spawn(online::send_poison(plan.seed, journal.clone())));
    let jobs = actix_rt::spawn(jobs::send_jobs(plan.seed, plan.seconds, journal.clone()));
    let fleet = injector::inject(fleet, &plan, &journal).await?;
    journal.stop_load.trigger();
    for worker in workers {
        // What a worker sent before a panic stays in the journal.
        let _ended = worker.await;
    }
    let _sent = jobs.await;
    jobs::wait_for_job_ends(&journal, Duration::from_millis(JOB_END_TIMEOUT_MS)).await;
    jobs::read_results(&journal).await;
    journal.stop_polling.trigger();
    let _polled = poller.await;
    let checks = check::check(&journal, &fleet);
    fleet.stop().await;
    report::print(&plan, &journal, &checks);
    let failed = checks.iter().filter(|c| !c.holds()).count();
    if failed == 0 { Ok(()) } else { Err(LoadError::Bound { count: failed }) }
}

async fn start_fleet(plan: &FaultPlan) -> Result<Fleet, LoadError> {
    let engine = EngineSettings {
        step_base_us: 4_000,
        load_ms: 200,
        restart_ms: 400,
        ..EngineSettings::default()
    };
    let mut fleet_plan = FleetPlan::sample(ENGINE_COUNT, engine);
    fleet_plan.entry_zones.push("kochi-c".to_owned());
    fleet_plan.store_rates = ENTRY_RATES;
    // One engine does not reject old orders, so only its side keeps them away from it.
    if let Some(settings) = fleet_plan.endpoints.get_mut(1).and_then(|e| e.engine.as_mut()) {
        settings.checks_orders = false;
    }
    let fleet = Fleet::start(fleet_plan).await?;
    fleet.roll(SAMPLE_BUNDLE).await?;
    for engine in fleet.engines() {
        let crash_on = CRASH_MARK.to_owned();
        engine.set_faults(EngineFaults { crash_on, ..EngineFaults::default() });
    }
    if plan.injected == Some(InjectedFault::UnconditionalWrites) {
        let faults = ObjectApiFaults { ignore_conditions: true, ..ObjectApiFaults::default() };
        fleet.object_api.set_faults(faults);
    }
    fleet.wait_ready().await?;
    Ok(fleet)
}
