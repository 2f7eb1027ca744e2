//! Serving where entries dispatch straight to endpoints, without a side process at each.
//!
//! An entry relays online requests and passes calls on batch jobs to their owner. Owners hold the
//! jobs, run their items in what online leaves, and keep everything that must last in the
//! platform's store. What the platform calls things is behind [`dialect::Dialect`].

pub mod connection;
pub mod dialect;
pub mod door;
pub mod entry;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod job_calls;
pub mod owner;
pub mod peers;
pub mod relay;
pub mod settings;
pub mod shared;
pub mod stream_answer;
pub mod text_metrics;
