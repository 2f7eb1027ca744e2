//! Claims: stored records that make a non-idempotent request run at most once.

use crate::digest::Digest;
use crate::name::EntryName;
use crate::refusal::Refusal;
use crate::value_type;

value_type! {
    /// The progress of a claimed request.
    #[serde(rename_all = "kebab-case", tag = "state")]
    pub enum ClaimState {
        /// The claim is held and the request may be running.
        Started,
        /// The request ended with this response.
        Answered {
            /// HTTP status of the response.
            status: u16,
            /// Content type of the response.
            content_type: String,
            /// Body in base64.
            body: String,
        },
        /// The request did not run, so its idempotency key may be used again.
        Released,
        /// The request ended without a known outcome.
        Lost {
            /// The refusal that the first caller got.
            refusal: Refusal,
        },
    }
}

value_type! {
    /// A claim object, stored under a key derived from the client and its idempotency key.
    #[serde(rename_all = "kebab-case")]
    pub struct Claim {
        /// Digest of the request's method, path and body.
        pub request: Digest,
        /// The entry that holds the claim.
        pub holder: EntryName,
        /// Random number drawn by the holder. When the response to the write of a claim was lost,
        /// it shows whether the stored claim is the holder's own.
        pub attempt: u64,
        /// Progress of the request.
        pub state: ClaimState,
    }
}
