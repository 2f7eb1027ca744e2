//! Proofs that a peer belongs to the deployment, and digests of callers' keys.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::digest::Digest;
use crate::error::ProtocolError;

type HmacSha256 = Hmac<Sha256>;

/// Length in bytes of the truncated message authentication code on datagrams and in handshakes.
pub const MAC_BYTES: usize = 16;

/// Length in bytes of a handshake nonce.
pub const NONCE_BYTES: usize = 16;

/// Shortest accepted deployment secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The deployment's shared secrets: the first is used to sign, any is accepted.
///
/// Secrets are rotated without a stop: add the new one behind the old, then put it first, then
/// remove the old one.
#[derive(Clone)]
pub struct SecretKeyring {
    secrets: Vec<Vec<u8>>,
}

impl SecretKeyring {
    /// Parses secrets separated by commas.
    pub fn parse(text: &str) -> Result<Self, ProtocolError> {
        let secrets: Vec<Vec<u8>> = text.split(',').map(|s| s.trim().as_bytes().to_vec()).collect();
        if secrets.iter().any(|s| s.len() < MIN_SECRET_BYTES) {
            return Err(ProtocolError::SecretTooShort { min: MIN_SECRET_BYTES });
        }
        Ok(Self { secrets })
    }

    /// Signs the parts with the first secret.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        sign_with(&self.secrets[0], parts)
    }

    /// Returns the index of the secret that signed the parts.
    pub fn find_signer(&self, parts: &[&[u8]], mac: &[u8; MAC_BYTES]) -> Option<usize> {
        self.secrets.iter().position(|s| bool::from(sign_with(s, parts).ct_eq(mac)))
    }

    /// Signs the parts with the secret at `index`.
    pub fn sign_at(&self, index: usize, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        sign_with(&self.secrets[index.min(self.secrets.len() - 1)], parts)
    }

    /// Prepends the code to a datagram's payload.
    pub fn seal(&self, payload: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(MAC_BYTES + payload.len());
        datagram.extend_from_slice(&self.sign(&[payload]));
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Checks a datagram's code and returns its payload.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], ProtocolError> {
        let Some((mac, payload)) = datagram.split_first_chunk::<MAC_BYTES>() else {
            return Err(ProtocolError::DatagramTooShort { bytes: datagram.len() });
        };
        match self.find_signer(&[payload], mac) {
            Some(_) => Ok(payload),
            None => Err(ProtocolError::BadSignature),
        }
    }
}

fn sign_with(secret: &[u8], parts: &[&[u8]]) -> [u8; MAC_BYTES] {
    // HMAC takes keys of any length, so that the fallback is never used.
    let mut mac = match HmacSha256::new_from_slice(secret) {
        Ok(mac) => mac,
        Err(_) => HmacSha256::new(&Default::default()),
    };
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    let full = mac.finalize().into_bytes();
    let mut out = [0; MAC_BYTES];
    out.copy_from_slice(&full[..MAC_BYTES]);
    out
}

/// Computes the digest under which a bundle lists a caller's key.
pub fn key_digest(key: &str) -> Digest {
    Digest::of_parts(&[b"mulberryshed-key", key.as_bytes()])
}
