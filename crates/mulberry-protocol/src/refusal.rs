//! Refusals: why a request was not served, and whether it ran.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::closed_set;

closed_set! {
    /// Whether a request that got no response ran on an endpoint.
    pub enum RunState {
        /// No part of the request ran.
        NotRun,
        /// The request may have run.
        Unknown,
        /// The request ran, at least in part.
        Ran,
    }
}

impl RunState {
    /// Returns the text used in the `x-run-state` header.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
            RunState::Ran => "ran",
        }
    }
}

macro_rules! refusal_reasons {
    ($($(#[$meta:meta])* $variant:ident => $text:literal, $status:literal;)*) => {
        closed_set! {
            /// The reason for a refusal. Each reason has its own counter.
            pub enum RefusalReason {
                $($(#[$meta])* $variant,)*
            }
        }

        impl RefusalReason {
            /// Lists every reason.
            pub const ALL: &'static [RefusalReason] = &[$(RefusalReason::$variant,)*];

            /// Returns the reason as written in headers, error bodies and counter names.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(RefusalReason::$variant => $text,)*
                }
            }

            /// Returns the HTTP status sent to the caller.
            pub fn status(self) -> u16 {
                match self {
                    $(RefusalReason::$variant => $status,)*
                }
            }
        }
    };
}

refusal_reasons! {
    /// The request carries no API key.
    KeyMissing => "key-missing", 401;
    /// The API key belongs to no client account.
    KeyUnknown => "key-unknown", 401;
    /// The object does not exist, or belongs to another client.
    NotFound => "not-found", 404;
    /// The request is malformed.
    Malformed => "malformed", 400;
    /// The body, prompt, line or file is larger than its limit.
    TooLarge => "too-large", 413;
    /// The head of the request is larger than its limit.
    HeadTooLarge => "head-too-large", 431;
    /// The bundle in force names no such model or service.
    UnknownTarget => "unknown-target", 404;
    /// The client account is over its request rate.
    ClientRate => "client-rate", 429;
    /// The endpoint has no free capacity.
    Busy => "busy", 503;
    /// The deadline cannot be met.
    Deadline => "deadline", 503;
    /// The endpoint is stopping.
    Leaving => "leaving", 503;
    /// No endpoint is ready.
    NoEndpoint => "no-endpoint", 503;
    /// The request can't be tried again, since the retry budget is used up.
    RetryBudget => "retry-budget", 503;
    /// The link to the endpoint failed.
    LinkFailed => "link-failed", 502;
    /// The engine failed in the middle of a response.
    EngineFailed => "engine-failed", 502;
    /// The request is confirmed to crash endpoints.
    Poison => "poison", 422;
    /// The platform's object API gave no response.
    StoreUnavailable => "store-unavailable", 503;
    /// Another object exists under the same key with other content.
    Conflict => "conflict", 409;
    /// A request with the same idempotency key is still in progress, or ended without a known
    /// outcome.
    ClaimHeld => "claim-held", 409;
    /// No bundle is in force yet.
    NoBundle => "no-bundle", 503;
    /// The process is starting or stopping.
    NotReady => "not-ready", 503;
    /// The batch item was cancelled.
    Cancelled => "cancelled", 409;
    /// The job's state does not allow the operation.
    JobState => "job-state", 409;
    /// The owner number of a dispatch is lower than one already seen.
    StaleOwner => "stale-owner", 409;
    /// A stream can't go on, since it is not known which software version began it.
    StreamOrigin => "stream-origin", 503;
    /// The endpoints that could take the request have had what their limits allow.
    EndpointLimit => "endpoint-limit", 503;
    /// The service can't take all requests, and the client account asks for more than its share.
    FairShare => "fair-share", 503;
    /// The process has no memory for the bytes of the request.
    Memory => "memory", 503;
}

/// A refusal of a request, sent over links and to callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
#[error("{}: {detail}", reason.as_str())]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub run: RunState,
    /// Time after which the caller may try again, in milliseconds; `None` if waiting does not
    /// help.
    pub retry_after_ms: Option<u32>,
    /// Explanation for people.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, run: RunState::NotRun, retry_after_ms: None, detail: detail.into() }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, run: RunState::Unknown, retry_after_ms: None, detail: detail.into() }
    }

    /// Creates a refusal of a request that ran in part.
    pub fn ran(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, run: RunState::Ran, retry_after_ms: None, detail: detail.into() }
    }

    /// Sets the time after which the caller may try again, in milliseconds.
    pub fn retry_after(mut self, retry_ms: u32) -> Self {
        self.retry_after_ms = Some(retry_ms);
        self
    }

    /// Returns whether the request may be tried at another endpoint: it did not run, and the reason
    /// may not hold there.
    pub fn may_retry_elsewhere(&self) -> bool {
        let may_differ_elsewhere = matches!(
            self.reason,
            RefusalReason::Busy
                | RefusalReason::Deadline
                | RefusalReason::Leaving
                | RefusalReason::NotReady
                | RefusalReason::LinkFailed
                | RefusalReason::UnknownTarget
        );
        may_differ_elsewhere && self.run == RunState::NotRun
    }
}
