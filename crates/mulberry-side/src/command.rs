//! The command line of `mulberryshed-side`.

use clap::ArgMatches;
use clap::Command;

use mulberry_process::logging::start_logging;
use mulberry_process::settings::add_settings;
use mulberry_process::stop::wait_for_signal;

use crate::error::SideError;
use crate::process::start_side;
use crate::settings::SideSettings;

/// Returns the command with a flag for each setting.
pub fn command() -> Command {
    let command = Command::new("mulberryshed-side").about(
        "Runs beside one endpoint: admits requests, pulls batch items, loads and unloads models",
    );
    add_settings(command, SideSettings::SPECS)
}

/// Runs the side until SIGTERM or SIGINT, then stops it gracefully. With `--check-settings`, prints
/// the settings and returns.
pub async fn run(matches: ArgMatches) -> Result<(), SideError> {
    let settings = SideSettings::from_matches(&matches)?;
    if matches.get_flag("check-settings") {
        print!("{}", settings.describe());
        return Ok(());
    }
    start_logging(settings.log_format, &settings.log);
    let side = start_side(settings)?;
    wait_for_signal().await;
    side.stop().await;
    Ok(())
}
