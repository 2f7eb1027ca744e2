//! The `capacity` experiment: measures the cost of control work on one machine and projects it to the
//! planned size of the deployment.

mod control;
mod heartbeats;
mod memory;
mod path;
mod projection;
mod report;
mod store_calls;

use serde::Serialize;

use crate::error::LoadError;

/// All measured costs.
#[derive(Debug, Serialize)]
pub(crate) struct Measured {
    pub beats: heartbeats::HeartbeatCosts,
    pub control: control::ControlCosts,
    pub memory: memory::MemoryCosts,
    pub calls: store_calls::StoreCalls,
    pub path: path::PathCosts,
}

/// Measures all costs and prints them with their projection. Fails if a projected value exceeds its
/// bound.
pub(crate) async fn run(json: bool) -> Result<(), LoadError> {
    let memory = memory::measure();
    let heartbeats = heartbeats::measure();
    let control = control::measure().await?;
    let calls = store_calls::measure().await?;
    let path = path::measure().await?;
    let measured = Measured { beats: heartbeats, control, memory, calls, path };
    let projection = projection::project(&measured);
    report::print(&measured, &projection, json);
    let exceeded = projection.rows.iter().filter(|r| !r.holds).count();
    if exceeded == 0 { Ok(()) } else { Err(LoadError::Bound { count: exceeded }) }
}
