//! Schedules batch items: starts and stops runs according to the free capacity of the endpoints.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use mulberry_policy::batch_share::BatchPlan;
use mulberry_policy::batch_share::BegunBy;
use mulberry_policy::batch_share::RunningItem;
use mulberry_policy::batch_share::SharedEndpoint;
use mulberry_policy::batch_share::WaitingItem;
use mulberry_policy::batch_share::plan_batch;
use mulberry_policy::job_log::ItemPhase;
use mulberry_policy::run_outcome::RunOutcome;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::time::Millis;

use crate::origins::origin_of;
use crate::owner::ActiveRun;
use crate::owner::ItemKey;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::giving_up::give_up_items;
use crate::owner::job_routes::route_of;
use crate::owner::run::RunSpec;
use crate::owner::run::run_item;

/// Interval between plans, in milliseconds. Events that may allow items to start cause a plan at
/// once.
const PLAN_INTERVAL_MS: u64 = 50;

/// Minimum time between two log lines on the plans of a service, in milliseconds.
const PLAN_LOG_INTERVAL_MS: u64 = 1_000;

/// Number of failed runs after which an item is given up if its route is not in the configuration.
const DEFAULT_MAX_FAILED_RUNS: u32 = 3;

/// Plans and applies the batch work of all services until the process stops.
pub(crate) async fn schedule(owner: Rc<Owner>) {
    let mut plan_logs = IndexMap::new();
    loop {
        let delay = tokio::time::sleep(Duration::from_millis(PLAN_INTERVAL_MS));
        tokio::select! {
            () = delay => {}
            () = owner.work.notified() => {}
        }
        if owner.state.borrow().serving && !owner.shared.stop.is_triggered() {
            schedule_services(&owner, &mut plan_logs);
        }
    }
}

/// Starts and stops of a service since its last log line.
#[derive(Debug, Clone, Copy, Default)]
struct PlanLog {
    at: Option<Millis>,
    starts: usize,
    stops: usize,
}

fn schedule_services(owner: &Rc<Owner>, plan_logs: &mut IndexMap<ServiceName, PlanLog>) {
    let Some(configuration) = owner.shared.configuration.load_full() else { return };
    give_up_items(owner, &configuration);
    let endpoints = owner.shared.endpoints.load_full();
    for service in services_to_plan(owner, &configuration) {
        let usable: Vec<&EndpointRecord> = endpoints
            .values()
            .filter(|e| e.service == service && e.state == EndpointState::Ready)
            .filter(|e| !owner.shared.leaving().is_leaving(e))
            .collect();
        let work = collect_work(owner, &configuration, &service);
        let capacity = endpoint_capacity(owner, &usable);
        let plan = plan_batch(&capacity, &work.running, &work.waiting, owner.now());
        log_plan(owner, plan_logs.entry(service).or_default(), &capacity, &work, &plan);
        apply_plan(owner, &configuration, plan, &usable);
    }
}

/// Returns the services that get items and those that run some: their online requests may need the slots, also
/// if a route has gone or points elsewhere now.
fn services_to_plan(owner: &Owner, configuration: &Configuration) -> IndexSet<ServiceName> {
    let mut services: IndexSet<ServiceName> = batch_services(configuration).into_iter().collect();
    services.extend(owner.state.borrow().runs.values().map(|run| run.service.clone()));
    services
}

/// Returns the services to which batch routes send their items: the first target of each route that
/// has a completion time.
fn batch_services(configuration: &Configuration) -> Vec<ServiceName> {
    let mut services: Vec<ServiceName> = Vec::new();
    for route in &configuration.routes {
        let Some(target) = route.targets.first() else { continue };
        if route.batch.completion_ms > 0 && !services.contains(&target.service) {
            services.push(target.service.clone());
        }
    }
    services
}

/// Items of a service that are running or ready to run.
struct BatchWork {
    running: Vec<RunningItem<ItemKey>>,
    waiting: Vec<WaitingItem<ItemKey>>,
}

fn collect_work(owner: &Owner, configuration: &Configuration, service: &ServiceName) -> BatchWork {
    let now = owner.now();
    let state = owner.state.borrow();
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    for (id, log) in state.open_jobs() {
        let route = route_of(configuration, log);
        let takes_new = route.is_some_and(|r| r.targets.iter().any(|t| t.service == *service));
        let retention_ms = route.map_or(0, |r| r.batch.retention_ms);
        let expected_until = log.known_since + retention_ms;
        for (index, item) in log.items().iter().enumerate() {
            let key = (id.clone(), index);
            let left_ms = state.item_times.remaining_ms(item.progress.events);
            match item.phase {
                ItemPhase::Running => {
                    let run = state.runs.get(&key).filter(|run| run.service == *service);
                    let Some(run) = run else { continue };
                    running.push(RunningItem {
                        item: key,
                        endpoint: run.endpoint,
                        due_at: log.due_at,
                        expected_until,
                        left_ms,
                    });
                }
                ItemPhase::Waiting(at)
                    if takes_new && at <= now && !item.has_unstored_failure() =>
                {
                    waiting.push(WaitingItem {
                        last_endpoint: state.last_endpoints.get(&key).copied(),
                        item: key,
                        due_at: log.due_at,
                        expected_until,
                        left_ms,
                        begun_by: item.awaited_origin().map(|origin| BegunBy {
                            version: version_key(origin),
                            updated_at: item.progress.updated_at,
                        }),
                    });
                }
                ItemPhase::Waiting(_) | ItemPhase::Ended | ItemPhase::Listed => {}
            }
        }
    }
    BatchWork { running, waiting }
}

/// Logs what was planned for a service, once a second while it has items.
fn log_plan(
    owner: &Owner,
    plan_log: &mut PlanLog,
    capacity: &[SharedEndpoint],
    work: &BatchWork,
    plan: &BatchPlan<ItemKey>,
) {
    plan_log.starts += plan.starts.len();
    plan_log.stops += plan.stops.len();
    let now = owner.now();
    let is_idle = work.running.is_empty() && work.waiting.is_empty();
    if is_idle || plan_log.at.is_some_and(|at| now.since(at) < PLAN_LOG_INTERVAL_MS) {
        return;
    }
    log_event!(
        info,
        Event::BatchPlanned,
        endpoints = capacity.iter().filter(|e| e.open).count(),
        slots = capacity.iter().map(|e| e.slots).sum::<u32>(),
        online = capacity.iter().map(|e| e.online).sum::<u32>(),
        foreign = capacity.iter().map(|e| e.peer_batch).sum::<u32>(),
        running = work.running.len(),
        waiting = work.waiting.len(),
        started = plan_log.starts,
        stopped = plan_log.stops
    );
    *plan_log = PlanLog { at: Some(now), starts: 0, stops: 0 };
}

/// Returns the load of each usable endpoint, in the form that the planner needs.
fn endpoint_capacity(owner: &Owner, usable: &[&EndpointRecord]) -> Vec<SharedEndpoint> {
    let now = owner.now();
    let slowness = owner.shared.slowness(usable.iter().copied());
    let mut occupancy = owner.shared.occupancy();
    let ejector = owner.shared.ejector();
    let limits = owner.shared.limits();
    usable
        .iter()
        .zip(slowness)
        .map(|(e, slowness)| {
            let key = e.load_key();
            let all = occupancy.total_load(key, now);
            SharedEndpoint {
                key,
                slots: e.slots,
                online: all.online,
                peer_batch: all.batch - occupancy.own_load(key).batch,
                open: !ejector.is_ejected(&e.name, now) && limits.wait_ms(key, now) == 0,
                version: version_key(&origin_of(e)),
                slowness_percent: (slowness * 100.0) as u32,
            }
        })
        .collect()
}

/// Returns the key of a service and software version for the planner.
fn version_key(origin: &StreamOrigin) -> u64 {
    let service = stable_hash(origin.service.as_str().as_bytes(), 0);
    stable_hash(origin.software.as_str().as_bytes(), service)
}

fn apply_plan(
    owner: &Rc<Owner>,
    configuration: &Configuration,
    plan: BatchPlan<ItemKey>,
    usable: &[&EndpointRecord],
) {
    let by_key: IndexMap<u64, &EndpointRecord> =
        usable.iter().map(|e| (e.load_key(), *e)).collect();
    let mut state = owner.state.borrow_mut();
    for key in plan.stops {
        stop_run(owner, &mut state, &key);
    }
    for (key, endpoint) in plan.starts {
        if let Some(endpoint) = by_key.get(&endpoint) {
            start_run(owner, configuration, &mut state, key, endpoint);
        }
    }
}

fn stop_run(owner: &Owner, state: &mut OwnerState, key: &ItemKey) {
    let Some(run) = state.runs.swap_remove(key) else { return };
    run.abort.abort();
    owner.shared.metrics.count("direct.items_stopped");
    if let Some(log) = state.jobs.get_mut(&key.0) {
        log.record_run_outcome(
            key.1,
            RunOutcome::Stopped,
            true,
            DEFAULT_MAX_FAILED_RUNS,
            owner.now(),
        );
    }
}

fn start_run(
    owner: &Rc<Owner>,
    configuration: &Configuration,
    state: &mut OwnerState,
    key: ItemKey,
    endpoint: &EndpointRecord,
) {
    let generation = state.generation;
    let Some(log) = state.jobs.get_mut(&key.0) else { return };
    let route = route_of(configuration, log);
    let max_failed = route.map_or(DEFAULT_MAX_FAILED_RUNS, |r| r.attempts);
    let (host, account) = (log.host.clone(), log.account.clone());
    let Some(item) = log.item_mut(key.1) else { return };
    item.phase = ItemPhase::Running;
    item.progress.keep_only_of(&origin_of(endpoint));
    let spec = RunSpec {
        key: key.clone(),
        item: item.item.clone(),
        fingerprint: item.fingerprint,
        host,
        account,
        endpoint: endpoint.clone(),
        last_event: item.progress.last_event,
        max_failed,
        generation,
        held_since: Cell::new(None),
    };
    let (endpoint, service) = (endpoint.load_key(), endpoint.service.clone());
    state.last_endpoints.insert(key.clone(), endpoint);
    let abort = actix_rt::spawn(run_item(owner.clone(), spec)).abort_handle();
    state.runs.insert(key, ActiveRun { endpoint, service, abort });
    owner.shared.metrics.count("direct.items_started");
}
