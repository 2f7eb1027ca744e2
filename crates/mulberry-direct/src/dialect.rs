//! How a platform names and writes what the product speaks of. Implemented outside the product.

use bytes::Bytes;
use hyper::header::HeaderName;
use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::batch_job::ItemResult;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::route::Configuration;

/// An error of reading what another program wrote.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
#[error("{what} can't be read: {detail}")]
#[diagnostic(code(mulberryshed::direct::unreadable), help("compare it with the platform's pages"))]
pub struct DialectError {
    /// What was read.
    pub what: &'static str,
    /// What is wrong with it.
    pub detail: String,
}

/// Names of headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller; answers repeat it.
    pub request_id: HeaderName,
    /// Milliseconds that are left for the answer.
    pub deadline_ms: HeaderName,
    /// Number of the last event that the receiver holds.
    pub last_event_id: HeaderName,
    /// Name of the endpoint that is meant.
    pub expected_endpoint: HeaderName,
    /// Marks an answer to a request that did not run.
    pub not_run: HeaderName,
    /// Milliseconds for which a read may be kept waiting.
    pub wait_ms: HeaderName,
}

/// A call on a batch job, as its path says.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRequest {
    /// Read the results from a position on.
    Results {
        /// The job.
        job: String,
        /// Position of the first result.
        after: usize,
    },
    /// Read the body of an item that is not listed.
    ItemBody {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// End the job.
    End {
        /// The job.
        job: String,
    },
}

/// Names and formats of a platform.
pub trait Dialect: Send + Sync {
    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Tells whether a request asks if the process is ready for callers.
    fn is_readiness_probe(&self, method: &str, path: &str) -> bool;

    /// Reads a call on a batch job from its method, path and query.
    fn parse_job_request(&self, method: &str, path: &str, query: &str) -> Option<JobRequest>;

    /// Returns the key of the configuration in the store.
    fn configuration_key(&self) -> &'static str;

    /// Returns the start of the keys of endpoints in the store.
    fn endpoint_prefix(&self) -> &'static str;

    /// Returns the start of the keys of orders to empty a VM.
    fn retirement_prefix(&self) -> &'static str;

    /// Reads a configuration.
    fn parse_configuration(&self, value: &[u8]) -> Result<Configuration, DialectError>;

    /// Reads an endpoint's entry.
    fn parse_endpoint(&self, name: &str, value: &[u8]) -> Result<EndpointRecord, DialectError>;

    /// Writes the status of a VM that was emptied.
    fn encode_retirement_done(&self) -> Bytes;

    /// Reads the items of a submitted job.
    fn parse_job(&self, body: &[u8]) -> Result<Vec<JobItem>, DialectError>;

    /// Writes a page of results; `next` is the position after the last of them.
    fn encode_results(&self, total: usize, next: usize, results: &[ItemResult]) -> Bytes;
}
