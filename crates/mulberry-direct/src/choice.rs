//! Chooses the endpoint for an online request.

use rand::Rng;

use mulberry_policy::endpoint_continuity::certain_in_ms;
use mulberry_policy::queue_limit::retry_after_ms;
use mulberry_policy::routing::COLD_WAIT_MS;
use mulberry_policy::routing::Candidate;
use mulberry_policy::routing::RoutingMode;
use mulberry_policy::routing::choose_endpoint;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::endpoint::EndpointState;
use mulberry_protocol::name::EndpointName;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::stream_origin::StreamOrigin;

use crate::relay::CallerRequest;
use crate::relay::Relay;

/// `Retry-After` of requests that are refused because no endpoint is ready, in milliseconds.
const RETRY_AFTER_MS: u32 = 400;

/// The endpoint chosen for a request, and the load information that the choice was based on.
#[derive(Debug, Clone)]
pub struct EndpointChoice {
    /// Record of the chosen endpoint.
    pub endpoint: EndpointRecord,
    /// Online requests and batch items known to be in flight there, from all processes.
    pub in_flight: u32,
    /// Age of the oldest peer load report that was counted, in milliseconds.
    pub view_age_ms: u64,
}

impl Relay {
    /// Chooses a ready endpoint that has not been tried and is below its queue limit; of the origin, if
    /// the request continues a stream. Returns the refusal to send if there is none.
    pub fn choose(
        &self,
        req: &CallerRequest,
        tried: &[EndpointName],
        origin: Option<&StreamOrigin>,
    ) -> Result<EndpointChoice, Refusal> {
        let endpoints = self.shared.endpoints.load();
        let mut rng = rand::rng();
        let none = || {
            Refusal::not_run(RefusalReason::NoEndpoint, "no ready endpoint is left for the route")
                .retry_after(RETRY_AFTER_MS)
        };
        let service = match origin {
            Some(origin) => &origin.service,
            None => req.route.pick_service(rng.random()).ok_or_else(none)?,
        };
        let leaving = self.shared.leaving();
        let ready: Vec<&EndpointRecord> = endpoints
            .values()
            .filter(|e| e.service == *service && e.state == EndpointState::Ready)
            .filter(|e| !leaving.is_leaving(e))
            .filter(|e| origin.is_none_or(|origin| e.software == origin.software))
            .filter(|e| !tried.contains(&e.name))
            .collect();
        drop(leaving);
        if ready.is_empty() {
            return Err(none());
        }
        let now = self.shared.clock.now();
        let occupancy = self.shared.occupancy();
        let ejector = self.shared.ejector();
        let limits = self.shared.queue_limits();
        let target_ms = req.route.target_ms;
        let mut usable: Vec<&EndpointRecord> = Vec::with_capacity(ready.len());
        let mut candidates: Vec<Candidate> = Vec::with_capacity(ready.len());
        for endpoint in ready {
            let load = occupancy.total_load(endpoint.load_key(), now);
            let max = limits.max_online(service, endpoint.slots, target_ms, req.is_retry);
            if load.online >= max {
                continue;
            }
            usable.push(endpoint);
            candidates.push(Candidate {
                name_hash: endpoint.load_key(),
                near: endpoint.zone == self.shared.settings.zone,
                own_in_flight: occupancy.own_load(endpoint.load_key()).online,
                reported_online: load.total(),
                limit: endpoint.slots,
                reported_wait_ms: if endpoint.is_cold { COLD_WAIT_MS } else { 0 },
                avoid: ejector.is_ejected(&endpoint.name, now),
            });
        }
        if origin.is_some() {
            self.prefer_held(&usable, &mut candidates);
        }
        match choose_endpoint(RoutingMode::LeastLoaded, &candidates, None, &mut rng) {
            Some(chosen) => Ok(EndpointChoice {
                endpoint: usable[chosen].clone(),
                in_flight: candidates[chosen].reported_online,
                view_age_ms: occupancy.max_report_age_ms(now),
            }),
            None => Err(Refusal::not_run(
                RefusalReason::Busy,
                "every ready endpoint is at its queue limit",
            )
            .retry_after(retry_after_ms(rng.random()))),
        }
    }

    /// Marks the endpoints whose version would have to be waited for longest, if there are others.
    fn prefer_held(&self, usable: &[&EndpointRecord], candidates: &mut [Candidate]) {
        let stale_ms = self.shared.endpoints_stale_ms();
        let wait_ms = |endpoint: &EndpointRecord| {
            let held_ms = self.pool.held_ms(endpoint.address).unwrap_or(0);
            certain_in_ms(held_ms, stale_ms)
        };
        let waits: Vec<u64> = usable.iter().map(|e| wait_ms(e)).collect();
        let usable_waits = candidates.iter().zip(&waits).filter(|(c, _)| !c.avoid);
        let Some(shortest) = usable_waits.map(|(_, wait)| *wait).min() else { return };
        candidates.iter_mut().zip(&waits).for_each(|(c, wait)| c.avoid |= *wait > shortest);
    }
}
