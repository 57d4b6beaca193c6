//! Digests of keys.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Length of a digest, in bytes.
const DIGEST_SIZE: usize = 16;
/// Separates these digests from others of the same bytes.
const CONTEXT: &[u8] = b"wisteria team key";

/// Digest of a key: tells keys apart without holding them.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_SIZE]);

impl KeyDigest {
    /// Digest of a key, as a caller sends it.
    pub fn of(key: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(CONTEXT);
        hasher.update(key);
        let digest = hasher.finalize();
        let mut bytes = [0; DIGEST_SIZE];
        bytes.copy_from_slice(&digest[..DIGEST_SIZE]);
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes no part of the digest: those of guessable keys would give them away.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
