//! Runs a whole deployment and its callers in one process on loopback, for tests and load trials.

pub mod caller;
pub mod endpoint;
pub mod error;
pub mod fleet;
pub mod plan;
pub mod request;
