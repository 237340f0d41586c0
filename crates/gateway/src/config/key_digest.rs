//! Digests of tenants' keys.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Digest of a tenant's key. The key itself is not kept, so it can't appear in logs or dumps.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// First bytes of the digest, for an index. They say nothing about the key.
    #[must_use]
    pub(super) fn prefix(&self) -> [u8; 8] {
        self.0.first_chunk().copied().unwrap_or_default()
    }
}

impl Eq for KeyDigest {}

impl PartialEq for KeyDigest {
    /// Takes the same time wherever the digests differ.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest: a short key could be found from it by trial.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("KeyDigest")
    }
}
