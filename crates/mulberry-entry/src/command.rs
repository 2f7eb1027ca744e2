//! The command line of `mulberryshed-entry`.

use clap::ArgMatches;
use clap::Command;

use mulberry_process::logging::start_logging;
use mulberry_process::settings::add_settings;
use mulberry_process::stop::wait_for_signal;

use crate::error::EntryError;
use crate::process::start_entry;
use crate::settings::EntrySettings;

/// Returns the command with a flag for each setting.
pub fn command() -> Command {
    let command = Command::new("mulberryshed-entry")
        .about("Routes callers' requests to endpoints and owns batch jobs");
    add_settings(command, EntrySettings::SPECS)
}

/// Runs the entry until a signal stops it, or prints the settings if `check-settings` is given.
pub async fn run(matches: ArgMatches) -> Result<(), EntryError> {
    let settings = EntrySettings::from_matches(&matches)?;
    if matches.get_flag("check-settings") {
        print!("{}", settings.describe());
        return Ok(());
    }
    start_logging(settings.log_format, &settings.log);
    let entry = start_entry(settings)?;
    wait_for_signal().await;
    entry.stop().await;
    Ok(())
}
