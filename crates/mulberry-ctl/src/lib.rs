//! The operators' command line, which manages bundles and jobs and shows the state of the fleet.

pub mod bundle;
pub mod command;
mod context;
mod error;
mod fleet;
pub mod job;
mod key_digest;
mod output;

pub use context::CtlContext;
pub use context::CtlSettings;
pub use error::CtlError;
