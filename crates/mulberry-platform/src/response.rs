//! Maps responses of an object API to [`PlatformError`]s, whichever client made the call.

use std::fmt::Display;

use serde::Deserialize;

use crate::error::PlatformError;

/// Returns the error of a call that got no usable response. The call may have taken effect.
pub fn no_answer(call: &'static str, detail: impl Display) -> PlatformError {
    PlatformError::NoAnswer { call, detail: detail.to_string() }
}

/// Returns the error of a call whose response can't be parsed.
pub fn bad_answer(call: &'static str, detail: impl Display) -> PlatformError {
    PlatformError::BadAnswer { call, detail: detail.to_string() }
}

/// Parses the JSON body of a response. Fails with [`PlatformError::BadAnswer`].
pub fn parse_response<'a, T: Deserialize<'a>>(
    call: &'static str,
    body: &'a [u8],
) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| bad_answer(call, e))
}

/// Checks a response's status code. Covers the codes that mean the same in every implementation of
/// the object API; a caller handles the others, such as those of conflicts, first.
pub fn check_status(call: &'static str, status: u16) -> Result<(), PlatformError> {
    match status {
        200..=299 => Ok(()),
        401 | 403 => Err(PlatformError::Denied { call }),
        410 => Err(PlatformError::Compacted),
        429 => Err(PlatformError::RateLimited { call }),
        code => Err(no_answer(call, format!("status {code}"))),
    }
}
