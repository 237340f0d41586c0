//! Who a daemon is.

use std::net::SocketAddr;

use crate::{Address, Domain, Incarnation};

/// Who a daemon is, from its settings and its start; it never changes while the daemon lives.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Identity {
    /// Address for peers.
    pub address: Address,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Failure domain that the host stands in.
    pub domain: Domain,
    /// This life of the daemon.
    pub incarnation: Incarnation,
}
