//! Tenants.

use super::{KeyDigest, TenantId};

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
