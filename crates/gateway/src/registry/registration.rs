//! What one upstream says of itself.

use std::{net::SocketAddr, time::Duration};

use super::{Domain, UpstreamId};
use crate::config::ServiceId;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Leaves soon and takes none.
    Leaving,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Registration {
    /// Id under which the upstream registered.
    pub id: UpstreamId,
    /// Unix time of its start in milliseconds; tells incarnations with the same id apart.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Domain,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it works slowly after its start.
    pub cold_for: Duration,
}

impl Registration {
    /// Whether `other` is the same incarnation.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms == other.born_ms && self.address == other.address
    }
}
