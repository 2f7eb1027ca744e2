//! `mulberryshedctl key-digest`: prints the digest under which a bundle lists a key.

use mulberry_protocol::auth::key_digest;

/// Prints the digest of `key`.
pub(crate) fn run(key: &str) {
    println!("{}", key_digest(key));
}
