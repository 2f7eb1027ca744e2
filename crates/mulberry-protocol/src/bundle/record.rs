//! Stored objects that record how a bundle was submitted, signed off and put in force.

use crate::digest::Digest;
use crate::name::OperatorName;
use crate::value_type;

value_type! {
    /// The content of a bundle, stored under its digest and never changed.
    #[serde(rename_all = "kebab-case")]
    pub struct BundleContent {
        /// TOML text of the bundle.
        pub text: String,
        /// Operator who submitted the content.
        pub author: OperatorName,
    }
}

value_type! {
    /// The sign-off of a bundle's content.
    #[serde(rename_all = "kebab-case")]
    pub struct SignOff {
        /// Digest of the content that was signed off.
        pub digest: Digest,
        /// Operator who submitted the content.
        pub author: OperatorName,
        /// Operator who signed off; never the author.
        pub by: OperatorName,
    }
}

value_type! {
    /// Names the bundle in force. There is one such object, and its number only rises.
    #[serde(rename_all = "kebab-case")]
    pub struct InForceRecord {
        /// Number of the roll, which is also the number of the bundle.
        pub number: u64,
        /// Digest of the bundle's content.
        pub digest: Digest,
        /// Operator who put the bundle in force.
        pub by: OperatorName,
        /// Random number drawn by the roll command. When the response to its write was lost, it
        /// shows whether the stored record is the command's own or another operator's.
        pub attempt: u64,
    }
}

value_type! {
    /// The record of one roll, that is, of putting a bundle in force. Kept as history.
    #[serde(rename_all = "kebab-case")]
    pub struct RollRecord {
        /// What was put in force.
        pub in_force: InForceRecord,
        /// Version of the bundle, as chosen by its author.
        pub version: String,
        /// Time of the roll, in seconds since the Unix epoch.
        pub at_s: u64,
    }
}
