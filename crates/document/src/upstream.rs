//! A backend server of a service.

use std::net::{Ipv4Addr, SocketAddr};

use ini::Keys;

use crate::{Domain, ServiceId, UpstreamId, name};

/// Maximum number of slots of an upstream.
const MAX_SLOTS: u32 = 4_096;
/// Maximum number of connections to an upstream.
const MAX_CONNECTIONS: u32 = 65_535;

/// A backend server of a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: Domain,
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Maximum number of connections from all entry hosts together.
    pub connections: u32,
}

impl Upstream {
    pub(crate) fn read(id: UpstreamId, keys: &mut Keys<'_>) -> Self {
        keys.require(&["service", "address", "domain", "slots", "connections"]);
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            id,
            service: keys.read("service", name::check).unwrap_or_default(),
            address: keys.address("address").unwrap_or(unspecified),
            domain: keys.read("domain", name::check).unwrap_or_default(),
            slots: keys.number("slots", 1..=MAX_SLOTS, "requests").unwrap_or_default(),
            connections: keys
                .number("connections", 1..=MAX_CONNECTIONS, "connections")
                .unwrap_or_default(),
        }
    }
}
