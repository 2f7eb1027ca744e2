//! Deployment mode in which entries dispatch directly to endpoints, without a side process next to
//! each endpoint.
//!
//! An entry relays online requests and forwards calls on batch jobs to the owner process. The owner
//! holds the jobs, runs their items on the capacity that online traffic leaves free, and keeps all
//! durable state in the platform's store. Platform-specific names and formats are behind the trait
//! [`dialect::Dialect`].

pub mod account_metrics;
pub mod account_rates;
pub mod accounts;
pub mod body_parts;
mod caller_head;
pub mod caller_request;
mod caller_response;
pub mod caller_server;
pub mod caller_stream;
pub mod caller_table;
pub mod choice;
pub mod confirmation;
pub mod connection;
pub mod continuation;
pub mod crashes;
pub mod dialect;
pub mod drain_gate;
pub mod endpoint_confirmation;
pub mod endpoint_notice;
pub mod entry;
pub mod exchange;
pub mod fair_share;
pub mod fingerprint;
pub mod handler;
pub mod holds;
mod idle_links;
pub mod job_calls;
pub mod job_client;
mod job_handler;
pub mod limits;
pub mod metrics_server;
pub mod origins;
pub mod owner;
pub mod peers;
pub mod published_suspects;
mod refusal_log;
pub mod relay;
pub mod request_scope;
pub mod run_watch;
mod service_choice;
pub mod settings;
pub mod shared;
pub mod silence;
pub mod speeds;
pub mod sse;
pub mod store_watch;
pub mod stored_convictions;
pub mod stream_body;
pub mod trials;
pub mod vm_limits;
pub mod waiting;
