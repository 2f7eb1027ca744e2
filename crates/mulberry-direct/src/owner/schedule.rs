//! Schedules batch items: starts and stops runs according to the free capacity of the endpoints.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use mulberry_policy::batch_share::BatchPlan;
use mulberry_policy::batch_share::BegunBy;
use mulberry_policy::batch_share::RunningItem;
use mulberry_policy::batch_share::SharedEndpoint;
use mulberry_policy::batch_share::WaitingItem;
use mulberry_policy::batch_share::plan_batch;
use mulberry_policy::item_state::ItemPhase;
use mulberry_policy::run_outcome::RunOutcome;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;
use mulberry_protocol::stream_origin::StreamOrigin;
use mulberry_protocol::time::Millis;

use crate::origins::origin_of;
use crate::owner::ActiveRun;
use crate::owner::ItemKey;
use crate::owner::Owner;
use crate::owner::OwnerState;
use crate::owner::giving_up::give_up_items;
use crate::owner::job_routes::BatchServices;
use crate::owner::job_routes::Round;
use crate::owner::job_routes::WaitingAt;
use crate::owner::job_routes::route_of;
use crate::owner::run::RunSpec;
use crate::owner::run::run_item;
use crate::shared::Endpoints;

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

/// What the plans of one round over all services have in common.
struct PlanContext {
    configuration: Arc<Configuration>,
    endpoints: Arc<Endpoints>,
    services: BatchServices,
}

fn schedule_services(owner: &Rc<Owner>, plan_logs: &mut IndexMap<ServiceName, PlanLog>) {
    let Some(configuration) = owner.shared.configuration.load_full() else { return };
    give_up_items(owner, &configuration);
    let services = BatchServices::list(owner, &configuration);
    let endpoints = owner.shared.endpoints.load_full();
    let cx = PlanContext { configuration, endpoints, services };
    // Services that run items have online requests which may need the slots, also if a route has gone or
    // points elsewhere now.
    let mut planned = cx.services.all.clone();
    planned.extend(owner.state.borrow().runs.values().map(|run| run.service.clone()));
    for service in planned {
        let plan_log = plan_logs.entry(service.clone()).or_default();
        plan_service(owner, &cx, &service, Round::OwnShare, plan_log);
    }
    for service in &cx.services.open_of_split {
        let plan_log = plan_logs.entry(service.clone()).or_default();
        plan_service(owner, &cx, service, Round::Overflow, plan_log);
    }
}

fn plan_service(
    owner: &Rc<Owner>,
    cx: &PlanContext,
    service: &ServiceName,
    round: Round,
    plan_log: &mut PlanLog,
) {
    let usable: Vec<&EndpointRecord> = cx
        .endpoints
        .values()
        .filter(|e| e.service == *service && e.state == EndpointState::Ready)
        .filter(|e| !owner.shared.leaving().is_leaving(e))
        .collect();
    let work = collect_work(owner, cx, service, round);
    let capacity = endpoint_capacity(owner, &usable);
    let plan = plan_batch(&capacity, &work.running, &work.waiting, owner.now());
    log_plan(owner, service, plan_log, &capacity, &work, &plan);
    apply_plan(owner, &cx.configuration, plan, &usable);
}

/// Items of a service that are running or ready to run.
struct BatchWork {
    running: Vec<RunningItem<ItemKey>>,
    waiting: Vec<WaitingItem<ItemKey>>,
}

fn collect_work(owner: &Owner, cx: &PlanContext, service: &ServiceName, round: Round) -> BatchWork {
    let now = owner.now();
    let state = owner.state.borrow();
    let mut work = BatchWork { running: Vec::new(), waiting: Vec::new() };
    let runs_some = state.runs.values().any(|run| run.service == *service);
    for (id, log) in state.open_jobs() {
        let route = route_of(&cx.configuration, log);
        let is_target = |r: &Route| r.open_targets().any(|t| t.service == *service);
        if !runs_some && !route.is_some_and(is_target) {
            continue;
        }
        let expected_until = log.known_since + route.map_or(0, |r| r.batch.retention_ms);
        for (index, item) in log.items().iter().enumerate() {
            let key = (id.clone(), index);
            let left_ms = state.item_times.remaining_ms(item.progress.events);
            match item.phase {
                ItemPhase::Running => {
                    let run = state.runs.get(&key).filter(|run| run.service == *service);
                    let Some(run) = run else { continue };
                    work.running.push(RunningItem {
                        item: key,
                        endpoint: run.endpoint,
                        due_at: log.due_at,
                        expected_until,
                        left_ms,
                    });
                }
                ItemPhase::Waiting(at) if at <= now && !item.has_unstored_failure() => {
                    let Some(route) = route else { continue };
                    let latest_start = Millis(log.due_at.0.saturating_sub(left_ms));
                    let waiting = WaitingAt { route, item, latest_start };
                    if !cx.services.takes(service, &waiting, round, now) {
                        continue;
                    }
                    work.waiting.push(WaitingItem {
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
    work
}

/// Logs what was planned for a service, once a second while it has items.
fn log_plan(
    owner: &Owner,
    service: &ServiceName,
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
        service = %service,
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
    let (host, account) = (log.address.host.clone(), log.account.clone());
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
