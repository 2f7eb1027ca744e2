//! Decisions as state machines without I/O, clocks or global randomness.
//!
//! Each module takes events that carry a time and returns typed actions or answers. Processes feed
//! them from their control thread; tests and experiments drive them with a virtual clock.

pub mod admission;
pub mod backoff;
pub mod batch_share;
pub mod beat_plan;
pub mod bundle_order;
pub mod claims;
pub mod ejection;
pub mod endpoint_book;
pub mod fair_share;
pub mod fault_injection;
pub mod job_log;
pub mod job_queue;
pub mod limit;
pub mod membership;
pub mod occupancy;
pub mod owner_lease;
pub mod ownership;
pub mod patience;
pub mod peak;
pub mod progress_copies;
pub mod queue_limit;
pub mod retry;
pub mod routing;
pub mod run_outcome;
pub mod store_budget;
pub mod store_news;
pub mod subset;
pub mod suspects;
pub mod token_bucket;
