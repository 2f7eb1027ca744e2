//! The `policy` experiment: runs the admission and routing code with a model of the engine on a virtual
//! clock, and compares policies under the same load.

mod experiment;
mod load;
mod plan;
mod plot;
mod report;
mod request;
mod side;
mod simulation;

use std::path::PathBuf;

use crate::error::LoadError;

pub(crate) use experiment::default_variant;
pub(crate) use load::LoadShape;
pub(crate) use load::draw_arrivals;
pub(crate) use plan::Outcome;
pub(crate) use plan::SimulationPlan;
pub(crate) use plan::Variant;
pub(crate) use simulation::run_simulation;

/// Arguments of the experiment.
#[derive(Debug, Clone)]
pub(crate) struct PolicyPlan {
    /// The first seed; the others follow it.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Duration of the load.
    pub seconds: u64,
    pub json: bool,
    /// Folder to write plots to.
    pub plot: Option<PathBuf>,
}

/// Compares all policies and prints the results. Fails if a target is missed.
pub(crate) fn run(plan: &PolicyPlan) -> Result<(), LoadError> {
    let results = experiment::compare(plan);
    report::print(plan, &results);
    if let Some(folder) = &plan.plot {
        plot::draw(folder, &results)?;
    }
    let failed = results.targets.iter().filter(|t| !t.holds).count();
    if failed == 0 { Ok(()) } else { Err(LoadError::Bound { count: failed }) }
}
