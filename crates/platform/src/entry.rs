//! One line of the host list.

use std::net::SocketAddr;

/// One host in the platform's list.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Entry {
    /// Address at which the host serves.
    pub address: SocketAddr,
    /// What the platform says of it.
    pub state: State,
}

/// What the platform says of a host.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is meant to serve.
    Live,
    /// The host will go and must get nothing new.
    Leaving,
}
