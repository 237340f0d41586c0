//! Datagram about the requests of tenants.

use crate::{load::HostKey, rate::Demand};

/// Maximum number of tenants in a datagram, at most 18 bytes for each.
const TENANTS_PER_DATAGRAM: usize = 70;

/// Requests of tenants at the sender.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TenantDemands {
    /// Key of the sender's incarnation.
    pub host: HostKey,
    /// Time since the sender started, in milliseconds.
    pub age_ms: u32,
    /// Number that grows with each report of the incarnation.
    pub serial: u32,
    /// Tenants with recent requests.
    pub demands: Vec<Demand>,
}

impl TenantDemands {
    /// Splits a report into datagrams; at least one, which says that the sender runs.
    #[must_use]
    pub fn split(host: HostKey, age_ms: u32, serial: u32, demands: &[Demand]) -> Vec<Self> {
        let new = |demands: &[Demand]| Self { host, age_ms, serial, demands: demands.to_vec() };
        if demands.is_empty() {
            return vec![new(&[])];
        }
        demands.chunks(TENANTS_PER_DATAGRAM).map(new).collect()
    }
}
