//! Identity of a daemon.

use std::net::SocketAddr;

use crate::{Address, Domain, Incarnation};

/// Identity of a daemon, from its settings and its start; it doesn't change while the daemon runs.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Identity {
    /// Address for peers.
    pub address: Address,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}
