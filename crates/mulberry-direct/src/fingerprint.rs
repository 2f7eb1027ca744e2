//! Fingerprints, by which processes recognize a caller's request when it is sent again under another
//! ID.

use std::sync::Arc;

use hyper::Method;
use indexmap::IndexSet;

use mulberry_protocol::digest::request_fingerprint;
use mulberry_protocol::digest::stable_hash;

/// Returns the fingerprint of an online request: it is the same for the same method, host, path with
/// query and body, whoever sends it. One caller may come from many addresses, and many callers from one.
pub fn online_fingerprint(method: &Method, host: &str, target: &str, body: &[u8]) -> u64 {
    stable_hash(host.as_bytes(), request_fingerprint(method.as_str(), target, body))
}

/// Most parts of a prompt that are looked at.
const MAX_PARTS: usize = 32;

/// Seed that tells fingerprints of parts from those of requests.
const PART_SEED: u64 = 0x70_61_72_74;

/// Returns the fingerprints of the parts of a prompt with these IDs, in hexadecimal, each of them once.
pub fn part_fingerprints(ids: &[&str]) -> Arc<[u64]> {
    let fingerprint = |id: &&str| stable_hash(id.to_ascii_lowercase().as_bytes(), PART_SEED);
    let fingerprints = ids.iter().take(MAX_PARTS).map(fingerprint);
    fingerprints.collect::<IndexSet<u64>>().into_iter().collect()
}

/// Formats the fingerprints of parts for log lines.
pub fn parts_text(parts: &[u64]) -> String {
    parts.iter().map(|part| fingerprint_text(*part)).collect::<Vec<_>>().join(" ")
}

/// Formats a fingerprint for log lines.
pub fn fingerprint_text(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
