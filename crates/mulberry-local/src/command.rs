//! Defines the command line of `mulberryshed-local` and dispatches to the commands.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use mulberry_process::logging::LogFormat;
use mulberry_process::logging::start_logging;

use crate::demo;
use crate::error::LocalError;
use crate::serve;

/// Returns the command with its subcommands and flags.
pub fn command() -> Command {
    let log = Arg::new("log")
        .long("log")
        .global(true)
        .default_value("error")
        .help("Log filter, such as info or mulberry_entry=debug");
    let input = Arg::new("input")
        .long("input")
        .help("JSON Lines file with the items of the job, in place of the sample catalogue");
    let port =
        Arg::new("port").long("port").value_parser(value_parser!(u16)).default_value("8080").help(
            "Port of the first entry; the second entry uses the next port; 0 picks free ports",
        );
    Command::new("mulberryshed-local")
        .about("Run the whole system in one process on loopback")
        .subcommand_required(true)
        .arg(log)
        .subcommand(
            Command::new("demo")
                .about("Run a job and online requests while a side and an entry are killed")
                .arg(input),
        )
        .subcommand(
            Command::new("serve").about("Serve the sample deployment until interrupted").arg(port),
        )
}

/// Runs the command that the arguments name.
pub async fn run(matches: ArgMatches) -> Result<(), LocalError> {
    let log = matches.get_one::<String>("log").map_or("error", String::as_str);
    start_logging(LogFormat::Text, log);
    match matches.subcommand() {
        Some(("serve", sub)) => serve::run(sub.get_one::<u16>("port").copied().unwrap_or(0)).await,
        Some((_, sub)) => {
            let input = sub.try_get_one::<String>("input").ok().flatten();
            demo::run(input.map(String::as_str)).await
        }
        None => Ok(()),
    }
}
