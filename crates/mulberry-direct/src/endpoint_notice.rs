//! Reads what an endpoint says of itself in a response, beside the response to the request: that it leaves,
//! and how many requests a second it takes.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;

use crate::dialect::HeaderNames;

/// What an endpoint says in a response of its limit of requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// It takes so many from all processes together.
    PerSecond(f64),
    /// It names none.
    None,
    /// The response does not tell.
    Unknown,
    /// What it names is no number, or a negative one.
    Unreadable,
}

/// What an endpoint says of itself in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointNotice {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Its limit of requests a second.
    pub limit: NamedLimit,
}

/// Reads what an endpoint says of itself in the head of a response, which may say that the request did
/// not run.
pub fn read_notice(
    names: &HeaderNames,
    status: StatusCode,
    is_not_run: bool,
    headers: &HeaderMap,
) -> EndpointNotice {
    // Status 421 is another endpoint's.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return EndpointNotice { is_leaving: false, limit: NamedLimit::Unknown };
    }
    let limit = match headers.get(&names.endpoint_limit) {
        Some(value) => parse_limit(value),
        // What refuses requests for an endpoint may not be the endpoint itself.
        None if is_not_run || status.is_server_error() => NamedLimit::Unknown,
        None => NamedLimit::None,
    };
    EndpointNotice { is_leaving: headers.contains_key(&names.leaving), limit }
}

fn parse_limit(value: &HeaderValue) -> NamedLimit {
    let number: Option<f64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let number = number.filter(|n| n.is_finite() && *n >= 0.0);
    number.map_or(NamedLimit::Unreadable, NamedLimit::PerSecond)
}
