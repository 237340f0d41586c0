//! A tenant's requests at one daemon, as sent to peers.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a tenant's name.
pub type TenantKey = u32;

/// A tenant's requests at one daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// Hash of the tenant's name. If two tenants have the same, each is charged for both.
    pub tenant: TenantKey,
    /// Requests admitted in the last window.
    pub spent: u32,
    /// Requests admitted in the last window by daemons that have fallen silent, as far as they have
    /// said.
    pub silent: u32,
    /// Requests that arrived in the last second, including refused ones.
    pub rate: u32,
}

/// Hash of a tenant's name.
#[must_use]
pub fn tenant_key(id: &str) -> TenantKey {
    // Any 32 bits of the hash are equally good.
    #[expect(clippy::cast_possible_truncation)]
    let res = xxh3_64(id.as_bytes()) as u32;
    res
}
