//! The command line of `mulberryshed-standin`, which runs one stand-in on a port.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use miette::Diagnostic;
use thiserror::Error;

use mulberry_platform::vm_list::VmListDocument;
use mulberry_process::logging::LogFormat;
use mulberry_process::logging::start_logging;
use mulberry_process::settings;
use mulberry_process::settings::SettingsError;
use mulberry_process::settings::add_settings;
use mulberry_process::stop::wait_for_signal;
use mulberry_protocol::event::Event;
use mulberry_protocol::log_event;

use crate::engine::EngineSettings;
use crate::engine::SharedEngine;
use crate::engine::start_engine;
use crate::object_api::SharedObjectApi;
use crate::object_api::start_object_api;
use crate::server::RunningServer;
use crate::server::StandinError;
use crate::service::SharedService;
use crate::service::start_service;
use crate::vm_list::SharedVmList;
use crate::vm_list::start_vm_list;

settings! {
    /// Settings of the command. Each kind of stand-in reads only those that concern it.
    pub struct StandinSettings {
        /// Address to listen on
        listen: SocketAddr = "listen", default "127.0.0.1:0";
        /// Format of log lines: text or json
        log_format: LogFormat = "log-format", default "text";
        /// Log filter, such as info or mulberry_standin=debug
        log: String = "log", default "info";
        /// Bearer token that callers of the object API must send; empty admits every caller
        object_api_token: Option<String> = "object-api-token", default "", secret true;
        /// JSON file with the initial content of the VM list
        vm_file: Option<PathBuf> = "vm-file", default "";
        /// Delay until readers see a change of the VM list, in milliseconds
        lag_ms: u64 = "lag-ms", default "2000";
        /// Models that an engine has loaded at the start, as name=version separated by commas
        models: Option<String> = "models", default "";
        /// Whether an engine refuses orders whose fencing number is lower than the highest received
        checks_orders: bool = "checks-orders", default "true";
        /// Fixed part of the duration of an engine's step, in microseconds
        step_base_us: u64 = "step-base-us", default "8000";
    }
}

/// Why the command could not run a stand-in.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// The settings are missing, malformed or out of range.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The stand-in's server can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Start(#[from] StandinError),
    /// The VM file can't be read or parsed.
    #[error("can't load the VM list from {path}: {detail}")]
    #[diagnostic(
        code(mulberryshed::standin::vm_file),
        help("the file must hold a JSON object with an array `vms`; see docs/OPERATIONS.md")
    )]
    VmFile {
        /// Path of the file.
        path: String,
        /// What is wrong with the file.
        detail: String,
    },
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let kind = Arg::new("kind")
        .required(true)
        .value_parser(["engine", "service", "object-api", "vm-list"])
        .help("Kind of system to stand in for");
    let command = Command::new("mulberryshed-standin")
        .about("Stands in for one of the systems that mulberryshed meets, for tests and trials")
        .arg(kind);
    add_settings(command, StandinSettings::SPECS)
}

/// Runs the stand-in that the arguments select until the process receives a signal to stop. With
/// `--check-settings`, only prints the settings.
pub async fn run(matches: ArgMatches) -> Result<(), CommandError> {
    let settings = StandinSettings::from_matches(&matches)?;
    if matches.get_flag("check-settings") {
        print!("{}", settings.describe());
        return Ok(());
    }
    start_logging(settings.log_format, &settings.log);
    let kind = matches.get_one::<String>("kind").map_or("", String::as_str);
    let running = start(kind, &settings)?;
    log_event!(info, Event::ProcessServing, role = kind, address = %running.address);
    println!("{kind} listens on {}", running.address);
    wait_for_signal().await;
    log_event!(info, Event::ProcessStopping, role = kind);
    running.stop().await;
    Ok(())
}

fn start(kind: &str, settings: &StandinSettings) -> Result<RunningServer, CommandError> {
    let listen = settings.listen;
    let running = match kind {
        "engine" => {
            let engine = EngineSettings {
                checks_orders: settings.checks_orders,
                step_base_us: settings.step_base_us,
                ..EngineSettings::default()
            };
            let list = settings.models.clone().unwrap_or_default();
            let models: Vec<(&str, &str)> =
                list.split(',').filter_map(|m| m.split_once('=')).collect();
            start_engine(listen, SharedEngine::start(engine, &models))?
        }
        "service" => start_service(listen, SharedService::default())?,
        "object-api" => {
            let token = settings.object_api_token.clone();
            start_object_api(listen, SharedObjectApi::default(), token)?
        }
        _ => start_vm_list(listen, SharedVmList::new(read_vms(settings)?.vms, settings.lag_ms))?,
    };
    Ok(running)
}

/// Reads the initial VM list from the file in the settings; empty if there is none.
fn read_vms(settings: &StandinSettings) -> Result<VmListDocument, CommandError> {
    let Some(path) = &settings.vm_file else {
        return Ok(VmListDocument::default());
    };
    let to_error =
        |detail: String| CommandError::VmFile { path: path.display().to_string(), detail };
    let text = std::fs::read(path).map_err(|e| to_error(e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| to_error(e.to_string()))
}
