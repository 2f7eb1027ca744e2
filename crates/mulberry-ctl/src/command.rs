//! The command line of `mulberryshedctl`.

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

/// Returns the command line.
pub fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Print JSON in place of tables");
    let command = Command::new("mulberryshedctl")
        .about("Checks, signs off and rolls bundles; shows and cancels jobs; shows the fleet")
        .after_help("Exit codes: 0 done, 1 refused, 2 wrong arguments, 3 platform gave no answer")
        .arg(json)
        .subcommand(bundle_command())
        .subcommand(job_command())
        .subcommand(Command::new("fleet").about("Show who is live, leaving and on which bundle"))
        .subcommand(
            Command::new("key-digest")
                .about("Print the digest under which a bundle lists a key")
                .arg(Arg::new("key").required(true)),
        );
    add_settings(command, CtlSettings::SPECS)
}

fn bundle_command() -> Command {
    let file = || Arg::new("file").required(true).help("TOML file of the bundle");
    let digest = || Arg::new("digest").required(true).help("Digest that submit printed");
    let side = |name| Arg::new(name).required(true).help("Digest, file or `in-force`");
    Command::new("bundle")
        .about("Work with bundles")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Report every mistake of a file").arg(file()))
        .subcommand(Command::new("submit").about("Store a bundle").arg(file()))
        .subcommand(
            Command::new("sign-off").about("Approve another operator's bundle").arg(digest()),
        )
        .subcommand(Command::new("roll").about("Put a signed-off bundle in force").arg(digest()))
        .subcommand(Command::new("status").about("Show what is in force, and where"))
        .subcommand(Command::new("history").about("Show every roll"))
        .subcommand(
            Command::new("diff")
                .about("Show what changes between two bundles")
                .arg(side("before"))
                .arg(side("after")),
        )
}

fn job_command() -> Command {
    let id = || Arg::new("job").required(true).help("Identifier of the job");
    let client = Arg::new("client").long("client").help("Show only this client's jobs");
    Command::new("job")
        .about("Work with jobs")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List jobs").arg(client))
        .subcommand(Command::new("show").about("Show one job").arg(id()))
        .subcommand(Command::new("results").about("Print committed results").arg(id()))
        .subcommand(Command::new("cancel").about("Stop a job").arg(id()))
}

/// Runs a command.
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
            key_digest::run(text(sub, "key"));
            Ok(())
        }
        _ => {
            // The text goes where the caller can see it even if standard output is closed.
            let _unprinted = command().print_help();
            Ok(())
        }
    }
}

async fn run_bundle(cx: &CtlContext, matches: &ArgMatches) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("check", sub)) => bundle::check::run(text(sub, "file")),
        Some(("submit", sub)) => bundle::submit::run(cx, text(sub, "file")).await,
        Some(("sign-off", sub)) => bundle::sign_off::run(cx, text(sub, "digest")).await,
        Some(("roll", sub)) => bundle::roll::run(cx, text(sub, "digest")).await,
        Some(("history", _)) => bundle::history::run(cx).await,
        Some(("diff", sub)) => bundle::diff::run(cx, text(sub, "before"), text(sub, "after")).await,
        _ => bundle::status::run(cx).await,
    }
}

async fn run_job(cx: &CtlContext, matches: &ArgMatches) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("show", sub)) => job::show::run(cx, text(sub, "job")).await,
        Some(("results", sub)) => job::results::run(cx, text(sub, "job")).await,
        Some(("cancel", sub)) => job::cancel::run(cx, text(sub, "job")).await,
        Some((_, sub)) => {
            let client = sub.try_get_one::<String>("client").ok().flatten();
            job::list::run(cx, client.map(String::as_str)).await
        }
        None => Ok(()),
    }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}
