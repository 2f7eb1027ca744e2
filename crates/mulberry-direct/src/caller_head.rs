//! What the head of a caller's request says.

use std::sync::Arc;

use actix_web::HttpRequest;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rand::Rng;

use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::exchange::strip_hop_headers;

/// Size of the separators around each header, in bytes: a colon, a space, CR and LF.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Refuses a request whose head is larger than `max_bytes`; zero for no limit.
pub(crate) fn check_head_size(req: &HttpRequest, max_bytes: usize) -> Result<(), Refusal> {
    let line = req.uri().path_and_query().map_or(0, |t| t.as_str().len());
    let headers = req
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    let bytes = line + headers.sum::<usize>();
    if max_bytes > 0 && bytes > max_bytes {
        let detail = format!("the request head has {bytes} bytes, the limit is {max_bytes}");
        return Err(Refusal::not_run(RefusalReason::HeadTooLarge, detail));
    }
    Ok(())
}

/// Returns the host that the request is for, empty if it names none.
pub(crate) fn host_without_port(req: &HttpRequest) -> &str {
    let host = req.headers().get("host").and_then(|v| v.to_str().ok()).unwrap_or("");
    host.split(':').next().unwrap_or(host)
}

/// Returns the number in a header, without its fraction, or none if it is no number or negative.
pub(crate) fn parse_number_header(req: &HttpRequest, name: &HeaderName) -> Option<u64> {
    let text = req.headers().get(name.as_str())?.to_str().ok()?;
    let number: f64 = text.trim().parse().ok()?;
    (number >= 0.0).then_some(number as u64)
}

/// Returns the text of a header.
pub(crate) fn text_header(req: &HttpRequest, name: &HeaderName) -> Option<Arc<str>> {
    req.headers().get(name.as_str())?.to_str().ok().map(Arc::from)
}

/// Returns the ID of the request, a random one if it bears none.
pub(crate) fn request_id(req: &HttpRequest, name: &HeaderName) -> HeaderValue {
    let given = req.headers().get(name.as_str());
    let given = given.and_then(|v| HeaderValue::from_bytes(v.as_bytes()).ok());
    given.unwrap_or_else(|| HeaderValue::from(rand::rng().random::<u64>()))
}

/// Returns the method as the client of endpoints knows it.
pub(crate) fn convert_method(req: &HttpRequest) -> Result<hyper::Method, Refusal> {
    hyper::Method::from_bytes(req.method().as_str().as_bytes())
        .map_err(|e| Refusal::not_run(RefusalReason::Malformed, e.to_string()))
}

/// Returns the headers that are passed on to an endpoint.
pub(crate) fn forwarded_headers(req: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(req.headers().len() + 2);
    for (name, value) in req.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    strip_hop_headers(&mut headers);
    headers.remove("expect");
    headers
}
