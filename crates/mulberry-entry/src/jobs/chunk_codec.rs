//! Encodes chunk objects (JSON) and file segments (lines) for storage, compressed with zlib.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_api::MAX_VALUE_BYTES;
use mulberry_platform::store::to_json;
use mulberry_protocol::job::ChunkOutcome;
use mulberry_protocol::job::ItemEnd;
use mulberry_protocol::job::ItemOutcome;
use mulberry_protocol::refusal::RefusalReason;
use mulberry_protocol::refusal::RunState;

/// Largest decompressed size of one object, in bytes.
const MAX_INFLATED_BYTES: u64 = 256 * 1024 * 1024;

/// Compresses bytes with zlib.
pub(crate) fn deflate(bytes: &[u8]) -> Result<Bytes, PlatformError> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.map(Bytes::from).map_err(|e| bad_value(&e))
}

/// Decompresses bytes, up to [`MAX_INFLATED_BYTES`].
pub(crate) fn inflate(bytes: &[u8]) -> Result<Vec<u8>, PlatformError> {
    let mut inflated = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(MAX_INFLATED_BYTES);
    decoder.read_to_end(&mut inflated).map_err(|e| bad_value(&e))?;
    Ok(inflated)
}

/// Encodes a chunk. While it is larger than an object may be, replaces the largest response with
/// the failure `too-large`.
pub(crate) fn encode_chunk(mut chunk: ChunkOutcome) -> Result<Bytes, PlatformError> {
    loop {
        let value = deflate(&to_json(&chunk)?)?;
        if value.len() <= MAX_VALUE_BYTES {
            return Ok(value);
        }
        let largest = chunk.outcomes.iter_mut().max_by_key(|o| response_bytes(o));
        match largest {
            Some(outcome) if response_bytes(outcome) > 0 => {
                outcome.end = ItemEnd::Failed {
                    reason: RefusalReason::TooLarge,
                    run: RunState::Ran,
                    detail: "the answer does not fit into the results".to_owned(),
                };
            }
            _ => return Err(PlatformError::TooLarge { bytes: value.len() }),
        }
    }
}

/// Decodes a chunk object.
pub(crate) fn decode_chunk(value: &[u8]) -> Result<ChunkOutcome, PlatformError> {
    let json = inflate(value)?;
    serde_json::from_slice(&json)
        .map_err(|e| PlatformError::BadAnswer { call: "read", detail: e.to_string() })
}

/// Returns the size of an outcome's response as JSON, in bytes.
fn response_bytes(outcome: &ItemOutcome) -> usize {
    match &outcome.end {
        ItemEnd::Answered { body, .. } => body.to_string().len(),
        ItemEnd::Failed { .. } => 0,
    }
}

fn bad_value(error: &std::io::Error) -> PlatformError {
    PlatformError::BadAnswer { call: "read", detail: error.to_string() }
}
