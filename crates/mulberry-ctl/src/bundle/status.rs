//! `bundle status`: shows the bundle in force and the processes that run an older one.

use serde::Serialize;

use mulberry_protocol::bundle::InForceRecord;

use crate::context::CtlContext;
use crate::error::CtlError;
use crate::fleet::FleetRow;
use crate::fleet::read_fleet;
use crate::output::new_table;
use crate::output::print_result;

/// Result of the command, as printed with `--json`.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Status {
    in_force: Option<InForceRecord>,
    /// Processes with an older bundle than the one in force, or that did not respond.
    behind: Vec<FleetRow>,
    /// Number of processes known, those behind included.
    processes: usize,
}

/// Prints the bundle in force, the number of processes, and each process with an older bundle.
pub(crate) async fn run(cx: &CtlContext) -> Result<(), CtlError> {
    let in_force = cx.read_in_force().await?.map(|(in_force, _)| in_force);
    let fleet = read_fleet(cx).await?;
    let number = in_force.as_ref().map_or(0, |i| i.number);
    let processes = fleet.len();
    let behind = fleet.into_iter().filter(|row| row.bundle < number).collect();
    let status = Status { in_force, behind, processes };
    print_result(cx.json, &status, |status| {
        let Some(in_force) = &status.in_force else { return "no bundle is in force".to_owned() };
        let mut table = new_table(&["number", "digest", "rolled by", "processes", "behind"]);
        table.add_row([
            in_force.number.to_string(),
            in_force.digest.as_str().to_owned(),
            in_force.by.to_string(),
            status.processes.to_string(),
            status.behind.len().to_string(),
        ]);
        let behind: Vec<String> =
            status.behind.iter().map(|r| format!("\n{} has {}", r.name, r.bundle)).collect();
        format!("{table}{}", behind.concat())
    });
    Ok(())
}
