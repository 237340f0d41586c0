//! Tenants and their keys.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::TenantId;

/// Digest of a tenant's key. The key itself is not kept, so it can't appear in logs or dumps.
#[derive(Clone, Copy, Debug)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Eq for KeyDigest {}

impl PartialEq for KeyDigest {
    /// Takes the same time wherever the digests differ.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// A customer with keys, a priority and a quota of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, as passed on to upstreams.
    pub id: TenantId,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, which takes precedence over that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests per second from all daemons together; 0 if unlimited.
    pub rate_per_s: f64,
    /// Requests that it may send in addition, at once.
    pub burst: f64,
}
