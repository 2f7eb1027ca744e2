//! `policy`: the admission and routing machines with the engine's model on a virtual clock, the same
//! load over each policy.

mod experiment;
mod load;
mod plan;
mod plot;
mod report;
mod request;
mod side;
mod world;

use std::path::PathBuf;

use crate::error::LoadError;

pub(crate) use experiment::ours;
pub(crate) use load::LoadShape;
pub(crate) use load::draw_arrivals;
pub(crate) use plan::Outcome;
pub(crate) use plan::Variant;
pub(crate) use plan::WorldPlan;
pub(crate) use world::run_world;

/// What is asked for.
#[derive(Debug, Clone)]
pub(crate) struct PolicyPlan {
    pub seed: u64,
    pub seeds: u64,
    pub seconds: u64,
    pub json: bool,
    pub plot: Option<PathBuf>,
}

/// Runs the experiment.
pub(crate) fn run(plan: &PolicyPlan) -> Result<(), LoadError> {
    let results = experiment::compare(plan);
    report::print(plan, &results);
    if let Some(folder) = &plan.plot {
        plot::draw(folder, &results)?;
    }
    let passed = results.targets.iter().filter(|t| !t.holds).count();
    if passed == 0 { Ok(()) } else { Err(LoadError::Bound { count: passed }) }
}
