//! The side process, which runs beside one endpoint and is the only process that sends it requests.
//!
//! It admits online requests ahead of batch items, limits concurrency, pulls batch items from job
//! owners into idle capacity, and orders the engine to load and unload models. It stores nothing
//! across restarts.

mod admin;
mod batch;
pub mod command;
mod control;
mod endpoint;
mod error;
mod heartbeat;
mod link_server;
mod online;
mod orders;
mod process;
mod settings;
pub mod sse;

pub use error::SideError;
pub use process::SideProcess;
pub use process::start_side;
pub use settings::EndpointKind;
pub use settings::SideSettings;
