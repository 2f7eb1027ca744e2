//! Turns what an object API answered into the client's errors.

use std::fmt::Display;

use serde::Deserialize;

use crate::error::PlatformError;

/// Makes the error of a call that had no usable answer; it may have been carried out.
pub fn no_answer(call: &'static str, detail: impl Display) -> PlatformError {
    PlatformError::NoAnswer { call, detail: detail.to_string() }
}

/// Makes the error of an answer that can't be read.
pub fn bad_answer(call: &'static str, detail: impl Display) -> PlatformError {
    PlatformError::BadAnswer { call, detail: detail.to_string() }
}

/// Reads an answer's body. Fails with [`PlatformError::BadAnswer`].
pub fn parse_response<'a, T: Deserialize<'a>>(
    call: &'static str,
    body: &'a [u8],
) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| bad_answer(call, e))
}

/// Judges the status codes that every form of the object API gives the same meaning.
pub fn check_status(call: &'static str, status: u16) -> Result<(), PlatformError> {
    match status {
        200..=299 => Ok(()),
        401 | 403 => Err(PlatformError::Denied { call }),
        410 => Err(PlatformError::Compacted),
        429 => Err(PlatformError::RateLimited { call }),
        code => Err(no_answer(call, format!("status {code}"))),
    }
}
