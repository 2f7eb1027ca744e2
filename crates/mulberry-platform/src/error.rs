//! Errors of calls to the platform.

use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

/// Why a call to the platform failed, and whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum PlatformError {
    /// There was no usable response. A write may have taken effect.
    #[error("the platform gave no answer to {call}: {detail}")]
    #[diagnostic(
        code(mulberryshed::platform::no_answer),
        help("check the address and whether the platform has an outage")
    )]
    NoAnswer {
        /// Name of the call, such as `read` or `watch`.
        call: &'static str,
        /// The transport error or the HTTP status.
        detail: String,
    },
    /// The platform refused the call because of its rate limit. The call did not take effect.
    #[error("the platform refused {call} for its rate")]
    #[diagnostic(code(mulberryshed::platform::rate))]
    RateLimited {
        /// Name of the call, such as `read` or `watch`.
        call: &'static str,
    },
    /// The process's own budget of calls is spent. The call was not sent.
    #[error("the budget of calls is spent; try again in {retry_ms} ms")]
    #[diagnostic(code(mulberryshed::platform::budget))]
    BudgetSpent {
        /// Time after which the budget allows the call, in milliseconds.
        retry_ms: u64,
    },
    /// The condition of a write or delete did not hold: the object is missing, exists already, or
    /// has another version than expected. The call did not take effect.
    #[error("`{key}` has another version")]
    #[diagnostic(code(mulberryshed::platform::conflict))]
    Conflict {
        /// Key of the object.
        key: String,
    },
    /// The platform no longer keeps the changes since the revision to watch from. The caller must
    /// list the objects again.
    #[error("the watched revision was compacted")]
    #[diagnostic(code(mulberryshed::platform::compacted))]
    Compacted,
    /// The platform did not accept the credentials.
    #[error("the platform denied {call}")]
    #[diagnostic(code(mulberryshed::platform::denied), help("check --object-api-token"))]
    Denied {
        /// Name of the call, such as `read` or `watch`.
        call: &'static str,
    },
    /// The response can't be parsed.
    #[error("the answer to {call} can't be understood: {detail}")]
    #[diagnostic(code(mulberryshed::platform::bad_answer))]
    BadAnswer {
        /// Name of the call, such as `read` or `watch`.
        call: &'static str,
        /// What is wrong with the response.
        detail: String,
    },
    /// The value is larger than the platform accepts. The call was not sent.
    #[error("a value of {bytes} bytes is too large")]
    #[diagnostic(code(mulberryshed::platform::too_large))]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
    },
}

/// Time after which a caller may retry a request that needs the store, in milliseconds.
const RETRY_AFTER_MS: u32 = 2_000;

/// Names of the calls that change objects.
const WRITING_CALLS: [&str; 2] = ["write", "delete"];

impl PlatformError {
    /// Returns whether the error suggests that the platform is down or overloaded.
    pub fn is_outage(&self) -> bool {
        matches!(self, PlatformError::NoAnswer { .. } | PlatformError::RateLimited { .. })
    }

    /// Returns whether the call was a write that may have taken effect, or may still take effect later.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            PlatformError::NoAnswer { call, .. } | PlatformError::BadAnswer { call, .. } => {
                WRITING_CALLS.contains(call)
            }
            PlatformError::RateLimited { .. }
            | PlatformError::BudgetSpent { .. }
            | PlatformError::Conflict { .. }
            | PlatformError::Compacted
            | PlatformError::Denied { .. }
            | PlatformError::TooLarge { .. } => false,
        }
    }

    /// Converts the error into the refusal of a request that the store could not be used for. The request
    /// did not run, unless the error leaves open whether a write took effect.
    pub fn into_refusal(self) -> Refusal {
        let retry_ms = match self {
            PlatformError::BudgetSpent { retry_ms } => retry_ms.min(60_000) as u32,
            _ => RETRY_AFTER_MS,
        };
        let refusal = match self.may_have_taken_effect() {
            true => Refusal::unknown(RefusalReason::StoreUnavailable, self.to_string()),
            false => Refusal::not_run(RefusalReason::StoreUnavailable, self.to_string()),
        };
        refusal.retry_after(retry_ms)
    }
}
