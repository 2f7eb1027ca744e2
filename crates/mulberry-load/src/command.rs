//! Command line of `mulberryshed-load`.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use mulberry_process::logging::LogFormat;
use mulberry_process::logging::start_logging;

use crate::capacity;
use crate::error::LoadError;
use crate::faults;
use crate::faults::FaultPlan;
use crate::faults::find_fault;
use crate::overload;
use crate::path;
use crate::policy;
use crate::policy::PolicyPlan;

/// Returns the definition of the command line.
pub fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Print JSON instead of tables");
    let log = Arg::new("log")
        .long("log")
        .global(true)
        .default_value("error")
        .help("Log filter, such as info or mulberry_side=debug");
    Command::new("mulberryshed-load")
        .about("Runs experiments on loopback against stand-ins")
        .subcommand_required(true)
        .arg(json)
        .arg(log)
        .subcommand(
            Command::new("capacity")
                .about("Measure the cost of control work and project it to the planned size"),
        )
        .subcommand(faults_command())
        .subcommand(policy_command())
        .subcommand(
            Command::new("overload")
                .about("Overload a pool of engines, and take some of its engines away")
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .value_parser(value_parser!(u64))
                        .default_value("1"),
                ),
        )
        .subcommand(
            Command::new("path").about("Measure the latency that the entry and the side add"),
        )
}

/// Returns an option that takes a number.
fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
}

fn faults_command() -> Command {
    Command::new("faults")
        .about("Compare what callers saw with what ran, under faults drawn from a seed")
        .arg(number_arg("seed", "1", "Seed of the load and the faults"))
        .arg(number_arg(
            "seconds",
            "12",
            "Duration of the faults in seconds, before all faults are ended",
        ))
        .arg(
            Arg::new("break")
                .long("break")
                .help("Inject this fault, which breaks a guarantee, to see its check fail"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .action(ArgAction::SetTrue)
                .help("Print the injected faults even if all bounds are met"),
        )
}

fn policy_command() -> Command {
    Command::new("policy")
        .about("Compare policies on a virtual clock under the same load")
        .arg(number_arg("seed", "1", "First seed"))
        .arg(number_arg("seeds", "5", "Number of seeds"))
        .arg(number_arg("seconds", "120", "Duration of the load in seconds"))
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_parser(value_parser!(PathBuf))
                .help("Write plots to this folder"),
        )
}

fn run_policy(matches: &ArgMatches, json: bool) -> Result<(), LoadError> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let plot = matches.get_one::<PathBuf>("plot").cloned();
    let (seed, seeds, seconds) = (number("seed"), number("seeds"), number("seconds"));
    policy::run(&PolicyPlan { seed, seeds, seconds, json, plot })
}

async fn run_faults(matches: &ArgMatches, json: bool) -> Result<(), LoadError> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let injected = matches.get_one::<String>("break").map(|name| find_fault(name)).transpose()?;
    let (seed, seconds) = (number("seed"), number("seconds"));
    let trace = matches.get_flag("trace");
    faults::run(FaultPlan { seed, seconds, json, injected, trace }).await
}

/// Runs the experiment that the subcommand names.
pub async fn run(matches: ArgMatches) -> Result<(), LoadError> {
    let log = matches.get_one::<String>("log").map_or("error", String::as_str);
    start_logging(LogFormat::Text, log);
    let json = matches.get_flag("json");
    match matches.subcommand() {
        Some(("capacity", _)) => capacity::run(json).await,
        Some(("overload", sub)) => {
            overload::run(sub.get_one::<u64>("seed").copied().unwrap_or(1), json)
        }
        Some(("path", _)) => path::run(json).await,
        Some(("policy", sub)) => run_policy(sub, json),
        Some(("faults", sub)) => run_faults(sub, json).await,
        _ => Ok(()),
    }
}
