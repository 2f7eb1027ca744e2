//! Decision logic of the serving system: state machines without I/O, clocks or global randomness.
//!
//! Callers pass in events with the current time, and a random number generator where one is needed,
//! and act on the typed actions or replies that they get back. Processes call these modules from
//! their control thread or behind a lock; tests and experiments drive them with a virtual clock.

pub mod account_rates;
pub mod account_usage;
pub mod adaptive_timeout;
pub mod admission;
pub mod backoff;
pub mod batch_share;
pub mod bundle_order;
pub mod caller_faults;
pub mod claims;
pub mod client_rate_limit;
pub mod commit_interval;
pub mod concurrency_limit;
pub mod crash_suspects;
pub mod ejection;
pub mod endpoint_continuity;
pub mod endpoint_limits;
pub mod endpoint_registry;
pub mod endpoint_speed;
pub mod entry_drain;
pub mod event_sequence;
pub mod expected_wait;
pub mod fair_share;
pub mod fault_injection;
pub mod heartbeat_interval;
pub mod item_state;
pub mod item_times;
pub mod job_log;
pub mod job_origin;
pub mod job_prospects;
pub mod job_queue;
pub mod leaving_endpoints;
pub mod membership;
pub mod memory_budget;
pub mod occupancy;
pub mod owner_lease;
pub mod ownership;
pub mod peak;
pub mod progress_copies;
pub mod rate_replica;
pub mod response_match;
pub mod retry;
pub mod revocation;
pub mod routing;
pub mod run_outcome;
pub mod run_times;
pub mod store_budget;
pub mod stream_end;
pub mod stream_origins;
pub mod subset;
pub mod suspects;
pub mod token_bucket;
pub mod usual_use;
pub mod version_history;
pub mod vm_shares;
pub mod waiting_line;
pub mod watch_renewal;
