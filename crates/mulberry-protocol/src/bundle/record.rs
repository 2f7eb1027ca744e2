//! Objects that record a bundle's way into force.

use crate::digest::Digest;
use crate::name::OperatorName;
use crate::value_type;

value_type! {
    /// The content of a bundle, stored under its digest and never changed.
    #[serde(rename_all = "kebab-case")]
    pub struct BundleContent {
        /// The TOML text.
        pub text: String,
        /// Who submitted it.
        pub author: OperatorName,
    }
}

value_type! {
    /// The sign-off of one content.
    #[serde(rename_all = "kebab-case")]
    pub struct SignOff {
        /// Digest of the content that was signed off.
        pub digest: Digest,
        /// Who submitted it.
        pub author: OperatorName,
        /// Who signed off, never the author.
        pub by: OperatorName,
    }
}

value_type! {
    /// The bundle in force. Its number only rises.
    #[serde(rename_all = "kebab-case")]
    pub struct InForceRecord {
        /// Number of the roll.
        pub number: u64,
        /// Digest of the content.
        pub digest: Digest,
        /// Who rolled it.
        pub by: OperatorName,
        /// Random number of the roll command, which tells a lost answer from another operator.
        pub attempt: u64,
    }
}

value_type! {
    /// The record of one roll, kept for the history.
    #[serde(rename_all = "kebab-case")]
    pub struct RollRecord {
        /// What was put in force.
        pub in_force: InForceRecord,
        /// Version text of the bundle.
        pub version: String,
        /// Time of the roll, in seconds since the Unix epoch.
        pub at_s: u64,
    }
}
