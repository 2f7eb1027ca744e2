//! `bundle check`: reports all errors of a bundle file at once, each with its location.

use mulberry_protocol::bundle::Bundle;
use mulberry_protocol::bundle::parse_bundle;
use mulberry_protocol::digest::Digest;

use crate::error::CtlError;

/// A bundle without errors, with the text it was parsed from.
pub struct CheckedBundle {
    /// TOML text of the bundle.
    pub text: String,
    /// Digest of `text`, which identifies the bundle.
    pub digest: Digest,
    /// The parsed bundle.
    pub bundle: Bundle,
}

/// Reads and checks a bundle file.
pub fn check_file(path: &str) -> Result<CheckedBundle, CtlError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CtlError::File { path: path.to_owned(), source })?;
    check_text(text, path)
}

/// Checks the TOML text of a bundle. Errors name `origin` as the source of the text.
pub fn check_text(text: String, origin: &str) -> Result<CheckedBundle, CtlError> {
    let bundle = parse_bundle(&text, origin)?;
    let digest = Digest::of(text.as_bytes());
    Ok(CheckedBundle { text, digest, bundle })
}

/// Checks a bundle file, and prints its version and digest.
pub(crate) fn run(path: &str) -> Result<(), CtlError> {
    let checked = check_file(path)?;
    println!(
        "{path}: version {} is well formed, digest {}",
        checked.bundle.version, checked.digest
    );
    Ok(())
}
