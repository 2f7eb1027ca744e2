//! An engine with its side in a simulation.

use indexmap::IndexMap;

use mulberry_policy::admission::Admission;
use mulberry_protocol::heartbeat::SideLoad;
use mulberry_standin::engine::EngineSimulation;

use super::request::Request;

/// State of a side: its admission, the model of its engine, and the work in progress.
pub(crate) struct Side {
    pub admission: Admission,
    pub model: EngineSimulation,
    /// Factor of the engine's step time.
    pub slowness: f64,
    /// Whether the engine is computing a step.
    pub step_running: bool,
    /// Results of the step in progress, which count when it ends.
    pub report: mulberry_standin::engine::StepReport,
    /// Batch items to stop at the end of the step.
    pub pending_stops: Vec<u64>,
    /// Batch items pulled that have not arrived yet.
    pub pulls_in_flight: u32,
    /// Online requests that the router sent here.
    pub in_flight: u32,
    /// Load as last reported to the router.
    pub load: SideLoad,
    /// Whether the engine and its side are lost at present.
    pub is_lost: bool,
    /// Time since which too many slots for batch items are free, in microseconds.
    pub unfilled_since: Option<u64>,
    /// Id of the request or item by run id, for the runs on the engine.
    pub request_by_run: IndexMap<u64, u64>,
}

/// Stops the preempted items, which is only possible between two steps. Returns those that stopped.
pub(crate) fn stop_preempted(side: &mut Side, requests: &mut IndexMap<u64, Request>) -> Vec<u64> {
    if side.step_running {
        return Vec::new();
    }
    let mut stopped = Vec::new();
    for id in std::mem::take(&mut side.pending_stops) {
        let run = side.request_by_run.iter().find(|(_, of)| **of == id).map(|(run, _)| *run);
        let Some(run) = run else { continue };
        side.request_by_run.swap_remove(&run);
        if side.model.cancel(run).is_some()
            && let Some(request) = requests.get_mut(&id)
        {
            request.resume_run = Some(run);
            stopped.push(id);
        }
    }
    stopped
}
