//! The interface to a platform's names and data formats. Each platform implements it in a crate of
//! its own, so that no platform-specific name appears here.

use bytes::Bytes;
use hyper::header::HeaderName;
use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::batch_job::ItemResult;
use mulberry_protocol::batch_job::JobItem;
use mulberry_protocol::endpoint::EndpointRecord;
use mulberry_protocol::route::Configuration;

/// An error of parsing a document that another program wrote.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
#[error("can't parse {what}: {detail}")]
#[diagnostic(
    code(mulberryshed::direct::unreadable),
    help("compare it with the platform's documentation")
)]
pub struct DialectError {
    /// Kind of document that was parsed.
    pub what: &'static str,
    /// The error of the parser.
    pub detail: String,
}

/// Names of the HTTP headers that the platform uses between callers, entries and endpoints.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// ID of a caller's request; responses repeat it.
    pub request_id: HeaderName,
    /// Time left until the deadline of the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Number of the last stream event that the caller has received.
    pub last_event_id: HeaderName,
    /// ID of the request that brought the first event of the stream which the caller takes up.
    pub resumes: HeaderName,
    /// Name of the endpoint that the request is meant for.
    pub expected_endpoint: HeaderName,
    /// Marks the responses of an endpoint that leaves.
    pub leaving: HeaderName,
    /// Names how many requests a second an endpoint takes from all processes together.
    pub endpoint_limit: HeaderName,
    /// Marks a response whose request did not run.
    pub not_run: HeaderName,
    /// Parts of a request's prompt, in order.
    pub prompt: HeaderName,
    /// Longest time for which a read of results may wait for new ones, in milliseconds.
    pub wait_ms: HeaderName,
    /// API key of a caller. It is removed before a request is sent to an endpoint if the configuration has
    /// client accounts.
    pub api_key: HeaderName,
    /// Name of the client account that an endpoint is to know the caller by.
    pub account: HeaderName,
}

/// A caller's request on an existing batch job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRequest {
    /// Read the job's results from a position on.
    Results {
        /// ID of the job.
        job: String,
        /// Number of results to skip.
        after: usize,
    },
    /// Read the request body of an item whose result is not listed yet.
    ItemBody {
        /// ID of the job.
        job: String,
        /// ID of the item.
        item: String,
    },
    /// End the job; items without a result are not run any more.
    End {
        /// ID of the job.
        job: String,
    },
}

/// The names and data formats of one platform.
pub trait Dialect: Send + Sync {
    /// Returns the names of the HTTP headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns whether a request is the load balancer's readiness probe.
    fn is_readiness_probe(&self, method: &str, path: &str) -> bool;

    /// Parses a request on a batch job from its method, path and query. Returns `None` if the path
    /// is not that of a job.
    fn parse_job_request(&self, method: &str, path: &str, query: &str) -> Option<JobRequest>;

    /// Returns the IDs of the parts in the value of the header [`HeaderNames::prompt`] which other requests
    /// may have too.
    fn parse_shared_parts<'a>(&self, value: &'a str) -> Vec<&'a str>;

    /// Returns the store key of the configuration.
    fn configuration_key(&self) -> &'static str;

    /// Returns the prefix of the store keys of endpoints.
    fn endpoint_prefix(&self) -> &'static str;

    /// Returns the prefix of the store keys of drain orders. A drain order asks to move everything
    /// off a VM before it is removed.
    fn drain_order_prefix(&self) -> &'static str;

    /// Parses a configuration object.
    fn parse_configuration(&self, value: &[u8]) -> Result<Configuration, DialectError>;

    /// Parses the object under which the endpoint `name` is registered.
    fn parse_endpoint(&self, name: &str, value: &[u8]) -> Result<EndpointRecord, DialectError>;

    /// Encodes the status of a drain order that is complete.
    fn encode_drain_order_completed(&self) -> Bytes;

    /// Parses the items of a submitted job.
    fn parse_job(&self, body: &[u8]) -> Result<Vec<JobItem>, DialectError>;

    /// Encodes a page of results. `total` is the number of items of the job, `next` the position
    /// after the page's last result.
    fn encode_results(&self, total: usize, next: usize, results: &[ItemResult]) -> Bytes;
}
