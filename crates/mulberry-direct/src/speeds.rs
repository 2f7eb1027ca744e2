//! What this process learns of the endpoints' speeds, and how it is told to peers.

use std::sync::MutexGuard;

use mulberry_policy::endpoint_speed::EndpointSpeeds;
use mulberry_policy::endpoint_speed::ObservedRun;
use mulberry_policy::endpoint_speed::told_with;
use mulberry_policy::run_times::CompletedRun;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::peer::EndpointSlowness;
use mulberry_protocol::peer::PeerDatagram;
use mulberry_protocol::peer::PeerHeartbeat;

use crate::choice::EndpointChoice;
use crate::shared::SharedState;
use crate::shared::lock;

impl SharedState {
    fn endpoint_speeds(&self) -> MutexGuard<'_, EndpointSpeeds> {
        lock(&self.endpoint_speeds)
    }

    /// Records the times of a response, for the run times and for the speed of the endpoint. `rest` is
    /// the time from the first part to the last one and the number of parts, unless it came at once.
    pub fn record_run_times(
        &self,
        choice: &EndpointChoice,
        first_ms: u64,
        rest: Option<(u64, u64)>,
    ) {
        let endpoint = &choice.endpoint;
        let rest_ms = rest.map_or(0, |(rest_ms, _)| rest_ms);
        let (in_flight, slots) = (choice.in_flight + 1, endpoint.slots);
        let run = CompletedRun { first_ms, rest_ms, in_flight, slots };
        self.run_times().record_run(&endpoint.service, run);
        // An endpoint that has just started is slow for a short time only.
        if !endpoint.is_cold {
            let run = ObservedRun { in_flight: choice.in_flight + 1, first_ms, rest };
            self.endpoint_speeds().record_run(endpoint, run, self.clock.now());
        }
    }

    /// Returns the times that endpoints of one service take, relative to their mean.
    pub fn slowness<'a>(&self, endpoints: impl Iterator<Item = &'a EndpointRecord>) -> Vec<f64> {
        let keys: Vec<u32> = endpoints.map(EndpointRecord::speed_key).collect();
        self.endpoint_speeds().slowness(&keys, self.clock.now())
    }

    /// Returns what to tell peers of the endpoints' speeds with a heartbeat.
    pub(crate) fn slowness_to_tell(&self, heartbeat: &PeerHeartbeat) -> Vec<EndpointSlowness> {
        let most = told_with(heartbeat.loads.len(), heartbeat.sequence);
        self.endpoint_speeds().slowness_to_tell(most, self.clock.now())
    }

    /// Records what a peer tells of the endpoints' speeds, and how far its loads are off what was expected
    /// of it.
    pub(crate) fn merge_view(&self, datagram: &PeerDatagram) {
        let now = self.clock.now();
        self.endpoint_speeds().merge(&datagram.slowness, now);
        let run_ms = self.run_times().mean_run_ms();
        let (name, loads) = (&datagram.heartbeat.member.name, &datagram.heartbeat.loads);
        let error = self.occupancy().report_error(name, loads, run_ms, now);
        self.metrics.add("direct.loads_reported", error.reported.into());
        self.metrics.add("direct.loads_misjudged", error.misjudged.round() as u64);
    }
}
