//! Domain types, wire messages, errors and log events shared by every process.
//!
//! The crate does no I/O. Everything that crosses a process boundary is defined here.

pub mod account;
pub mod account_rate;
pub mod auth;
pub mod batch_job;
pub mod bundle;
pub mod claim;
pub mod conviction;
pub mod derives;
pub mod digest;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod heartbeat;
pub mod job;
pub mod job_address;
pub mod limit;
pub mod link;
pub mod name;
pub mod object_key;
pub mod peer;
pub mod published_suspects;
pub mod refusal;
pub mod route;
pub mod stream_origin;
pub mod time;
