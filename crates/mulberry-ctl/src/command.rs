//! Defines the command line of `mulberryshedctl` and dispatches to the commands.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use mulberry_process::settings::add_settings;

use crate::bundle;
use crate::context::CtlContext;
use crate::context::CtlSettings;
use crate::error::CtlError;
use crate::fleet;
use crate::job;
use crate::key_digest;

/// Returns the command with its subcommands, flags and settings.
pub fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Print JSON instead of text and tables");
    let command = Command::new("mulberryshedctl")
        .about("Manage bundles and jobs, and show the state of the fleet")
        .after_help(
            "Exit codes: 0 success, 1 command failed or refused, 2 invalid arguments or settings, \
             3 platform call failed",
        )
        .arg(json)
        .subcommand(bundle_command())
        .subcommand(job_command())
        .subcommand(Command::new("fleet").about("Show the state, bundle and load of each process"))
        .subcommand(
            Command::new("key-digest")
                .about("Print the digest to put into a bundle in place of a key")
                .arg(Arg::new("key").required(true)),
        );
    add_settings(command, CtlSettings::SPECS)
}

fn bundle_command() -> Command {
    let file = || Arg::new("file").required(true).help("Path of the bundle's TOML file");
    let digest = || {
        Arg::new("digest")
            .required(true)
            .help("Digest of the bundle, as printed by `bundle submit`")
    };
    let bundle =
        |name| Arg::new(name).required(true).help("Digest, path of a TOML file, or `in-force`");
    Command::new("bundle")
        .about("Check, submit, sign off, roll and inspect bundles")
        .subcommand_required(true)
        .subcommand(
            Command::new("check").about("Check a bundle file and report all errors").arg(file()),
        )
        .subcommand(Command::new("submit").about("Store a checked bundle for sign-off").arg(file()))
        .subcommand(
            Command::new("sign-off")
                .about("Approve a bundle that another operator submitted")
                .arg(digest()),
        )
        .subcommand(Command::new("roll").about("Put a signed-off bundle in force").arg(digest()))
        .subcommand(
            Command::new("status")
                .about("Show the bundle in force and the processes that lag behind it"),
        )
        .subcommand(Command::new("history").about("List all rolls, latest first"))
        .subcommand(
            Command::new("diff")
                .about("Show the differences between two bundles")
                .arg(bundle("before"))
                .arg(bundle("after")),
        )
}

fn job_command() -> Command {
    let id = || Arg::new("job").required(true).help("Job identifier");
    let client = Arg::new("client").long("client").help("List only jobs of this client");
    Command::new("job")
        .about("List, inspect and cancel jobs")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List jobs").arg(client))
        .subcommand(Command::new("show").about("Show one job").arg(id()))
        .subcommand(
            Command::new("results")
                .about("Print the committed results of a job, one JSON line per item")
                .arg(id()),
        )
        .subcommand(
            Command::new("cancel")
                .about("Cancel a job; results committed before stay readable")
                .arg(id()),
        )
}

/// Runs the command that the arguments name.
pub async fn run(matches: ArgMatches) -> Result<(), CtlError> {
    let settings = CtlSettings::from_matches(&matches)?;
    if matches.get_flag("check-settings") {
        print!("{}", settings.describe());
        return Ok(());
    }
    let cx = CtlContext::new(settings, matches.get_flag("json"));
    match matches.subcommand() {
        Some(("bundle", sub)) => run_bundle(&cx, sub).await,
        Some(("job", sub)) => run_job(&cx, sub).await,
        Some(("fleet", _)) => fleet::run(&cx).await,
        Some(("key-digest", sub)) => {
            key_digest::run(required_arg(sub, "key"));
            Ok(())
        }
        _ => {
            // Fails only if standard output is closed, and then the help has no reader.
            let _print_failed = command().print_help();
            Ok(())
        }
    }
}

async fn run_bundle(cx: &CtlContext, matches: &ArgMatches) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("check", sub)) => bundle::check::run(required_arg(sub, "file")),
        Some(("submit", sub)) => bundle::submit::run(cx, required_arg(sub, "file")).await,
        Some(("sign-off", sub)) => bundle::sign_off::run(cx, required_arg(sub, "digest")).await,
        Some(("roll", sub)) => bundle::roll::run(cx, required_arg(sub, "digest")).await,
        Some(("history", _)) => bundle::history::run(cx).await,
        Some(("diff", sub)) => {
            bundle::diff::run(cx, required_arg(sub, "before"), required_arg(sub, "after")).await
        }
        _ => bundle::status::run(cx).await,
    }
}

async fn run_job(cx: &CtlContext, matches: &ArgMatches) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("show", sub)) => job::show::run(cx, required_arg(sub, "job")).await,
        Some(("results", sub)) => job::results::run(cx, required_arg(sub, "job")).await,
        Some(("cancel", sub)) => job::cancel::run(cx, required_arg(sub, "job")).await,
        Some((_, sub)) => {
            let client = sub.try_get_one::<String>("client").ok().flatten();
            job::list::run(cx, client.map(String::as_str)).await
        }
        None => Ok(()),
    }
}

fn required_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}
