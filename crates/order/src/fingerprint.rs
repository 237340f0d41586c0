//! Fingerprints of requests.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use xxhash_rust::xxh3::Xxh3;

/// A digest of method, target and body, which must be equal for all requests with the same key.
///
/// The digest must not depend on the host or the release, because it is stored in records of the
/// log.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the digest of a request.
    #[must_use]
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'a> Deserialize<'a> for Fingerprint {
    fn deserialize<D: Deserializer<'a>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        u128::from_str_radix(&text, 16).map(Self).map_err(D::Error::custom)
    }
}
