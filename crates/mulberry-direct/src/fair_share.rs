//! Refuses requests of client accounts that ask for more than their fair share of a service which can't
//! take all. Nothing here has an effect unless the configuration has accounts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use indexmap::IndexSet;

use mulberry_policy::fair_share::AccountView;
use mulberry_policy::fair_share::FairShare;
use mulberry_policy::fair_share::OverShare;
use mulberry_policy::fair_share::Room;
use mulberry_policy::fair_share::ServiceView;
use mulberry_policy::usual_use::UsualUse;
use mulberry_protocol::digest::stable_hash;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::peer::AccountRefusals;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::time::Millis;

use crate::caller_request::CallerRequest;
use crate::shared::SharedState;
use crate::shared::lock;

/// Time for which the sums of what peers report are used, in milliseconds: half of the shortest time
/// between two heartbeats of a peer.
const SUMS_HOLD_MS: u64 = 50;

/// Part of the time that callers have to wait which is filled before accounts are held to their shares. An
/// account that asks for more makes the others wait for no longer than that.
const SHARED_WAIT_PART: f64 = 0.25;

/// Weight of a request in the mean time that callers have to wait.
const SPARE_WEIGHT: f64 = 0.02;

/// Seed of the hashes by which requests without an account are told apart by their route.
const ROUTE_SEED: u64 = 0x726f_7574;

/// What a peer has refused lately.
#[derive(Debug)]
struct PeerRefusals {
    stale_at: Millis,
    refusals: Vec<AccountRefusals>,
}

/// The shares of one service.
#[derive(Debug, Default)]
struct ServiceShares {
    share: FairShare,
    usual: UsualUse,
    /// Requests of each account at the other entries, in flight and refused, as summed at a time.
    in_flight: IndexMap<u32, f64>,
    refused: IndexMap<u32, f64>,
    summed_at: Option<Millis>,
    /// Those of the numbers that stand for a route, since its requests have no account.
    routes: IndexSet<u32>,
    /// Mean time that callers have to wait before their requests must begin, in milliseconds.
    spare_ms: Option<f64>,
}

impl ServiceShares {
    fn record_spare(&mut self, spare_ms: f64) {
        let mean = self.spare_ms.get_or_insert(spare_ms);
        *mean += (spare_ms - *mean) * SPARE_WEIGHT;
    }

    /// Assigns the requests of other entries that no account is reported for to the routes of requests
    /// without an account, in proportion to what those have in flight here.
    fn assign_rest(&mut self, at_service: f64) {
        let rest = at_service - self.in_flight.values().sum::<f64>();
        let own = self.share.own_in_flight().filter(|(key, _)| self.routes.contains(key));
        let own: Vec<(u32, u32)> = own.collect();
        let total: u32 = own.iter().map(|(_, requests)| requests).sum();
        for (route, requests) in own.into_iter().filter(|_| rest > 0.0) {
            let part = f64::from(requests) / f64::from(total);
            *self.in_flight.entry(route).or_default() += rest * part;
        }
    }
}

/// The fair shares of all services at this process.
#[derive(Debug, Default)]
pub struct FairShareDesk {
    services: Mutex<IndexMap<ServiceName, ServiceShares>>,
    peers: Mutex<IndexMap<EntryName, PeerRefusals>>,
    /// Priority of the last request of each account.
    priorities: Mutex<IndexMap<u32, u32>>,
}

/// The place of one request in the share of its account; empty until it takes one. Clones are the same
/// place, which is given up when the last of them is dropped.
#[derive(Debug, Clone, Default)]
pub struct FairPlace(Arc<OnceLock<TakenPlace>>);

impl FairPlace {
    /// Records that the request got an endpoint.
    pub fn confirm(&self) {
        if let Some(taken) = self.0.get() {
            taken.has_endpoint.store(true, Ordering::Relaxed);
        }
    }
}

/// Counts a request in the share of its account until dropped.
struct TakenPlace {
    shared: Arc<SharedState>,
    service: ServiceName,
    account: u32,
    taken_at: Millis,
    has_endpoint: AtomicBool,
}

impl std::fmt::Debug for TakenPlace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TakenPlace").field("service", &self.service).finish_non_exhaustive()
    }
}

impl Drop for TakenPlace {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut services = lock(&self.shared.fair_share_desk.services);
        let Some(shares) = services.get_mut(&self.service) else { return };
        match self.has_endpoint.load(Ordering::Relaxed) {
            true => shares.share.end(self.account, now.since(self.taken_at)),
            false => shares.share.end_unserved(self.account, now),
        }
    }
}

impl SharedState {
    /// Takes a place for a request in the fair share of its account, or refuses it. A request that has
    /// a place keeps it.
    pub fn take_fair_place(
        self: &Arc<Self>,
        req: &CallerRequest,
        service: &ServiceName,
    ) -> Result<(), Refusal> {
        let has_accounts = self.configuration.load().as_ref().is_some_and(|c| c.accounts.is_some());
        if !has_accounts || req.place.0.get().is_some() {
            return Ok(());
        }
        let now = self.clock.now();
        let account = account_of(req);
        let spare_ms = self.start_by(req, service).since(now) as f64;
        lock(&self.fair_share_desk.priorities).insert(account, req.priority);
        let mut services = lock(&self.fair_share_desk.services);
        let shares = services.entry(service.clone()).or_default();
        if req.account.is_none() {
            shares.routes.insert(account);
        }
        shares.record_spare(spare_ms);
        if shares.share.is_due(now) {
            self.refresh_shares(shares, service, now);
        }
        let decided = shares.share.decide(account, &mut rand::rng(), now);
        drop(services);
        if let Err(over) = decided {
            return Err(self.over_share(req, over));
        }
        let place = TakenPlace {
            shared: self.clone(),
            service: service.clone(),
            account,
            taken_at: now,
            has_endpoint: AtomicBool::new(false),
        };
        // It was empty above, and nobody else sets the place of this request.
        let _taken = req.place.0.set(place);
        Ok(())
    }

    /// Records what a peer has refused lately.
    pub fn record_fair_share_refusals(
        &self,
        peer: &EntryName,
        refusals: &[AccountRefusals],
        stale_at: Millis,
    ) {
        let mut peers = lock(&self.fair_share_desk.peers);
        if refusals.is_empty() {
            peers.swap_remove(peer);
        } else {
            peers.insert(peer.clone(), PeerRefusals { stale_at, refusals: refusals.to_vec() });
        }
    }

    /// Returns what this process has refused lately, for the next heartbeat.
    pub fn fair_share_refusals(&self) -> Vec<AccountRefusals> {
        let now = self.clock.now();
        let services = lock(&self.fair_share_desk.services);
        let of_service = |(service, shares): (&ServiceName, &ServiceShares)| {
            let service = service_id(service);
            let refused = shares.share.refused(now).map(move |(account, requests)| {
                let requests = requests.ceil() as u16;
                AccountRefusals { service, account, requests }
            });
            refused.collect::<Vec<AccountRefusals>>()
        };
        services.iter().flat_map(of_service).collect()
    }

    fn over_share(&self, req: &CallerRequest, over: OverShare) -> Refusal {
        let label = match &req.account {
            Some(account) => self.account_labels.label(&account.name),
            None => "none".into(),
        };
        self.metrics.count_reason("direct.fair_share_refusals", &label);
        let detail = format!(
            "account {label} has a demand of {:.1} requests in flight, above its fair share of {:.1} \
             (capacity of the service: {:.0})",
            over.demand, over.share, over.room
        );
        Refusal::not_run(RefusalReason::FairShare, detail).retry_after(over.retry_after_ms)
    }

    /// Derives the shares of a service anew. While its room is not known, it has no limit.
    fn refresh_shares(&self, shares: &mut ServiceShares, service: &ServiceName, now: Millis) {
        if shares.summed_at.is_none_or(|at| now.since(at) >= SUMS_HOLD_MS) {
            shares.summed_at = Some(now);
            self.sum_peers(shares, service, now);
        }
        let priorities = lock(&self.fair_share_desk.priorities);
        let mut accounts: Vec<u32> = shares.share.own_accounts().collect();
        let elsewhere = shares.in_flight.keys().chain(shares.refused.keys());
        accounts.extend(elsewhere.copied());
        accounts.sort_unstable();
        accounts.dedup();
        let view = |account: &u32| AccountView {
            account: *account,
            weight: shares.usual.weight(*account),
            priority: priorities.get(account).copied().unwrap_or(0),
            elsewhere: count_of(&shares.in_flight, *account) + count_of(&shares.refused, *account),
        };
        let accounts: Vec<AccountView> = accounts.iter().map(view).collect();
        drop(priorities);
        let view = ServiceView {
            room: self.room(service, shares.spare_ms.unwrap_or(0.0)),
            other_entries: self.other_entries(),
            age_ms: self.occupancy().max_report_age_ms(now),
            accounts: &accounts,
        };
        shares.share.refresh(view, now);
        let percent = shares.share.utilization() * 100.0;
        self.metrics.gauge("direct.fair_share_demand_percent", percent as u64);
    }

    /// Sums what peers report, and records the use of all accounts.
    fn sum_peers(&self, shares: &mut ServiceShares, service: &ServiceName, now: Millis) {
        let (at_service, at_all) = self.online_elsewhere(service, now);
        let part = if at_all > 0.0 { at_service / at_all } else { 1.0 };
        let usages = self.account_usages();
        let elsewhere = |(account, all): (u32, u32)| {
            let others = all.saturating_sub(usages.own_in_flight(account));
            (account, f64::from(others) * part)
        };
        shares.in_flight = usages.in_flight(now).into_iter().map(elsewhere).collect();
        drop(usages);
        shares.assign_rest(at_service);
        shares.in_flight.retain(|_, requests| *requests > 0.0);
        shares.refused.clear();
        let service = service_id(service);
        let peers = lock(&self.fair_share_desk.peers);
        let current = peers.values().filter(|p| now < p.stale_at).flat_map(|p| &p.refusals);
        for refusal in current.filter(|r| r.service == service) {
            *shares.refused.entry(refusal.account).or_default() += f64::from(refusal.requests);
        }
        drop(peers);
        let mut in_flight = shares.in_flight.clone();
        for (account, requests) in shares.share.own_in_flight() {
            *in_flight.entry(account).or_default() += f64::from(requests);
        }
        let share = &shares.share;
        shares.usual.record(&in_flight, |account| share.is_limited(account), now);
    }

    /// Returns the online requests of the other entries at a service, and at all services. Reports count
    /// accounts over all services; the accounts are taken to use the services alike.
    fn online_elsewhere(&self, service: &ServiceName, now: Millis) -> (f64, f64) {
        let endpoints = self.endpoints.load();
        let mut occupancy = self.occupancy();
        let (mut at_service, mut at_all) = (0, 0);
        for endpoint in endpoints.values() {
            let key = endpoint.load_key();
            let own = occupancy.own_load(key).online;
            let others = occupancy.total_load(key, now).online.saturating_sub(own);
            at_all += others;
            at_service += if endpoint.service == *service { others } else { 0 };
        }
        (f64::from(at_service), f64::from(at_all))
    }

    /// Returns the online requests that a service can have in progress, running and waiting, if callers have
    /// `spare_ms` milliseconds to wait.
    fn room(&self, service: &ServiceName, spare_ms: f64) -> Room {
        let endpoints = self.endpoints.load();
        let run_times = self.run_times();
        let leaving = self.leaving();
        let mut room = Room { slots: 0, places: 0 };
        let is_ready = |e: &EndpointRecord| {
            e.service == *service && e.state == EndpointState::Ready && !leaving.is_leaving(e)
        };
        for endpoint in endpoints.values().filter(|e| is_ready(e)) {
            let interval_ms = run_times.end_interval_ms(service, endpoint.slots, 1.0);
            let waiting = (spare_ms * SHARED_WAIT_PART / interval_ms) as u32;
            room.slots = room.slots.saturating_add(endpoint.slots);
            room.places = room.places.saturating_add(endpoint.slots.saturating_add(waiting));
        }
        if room.slots == 0 || run_times.run_ms(service).is_none() {
            // The choice of the endpoint says that none is ready; without a run, nothing shows a limit.
            room.places = u32::MAX;
        }
        room
    }
}

fn count_of(counts: &IndexMap<u32, f64>, account: u32) -> f64 {
    counts.get(&account).copied().unwrap_or(0.0)
}

/// Returns the number of a request's account or, without one, of its route.
fn account_of(req: &CallerRequest) -> u32 {
    match &req.account {
        Some(account) => account.id(),
        None => req.route.place_hash(ROUTE_SEED) as u32,
    }
}

fn service_id(service: &ServiceName) -> u32 {
    stable_hash(service.as_str().as_bytes(), 0) as u32
}
