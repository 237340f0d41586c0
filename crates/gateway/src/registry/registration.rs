//! Registration of an upstream.

use std::{net::SocketAddr, time::Duration};

use super::{Domain, Revision, UpstreamId};
use crate::config::ServiceId;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Leaves soon and accepts no new requests.
    Leaving,
}

/// Registration that an upstream writes to the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Registration {
    /// Id under which the upstream registered.
    pub id: UpstreamId,
    /// Unix time of its start in milliseconds; distinguishes incarnations with the same id.
    pub born_ms: u64,
    /// Number of this write, counted from its start.
    pub seq: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Domain,
    /// Requests that it can process at a time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Remaining duration of its slow start.
    pub cold_for: Duration,
}

impl Registration {
    /// Age of the registration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision { born_ms: self.born_ms, seq: self.seq }
    }

    /// Whether `other` is the same incarnation.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms == other.born_ms && self.address == other.address
    }
}
