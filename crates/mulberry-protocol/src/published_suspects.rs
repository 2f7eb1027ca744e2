//! Suspects that a process publishes in the platform's store for peers that don't hear it.

use crate::heartbeat::Suspect;
use crate::name::EntryName;
use crate::peer::SuspectDetail;
use crate::value_type;

/// Prefix of the store keys of published suspects.
pub const PUBLISHED_SUSPECTS_PREFIX: &str = "suspects/";

value_type! {
    /// The object in which one process publishes its suspects. Times in it are ages when it was written.
    #[serde(rename_all = "kebab-case")]
    pub struct PublishedSuspects {
        /// The process.
        pub publisher: EntryName,
        /// The suspects.
        pub suspects: Vec<Suspect>,
        /// Details of the suspects, in their order.
        pub details: Vec<SuspectDetail>,
        /// Fingerprints of those suspects that are parts of prompts.
        pub parts: Vec<u64>,
    }
}

impl PublishedSuspects {
    /// Returns the store key of the object in which a process publishes.
    pub fn key_of(publisher: &EntryName) -> String {
        format!("{PUBLISHED_SUSPECTS_PREFIX}{publisher}")
    }
}
