//! Starts and stops items as the endpoints have room.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use mulberry_policy::batch_share::BatchPlan;
use mulberry_policy::batch_share::RunningItem;
use mulberry_policy::batch_share::SharedEndpoint;
use mulberry_policy::batch_share::WaitingItem;
use mulberry_policy::batch_share::plan_batch;
use mulberry_policy::job_log::ItemPhase;
use mulberry_policy::run_outcome::RunOutcome;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::time::Millis;

use crate::owner::ItemKey;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::Run;
use crate::owner::run::RunPlan;
use crate::owner::run::run_item;

/// Time between plans, in milliseconds.
const PLAN_MS: u64 = 50;

/// Shortest time between two lines on the plan of a service, in milliseconds.
const PLAN_LOG_MS: u64 = 1_000;

/// Runs of an item that may fail if its route is not known.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Plans until the process stops.
pub(crate) async fn schedule(owner: Rc<Owner>) {
    let mut told = IndexMap::new();
    loop {
        let pause = tokio::time::sleep(Duration::from_millis(PLAN_MS));
        tokio::select! {
            () = pause => {}
            () = owner.work.notified() => {}
        }
        if owner.state.borrow().serving && !owner.fleet.stop.is_triggered() {
            plan_all(&owner, &mut told);
        }
    }
}

/// What was planned for a service since its last line in the log.
#[derive(Debug, Clone, Copy, Default)]
struct PlanTold {
    at: Option<Millis>,
    starts: usize,
    stops: usize,
}

fn plan_all(owner: &Rc<Owner>, told: &mut IndexMap<ServiceName, PlanTold>) {
    let Some(configuration) = owner.fleet.configuration.load_full() else { return };
    let endpoints = owner.fleet.endpoints.load_full();
    for service in services_of_batch(&configuration) {
        let usable: Vec<&EndpointRecord> = endpoints
            .values()
            .filter(|e| e.service == service && e.state == EndpointState::Ready)
            .collect();
        let work = work_of(owner, &configuration, &service);
        let shared = shared_endpoints(owner, &usable);
        let plan = plan_batch(&shared, &work.running, &work.waiting, owner.now());
        tell_plan(owner, told.entry(service).or_default(), &shared, &work, &plan);
        apply(owner, &configuration, plan, &usable);
    }
}

fn services_of_batch(configuration: &Configuration) -> Vec<ServiceName> {
    let mut services: Vec<ServiceName> = Vec::new();
    for route in &configuration.routes {
        let Some(target) = route.targets.first() else { continue };
        if route.batch.completion_ms > 0 && !services.contains(&target.service) {
            services.push(target.service.clone());
        }
    }
    services
}

/// Items of a service that run or could run.
struct BatchWork {
    running: Vec<RunningItem<ItemKey>>,
    waiting: Vec<WaitingItem<ItemKey>>,
}

fn work_of(owner: &Owner, configuration: &Configuration, service: &ServiceName) -> BatchWork {
    let now = owner.now();
    let state = owner.state.borrow();
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    for (id, log) in state.open_jobs() {
        let route = route_of(configuration, &log.route);
        let leads_here = route.is_some_and(|r| r.targets.iter().any(|t| t.service == *service));
        if !leads_here {
            continue;
        }
        for (index, item) in log.items().iter().enumerate() {
            let key = (id.clone(), index);
            let left_ms = state.pace.left_ms(item.progress.events);
            match item.phase {
                ItemPhase::Running => {
                    let Some(run) = state.runs.get(&key) else { continue };
                    running.push(RunningItem {
                        item: key,
                        endpoint: run.endpoint,
                        due_at: log.due_at,
                        left_ms,
                    });
                }
                ItemPhase::Waiting(at) if at <= now => waiting.push(WaitingItem {
                    last_endpoint: state.last_endpoints.get(&key).copied(),
                    item: key,
                    due_at: log.due_at,
                    left_ms,
                }),
                ItemPhase::Waiting(_) | ItemPhase::Ended | ItemPhase::Listed => {}
            }
        }
    }
    BatchWork { running, waiting }
}

/// Writes what was planned for a service, once a second while it has items.
fn tell_plan(
    owner: &Owner,
    told: &mut PlanTold,
    shared: &[SharedEndpoint],
    work: &BatchWork,
    plan: &BatchPlan<ItemKey>,
) {
    told.starts += plan.starts.len();
    told.stops += plan.stops.len();
    let now = owner.now();
    let is_idle = work.running.is_empty() && work.waiting.is_empty();
    if is_idle || told.at.is_some_and(|at| now.since(at) < PLAN_LOG_MS) {
        return;
    }
    log_event!(
        info,
        Event::BatchPlanned,
        endpoints = shared.iter().filter(|e| e.open).count(),
        slots = shared.iter().map(|e| e.slots).sum::<u32>(),
        online = shared.iter().map(|e| e.online).sum::<u32>(),
        foreign = shared.iter().map(|e| e.peer_batch).sum::<u32>(),
        running = work.running.len(),
        waiting = work.waiting.len(),
        started = told.starts,
        stopped = told.stops
    );
    *told = PlanTold { at: Some(now), starts: 0, stops: 0 };
}

fn shared_endpoints(owner: &Owner, usable: &[&EndpointRecord]) -> Vec<SharedEndpoint> {
    let now = owner.now();
    let occupancy = owner.fleet.occupancy();
    let ejector = owner.fleet.ejector();
    usable
        .iter()
        .map(|e| {
            let key = e.load_key();
            let all = occupancy.total_load(key, now);
            SharedEndpoint {
                key,
                slots: e.slots,
                online: all.online,
                peer_batch: all.batch - occupancy.own_load(key).batch,
                open: !ejector.is_ejected(&e.name, now),
            }
        })
        .collect()
}

fn route_of<'a>(configuration: &'a Configuration, name: &str) -> Option<&'a Route> {
    configuration.route_by_name(name).map(|r| &**r)
}

fn apply(
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
    owner.fleet.metrics.count("direct.items_stopped");
    if let Some(log) = state.jobs.get_mut(&key.0) {
        log.note_run_outcome(key.1, RunOutcome::Stopped, true, DEFAULT_ATTEMPTS, owner.now());
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
    let route = route_of(configuration, &log.route);
    let max_failed = route.map_or(DEFAULT_ATTEMPTS, |r| r.attempts);
    let host = log.host.clone();
    let Some(item) = log.item_mut(key.1) else { return };
    item.phase = ItemPhase::Running;
    let plan = RunPlan {
        key: key.clone(),
        item: item.item.clone(),
        host,
        endpoint: endpoint.clone(),
        last_event: item.progress.last_event,
        max_failed,
        generation,
    };
    let endpoint = endpoint.load_key();
    state.last_endpoints.insert(key.clone(), endpoint);
    let abort = actix_rt::spawn(run_item(owner.clone(), plan)).abort_handle();
    state.runs.insert(key, Run { endpoint, abort });
    owner.fleet.metrics.count("direct.items_started");
}
