//! SHA-256 content digests, and a fast hash that is the same in every process.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A SHA-256 digest in lower-case hexadecimal.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(Arc<str>);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Arc::from(hex::encode(Sha256::digest(bytes))))
    }

    /// Computes the digest of several parts, each preceded by its length, so that moving
    /// bytes from one part to the next changes the digest.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(Arc::from(hex::encode(hasher.finalize())))
    }

    /// Wraps hexadecimal text as a digest without checking it.
    pub fn from_hex(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the digest as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the first 24 hexadecimal digits (96 bits), which are enough for an identifier.
    pub fn short(&self) -> &str {
        self.0.get(..24).unwrap_or(&self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the seeded XXH3 hash of `bytes`. It is the same in every process, so processes can agree
/// on where to place work and on the fingerprint of a request without exchanging messages.
pub fn stable_hash(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns the fingerprint of a request, by which every process recognizes it when it is sent again
/// under another ID.
pub fn request_fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let head = stable_hash(path.as_bytes(), stable_hash(method.as_bytes(), 0));
    stable_hash(body, head)
}
