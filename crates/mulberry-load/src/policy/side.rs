//! One engine with its side's admission.

use indexmap::IndexMap;

use mulberry_policy::admission::Admission;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_standin::engine::EngineSimulation;

use super::request::Request;

/// The side, its engine's model, and what is in flight there.
pub(crate) struct Side {
    pub admission: Admission,
    pub model: EngineSimulation,
    pub slowness: f64,
    pub stepping: bool,
    pub report: mulberry_standin::engine::StepReport,
    pub cancels: Vec<u64>,
    pub pulling: u32,
    pub in_flight: u32,
    pub load: SideLoad,
    pub away: bool,
    pub unfilled_since: Option<u64>,
    pub live: IndexMap<u64, u64>,
}

/// Stops what was cancelled, between two steps. Returns the items that stopped.
pub(crate) fn stop_cancelled(side: &mut Side, requests: &mut IndexMap<u64, Request>) -> Vec<u64> {
    if side.stepping {
        return Vec::new();
    }
    let mut stopped = Vec::new();
    for id in std::mem::take(&mut side.cancels) {
        let run = side.live.iter().find(|(_, of)| **of == id).map(|(run, _)| *run);
        let Some(run) = run else { continue };
        side.live.swap_remove(&run);
        if side.model.cancel(run).is_some()
            && let Some(request) = requests.get_mut(&id)
        {
            request.stopped_handle = Some(run);
            stopped.push(id);
        }
    }
    stopped
}
