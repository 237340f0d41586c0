//! An entry of the host list.

use std::net::SocketAddr;

/// One host in the platform's list.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Entry {
    /// Address at which the host serves.
    pub address: SocketAddr,
    /// State of the host.
    pub state: State,
}

/// State of a host according to the platform.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host serves.
    Live,
    /// The host is leaving and must get no new requests.
    Leaving,
}
