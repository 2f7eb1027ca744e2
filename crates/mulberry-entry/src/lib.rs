//! The entry process: serves the callers' HTTP API, routes online requests to endpoints, and owns
//! batch jobs.
//!
//! A *side* is the process beside an endpoint on its VM; entries reach the endpoint only through
//! it. Online requests never wait for the control thread: the traffic threads read an immutable
//! snapshot that its actors publish.

mod actors;
mod bundles;
pub mod command;
mod control;
mod dispatch;
mod error;
mod heartbeat;
mod http;
pub mod job_lines;
mod jobs;
mod link_pool;
mod policies;
mod process;
mod response;
mod settings;
mod shared;
mod snapshot;

pub use error::EntryError;
pub use process::EntryProcess;
pub use process::start_entry;
pub use settings::EntrySettings;
