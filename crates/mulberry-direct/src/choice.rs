//! Chooses the endpoint for an online request.

use std::sync::Arc;

use rand::Rng;

use mulberry_policy::endpoint_continuity::certain_in_ms;
use mulberry_policy::endpoint_limits::EndpointLimits;
use mulberry_policy::expected_wait::EndpointView;
use mulberry_policy::expected_wait::ReportQuality;
use mulberry_policy::expected_wait::choose_by_wait;
use mulberry_policy::occupancy::Load;
use mulberry_policy::routing::COLD_WAIT_MS;
use mulberry_policy::waiting_line::return_after_ms;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::limit::PermitClass;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::stream_origin::StreamOrigin;

use crate::caller_request::CallerRequest;
use crate::relay::Relay;
use crate::shared::Endpoints;
use crate::waiting::LOOK_INTERVAL;
use crate::waiting::Turn;

/// Most questions for permits that one choice waits for.
const MAX_QUESTIONS: u32 = 3;

/// Wait that is assumed at an endpoint with a limit, so that the others are chosen first, in milliseconds.
const LIMITED_WAIT_MS: u32 = 250;

/// The endpoint chosen for a request, and the load information that the choice was based on.
#[derive(Debug, Clone)]
pub struct EndpointChoice {
    /// Record of the chosen endpoint.
    pub endpoint: EndpointRecord,
    /// Online requests and batch items known to be in flight there, from all processes.
    pub in_flight: u32,
    /// Age of the oldest peer load report that was counted, in milliseconds.
    pub view_age_ms: u64,
    /// Time that the endpoint takes relative to the others of its service, in percent.
    pub slowness_percent: u64,
}

/// Endpoints that a request may go to now, with their loads.
struct Choices {
    endpoints: Arc<Endpoints>,
    /// What the peers' reports of loads are worth.
    reports: ReportQuality,
    /// Positions among the endpoints.
    usable: Vec<usize>,
    candidates: Vec<EndpointView>,
    /// Time until the first of the others may get a request within its limit, in milliseconds, if there
    /// are any.
    limited_ms: Option<u64>,
    /// Time that is left to the caller, in milliseconds.
    left_ms: u64,
}

impl Relay {
    /// Chooses a ready endpoint of the service that has not been tried, has room, and may get a request within
    /// the limit that it names; of the origin, if the request continues a stream. Waits for room as long as the
    /// request can still be served in its time. Returns the refusal to send if there is none.
    pub async fn choose_within_limits(
        &self,
        req: &CallerRequest,
        service: &ServiceName,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
        turn: Turn,
    ) -> Result<EndpointChoice, Refusal> {
        if tried.is_empty() {
            self.shared.take_fair_place(req, service)?;
        }
        let chosen = match (tried, origin) {
            ([], None) => self.choose_in_turn(req, service, turn).await?,
            _ => self.choose_beside(req, service, tried, origin).await?,
        };
        req.place.confirm();
        Ok(chosen)
    }

    /// Chooses an endpoint when it is the request's turn.
    async fn choose_in_turn(
        &self,
        req: &CallerRequest,
        service: &ServiceName,
        turn: Turn,
    ) -> Result<EndpointChoice, Refusal> {
        if self.shared.is_line_empty(service) {
            let chosen = self.choose_of_service(req, service, &[], None).await;
            if !is_without_room(&chosen) {
                return chosen;
            }
        }
        let waiter = self.shared.join_line(req, service, turn)?;
        loop {
            if waiter.is_first() {
                let chosen = self.choose_of_service(req, service, &[], None).await;
                if !is_without_room(&chosen) {
                    return chosen;
                }
            }
            if !waiter.wait().await {
                return Err(self.shared.refuse_late(req));
            }
        }
    }

    /// Chooses an endpoint for a request that can't go to all of them, beside those that wait: they are not
    /// to wait behind it while it waits for one that they don't need.
    async fn choose_beside(
        &self,
        req: &CallerRequest,
        service: &ServiceName,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
    ) -> Result<EndpointChoice, Refusal> {
        let worth_until = self.shared.worth_until(req, service);
        loop {
            let chosen = self.choose_of_service(req, service, tried, origin).await;
            if !is_without_room(&chosen) {
                return chosen;
            }
            if self.shared.clock.now() >= worth_until {
                return Err(self.shared.refuse_late(req));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    async fn choose_of_service(
        &self,
        req: &CallerRequest,
        service: &ServiceName,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
    ) -> Result<EndpointChoice, Refusal> {
        let mut questions = 0;
        loop {
            let mut choices = self.choices(req, service, tried, origin)?;
            if questions >= MAX_QUESTIONS {
                choices.leave_out_limited(&self.shared.limits());
            }
            let chosen = choices.choose()?;
            let is_limited = |i: usize| {
                let key = choices.endpoint(i).load_key();
                self.shared.limits().limit(key).is_some()
            };
            if !is_limited(chosen) {
                return Ok(self.to_choice(&choices, chosen));
            }
            let others = (0..choices.usable.len()).filter(|i| *i != chosen && is_limited(*i));
            let mut limited: Vec<usize> =
                others.filter(|i| !choices.candidates[*i].avoid).collect();
            limited.sort_by_key(|i| choices.candidates[*i].in_flight());
            limited.insert(0, chosen);
            let asked: Vec<&EndpointRecord> =
                limited.iter().map(|i| choices.endpoint(*i)).collect();
            questions += 1;
            // Without a permit, none of them is among the choices for a while.
            if let Some(granted) = self.shared.take_permit(PermitClass::Online, &asked).await {
                return Ok(self.to_choice(&choices, limited[granted]));
            }
        }
    }

    /// Chooses an endpoint like [`Self::choose_within_limits`], but takes no permit to send a request.
    pub fn choose(
        &self,
        req: &CallerRequest,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
    ) -> Result<EndpointChoice, Refusal> {
        let service = self.pick_service(req, tried, origin)?;
        let choices = self.choices(req, &service, tried, origin)?;
        let chosen = choices.choose()?;
        Ok(self.to_choice(&choices, chosen))
    }

    fn no_endpoint(&self, req: &CallerRequest) -> Refusal {
        let left_ms = req.due.since(self.shared.clock.now());
        let detail = "no ready endpoint is left for the route";
        Refusal::not_run(RefusalReason::NoEndpoint, detail)
            .retry_after(return_after_ms(left_ms, rand::rng().random()))
    }

    /// Picks the service for a request, that of the origin if it continues a stream. Endpoints that were tried
    /// don't count. Returns the refusal to send if the route has none.
    pub(crate) fn pick_service(
        &self,
        req: &CallerRequest,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
    ) -> Result<ServiceName, Refusal> {
        let picked = match origin {
            Some(origin) => Some(&origin.service),
            None => {
                let is_tried = |e: &EndpointRecord| tried.contains(&e.name);
                self.shared.pick_service(&req.route, rand::rng().random(), is_tried)
            }
        };
        picked.cloned().ok_or_else(|| self.no_endpoint(req))
    }

    fn choices(
        &self,
        req: &CallerRequest,
        service: &ServiceName,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
    ) -> Result<Choices, Refusal> {
        let endpoints = self.shared.endpoints.load_full();
        let ready = self.ready_endpoints(&endpoints, service, tried, origin);
        if ready.is_empty() {
            return Err(self.no_endpoint(req));
        }
        let now = self.shared.clock.now();
        let wait_ms = self.shared.worth_until(req, service).since(now);
        let slowness = self.shared.slowness(ready.iter().map(|(_, e)| *e));
        let others = self.shared.other_entries();
        let mut occupancy = self.shared.occupancy();
        let ejector = self.shared.ejector();
        let run_times = self.shared.run_times();
        let limits = self.shared.limits();
        let mut usable = Vec::with_capacity(ready.len());
        let mut candidates = Vec::with_capacity(ready.len());
        let mut shortest_ms: Option<u64> = None;
        let age_ms = occupancy.mean_report_age_ms(now);
        let reports = ReportQuality { age_ms, run_ms: run_times.run_ms(service), others };
        let loads: Vec<Load> =
            ready.iter().map(|(_, e)| occupancy.total_load(e.load_key(), now)).collect();
        let max_online = |endpoint: &EndpointRecord, slowness: f64| {
            run_times.max_online(service, endpoint.slots, slowness, age_ms, wait_ms)
        };
        let maxima: Vec<u32> =
            ready.iter().zip(&slowness).map(|((_, e), slow)| max_online(e, *slow)).collect();
        let own = ready.iter().map(|(_, e)| occupancy.own_load(e.load_key()).online).sum();
        let all = loads.iter().map(|l| l.online).sum();
        let is_behind = self.shared.is_behind(service, (own, all), maxima.iter().sum(), now);
        let known = loads.into_iter().zip(maxima).zip(slowness);
        for ((position, endpoint), ((load, max), slowness)) in ready.into_iter().zip(known) {
            let (key, slots) = (endpoint.load_key(), endpoint.slots);
            let max = if is_behind { max + (max - slots) } else { max };
            if load.online >= max || self.shared.is_full(key, now) {
                continue;
            }
            let limited_ms = limits.wait_ms(key, now);
            if limited_ms > 0 {
                shortest_ms = Some(shortest_ms.map_or(limited_ms, |ms| ms.min(limited_ms)));
                continue;
            }
            let cold_ms = if endpoint.is_cold { COLD_WAIT_MS } else { 0 };
            let spared_ms = if limits.is_spared(key, now) { LIMITED_WAIT_MS } else { 0 };
            usable.push(position);
            let own = occupancy.own_load(key).total();
            candidates.push(EndpointView {
                near: endpoint.zone == self.shared.settings.zone,
                own,
                peers: load.total().saturating_sub(own),
                slots,
                slowness,
                extra_wait_ms: cold_ms + spared_ms,
                avoid: ejector.is_ejected(&endpoint.name, now),
            });
        }
        drop((occupancy, ejector, run_times, limits));
        let limited_ms = shortest_ms;
        let left_ms = req.due.since(now);
        let mut choices = Choices { endpoints, reports, usable, candidates, limited_ms, left_ms };
        if origin.is_some() {
            self.prefer_held(&mut choices);
        }
        Ok(choices)
    }

    /// Returns the endpoints that take requests and have not been tried, with their positions.
    fn ready_endpoints<'a>(
        &self,
        endpoints: &'a Endpoints,
        service: &ServiceName,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
    ) -> Vec<(usize, &'a EndpointRecord)> {
        let leaving = self.shared.leaving();
        endpoints
            .values()
            .enumerate()
            .filter(|(_, e)| e.service == *service && e.state == EndpointState::Ready)
            .filter(|(_, e)| !leaving.is_leaving(e))
            .filter(|(_, e)| origin.is_none_or(|origin| e.software == origin.software))
            .filter(|(_, e)| !tried.contains(&e.name))
            .collect()
    }

    fn to_choice(&self, choices: &Choices, chosen: usize) -> EndpointChoice {
        let metrics = &self.shared.metrics;
        metrics.time_ms("direct.view_age_ms", choices.reports.age_ms as u64);
        let slowness_percent = (choices.candidates[chosen].slowness * 100.0) as u64;
        metrics.time_ms("direct.slowness_percent", slowness_percent);
        EndpointChoice {
            endpoint: choices.endpoint(chosen).clone(),
            in_flight: choices.candidates[chosen].in_flight(),
            view_age_ms: self.shared.occupancy().max_report_age_ms(self.shared.clock.now()),
            slowness_percent,
        }
    }

    /// Marks the endpoints whose version would have to be waited for longest, if there are others.
    fn prefer_held(&self, choices: &mut Choices) {
        let unconfirmed_ms = self.shared.endpoints_unconfirmed_ms();
        let wait_ms = |position: usize| {
            let held_ms = self.pool.held_ms(choices.endpoint(position).address).unwrap_or(0);
            certain_in_ms(held_ms, unconfirmed_ms)
        };
        let waits: Vec<u64> = (0..choices.usable.len()).map(wait_ms).collect();
        let usable_waits = choices.candidates.iter().zip(&waits).filter(|(c, _)| !c.avoid);
        let Some(shortest) = usable_waits.map(|(_, wait)| *wait).min() else { return };
        let candidates = choices.candidates.iter_mut().zip(&waits);
        candidates.for_each(|(c, wait)| c.avoid |= *wait > shortest);
    }
}

impl Choices {
    /// Leaves out the endpoints that may get a request with a permit only.
    fn leave_out_limited(&mut self, limits: &EndpointLimits) {
        let before = self.candidates.len();
        let is_free = |i: usize| limits.limit(self.endpoint(i).load_key()).is_none();
        let kept: Vec<bool> = (0..before).map(is_free).collect();
        let (mut kept_usable, mut kept_candidates) = (kept.iter(), kept.iter());
        self.usable.retain(|_| kept_usable.next() == Some(&true));
        self.candidates.retain(|_| kept_candidates.next() == Some(&true));
        if self.candidates.len() < before {
            self.limited_ms.get_or_insert(0);
        }
    }

    fn endpoint(&self, position: usize) -> &EndpointRecord {
        &self.endpoints[self.usable[position]]
    }

    /// Returns the position of the endpoint to choose, or the refusal if there is none.
    fn choose(&self) -> Result<usize, Refusal> {
        let mut rng = rand::rng();
        let chosen = choose_by_wait(&self.candidates, self.reports, &mut rng);
        chosen.ok_or_else(|| match self.limited_ms {
            Some(limited_ms) => Refusal::not_run(
                RefusalReason::EndpointLimit,
                "every ready endpoint with room has had what its own limit allows",
            )
            .retry_after(
                return_after_ms(self.left_ms, rng.random())
                    .max(u32::try_from(limited_ms).unwrap_or(0)),
            ),
            None => Refusal::not_run(RefusalReason::Busy, "no ready endpoint has room")
                .retry_after(return_after_ms(self.left_ms, rng.random())),
        })
    }
}

/// Returns whether there are endpoints, but none has room now.
fn is_without_room(chosen: &Result<EndpointChoice, Refusal>) -> bool {
    chosen.as_ref().is_err_and(|refusal| refusal.reason == RefusalReason::Busy)
}
