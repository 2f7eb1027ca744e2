//! The entry process: callers' HTTP API, routing to sides, and the batch jobs that it owns.

mod answer;
mod bundles;
pub mod command;
mod control;
mod controls;
mod dispatch;
mod error;
mod guards;
mod heartbeat;
mod http;
pub mod job_lines;
mod jobs;
mod link_pool;
mod process;
mod settings;
mod shared;
mod snapshot;

pub use error::EntryError;
pub use process::EntryProcess;
pub use process::start_entry;
pub use settings::EntrySettings;
