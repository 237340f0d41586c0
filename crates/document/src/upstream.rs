//! A backend server of a service.

use std::net::SocketAddr;

use crate::{Domain, ServiceId, UpstreamId};

/// A backend server of a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: Domain,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts from all entry hosts together.
    pub connections: u32,
}
