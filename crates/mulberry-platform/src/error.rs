//! Errors of calls to the platform.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

/// An error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum PlatformError {
    /// There was no answer. A write may have taken effect.
    #[error("the platform gave no answer to {call}: {detail}")]
    #[diagnostic(
        code(mulberryshed::platform::no_answer),
        help("check the address and whether the platform has an outage")
    )]
    NoAnswer {
        /// The call.
        call: &'static str,
        /// What went wrong.
        detail: String,
    },
    /// The platform refused the call for its rate. It did not take effect.
    #[error("the platform refused {call} for its rate")]
    #[diagnostic(code(mulberryshed::platform::rate))]
    RateLimited {
        /// The call.
        call: &'static str,
    },
    /// The process's own budget of calls is spent. The call was not made.
    #[error("the budget of calls is spent; try again in {retry_ms} ms")]
    #[diagnostic(code(mulberryshed::platform::budget))]
    BudgetSpent {
        /// Milliseconds after which it may be made.
        retry_ms: u64,
    },
    /// The object's version is not the expected one.
    #[error("`{key}` has another version")]
    #[diagnostic(code(mulberryshed::platform::conflict))]
    Conflict {
        /// The key.
        key: String,
    },
    /// The revision to watch from is gone.
    #[error("the watched revision was compacted")]
    #[diagnostic(code(mulberryshed::platform::compacted))]
    Compacted,
    /// The platform does not accept the credentials.
    #[error("the platform denied {call}")]
    #[diagnostic(code(mulberryshed::platform::denied), help("check --object-api-token"))]
    Denied {
        /// The call.
        call: &'static str,
    },
    /// The answer can't be understood.
    #[error("the answer to {call} can't be understood: {detail}")]
    #[diagnostic(code(mulberryshed::platform::bad_answer))]
    BadAnswer {
        /// The call.
        call: &'static str,
        /// What is wrong with it.
        detail: String,
    },
    /// The value is larger than the platform accepts.
    #[error("a value of {bytes} bytes is too large")]
    #[diagnostic(code(mulberryshed::platform::too_large))]
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
}

/// Milliseconds after which a caller may try again what needs the store.
const RETRY_AFTER_MS: u32 = 2_000;

impl PlatformError {
    /// Tells whether the platform seems down or overloaded.
    pub fn is_outage(&self) -> bool {
        matches!(self, PlatformError::NoAnswer { .. } | PlatformError::RateLimited { .. })
    }

    /// Makes the refusal of a request that did not run for lack of the store.
    pub fn into_refusal(self) -> Refusal {
        let retry_ms = match self {
            PlatformError::BudgetSpent { retry_ms } => retry_ms.min(60_000) as u32,
            _ => RETRY_AFTER_MS,
        };
        Refusal::not_run(RefusalReason::StoreUnavailable, self.to_string()).retry_after(retry_ms)
    }
}
