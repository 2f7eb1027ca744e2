//! Message authentication between the processes of a deployment, and digests of callers' API keys.

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

/// The deployment's shared secrets. The first one signs; a signature made with any of them is
/// accepted.
///
/// To rotate secrets without downtime, add the new one behind the old one in every process, then
/// put it first, then remove the old one.
#[derive(Clone)]
pub struct SecretKeyring {
    secrets: Vec<Vec<u8>>,
}

impl SecretKeyring {
    /// Parses secrets separated by commas. Each needs at least [`MIN_SECRET_BYTES`] bytes.
    pub fn parse(text: &str) -> Result<Self, ProtocolError> {
        let secrets: Vec<Vec<u8>> = text.split(',').map(|s| s.trim().as_bytes().to_vec()).collect();
        if secrets.iter().any(|s| s.len() < MIN_SECRET_BYTES) {
            return Err(ProtocolError::SecretTooShort { min: MIN_SECRET_BYTES });
        }
        Ok(Self { secrets })
    }

    /// Returns the truncated HMAC-SHA-256 of the parts under the first secret.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        sign_with(&self.secrets[0], parts)
    }

    /// Returns the index of the secret that signed the parts, or `None` if none of them did.
    pub fn find_signer(&self, parts: &[&[u8]], mac: &[u8; MAC_BYTES]) -> Option<usize> {
        self.secrets.iter().position(|s| bool::from(sign_with(s, parts).ct_eq(mac)))
    }

    /// Signs the parts with the secret at `index`, so that a response can use the secret that its
    /// peer signed with. An index past the end stands for the last secret.
    pub fn sign_at(&self, index: usize, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        sign_with(&self.secrets[index.min(self.secrets.len() - 1)], parts)
    }

    /// Returns a datagram that holds the signature of the payload and then the payload.
    pub fn sign_datagram(&self, payload: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(MAC_BYTES + payload.len());
        datagram.extend_from_slice(&self.sign(&[payload]));
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Checks the signature of a datagram and returns its payload.
    pub fn verify_datagram<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], ProtocolError> {
        let Some((mac, payload)) = datagram.split_first_chunk::<MAC_BYTES>() else {
            return Err(ProtocolError::DatagramTooShort { bytes: datagram.len() });
        };
        match self.find_signer(&[payload], mac) {
            Some(_) => Ok(payload),
            None => Err(ProtocolError::BadSignature),
        }
    }
}

/// Computes the code of the parts. Each part is preceded by its length, so that moving bytes from
/// one part to the next changes the code.
fn sign_with(secret: &[u8], parts: &[&[u8]]) -> [u8; MAC_BYTES] {
    // HMAC takes keys of any length, so the fallback is never used.
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

/// Computes the digest under which a bundle lists an API key of a client account or an operator.
pub fn key_digest(key: &str) -> Digest {
    Digest::of_parts(&[b"mulberryshed-key", key.as_bytes()])
}
