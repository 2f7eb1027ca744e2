//! Requests that are refused because they crash endpoints, as objects in the platform's store.

use crate::value_type;

/// Prefix of the store keys of convictions.
pub const CONVICTION_PREFIX: &str = "convictions/";

value_type! {
    /// The object of a refused request.
    #[serde(rename_all = "kebab-case")]
    pub struct StoredConviction {
        /// Fingerprint of the request.
        pub fingerprint: u64,
        /// Unix time until which it is refused, in seconds.
        pub until_unix_s: u64,
        /// Runs that were claimed since then; zero in objects of earlier builds.
        #[serde(default)]
        pub trials: u8,
    }
}

impl StoredConviction {
    /// Returns the store key of the object.
    pub fn key(&self) -> String {
        Self::key_of(self.fingerprint)
    }

    /// Returns the store key of the object of a fingerprint.
    pub fn key_of(fingerprint: u64) -> String {
        format!("{CONVICTION_PREFIX}{fingerprint:016x}")
    }
}
