//! `serve`: runs the sample deployment until a termination signal.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use mulberry_process::stop::wait_for_signal;
use mulberry_standin::engine::EngineSettings;
use mulberry_trial::fleet::Fleet;
use mulberry_trial::plan::CLIENT_KEY;
use mulberry_trial::plan::FleetPlan;
use mulberry_trial::plan::SAMPLE_BUNDLE;

use crate::error::LocalError;

/// Number of engines.
const ENGINES: usize = 3;

/// Starts the deployment with entries on `port` and the port after it, and prints how to reach it.
pub(crate) async fn run(port: u16) -> Result<(), LocalError> {
    let mut plan = FleetPlan::sample(ENGINES, EngineSettings::default());
    let second_port = if port == 0 { 0 } else { port + 1 };
    plan.entry_addresses =
        [port, second_port].iter().map(|p| SocketAddr::from((Ipv4Addr::LOCALHOST, *p))).collect();
    let fleet = Fleet::start(plan).await?;
    let number = fleet.roll(SAMPLE_BUNDLE).await?;
    fleet.wait_ready().await?;
    println!("bundle number {number} is in force");
    for (name, entry) in &fleet.entries {
        println!("{name}: http://{}/v1", entry.address);
    }
    println!("key: {CLIENT_KEY}");
    println!("object API: {}", fleet.object_api_address);
    println!("VM list: {}", fleet.vm_list_address);
    println!("models: caption-7b, blurb-3b; plain service: editor-api");
    wait_for_signal().await;
    println!("stopping");
    fleet.stop().await;
    Ok(())
}
