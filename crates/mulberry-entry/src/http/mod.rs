//! The callers' HTTP API: completions, plain services, files and batches.

mod auth;
mod batches;
mod claims;
mod completions;
mod error;
mod files;
mod job_object;
mod models;
mod relay;
mod server;
mod services;
mod status;

pub(crate) use completions::estimate_tokens;
pub(crate) use server::start_http;

/// Largest response that is read to its end instead of being streamed, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
