//! Configuration published by operators: routes, services and limits on callers.

mod confirmation;
mod gap;
mod idempotence;
mod key_digest;
mod key_index;
mod knowledge;
mod limits;
mod role;
mod route;
mod table;
mod tenant;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

pub use confirmation::{BootTime, Confirmation};
pub use gap::Gap;
pub use idempotence::Idempotence;
pub use key_digest::KeyDigest;
pub use knowledge::Knowledge;
pub use limits::Limits;
pub use role::Role;
pub use route::{Part, Route};
pub use table::Table;
pub use tenant::Tenant;

/// Version of a configuration; it only increases.
pub type Version = u64;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a route.
pub type RouteId = Arc<str>;
/// Name of a tenant.
pub type TenantId = Arc<str>;
/// Name of a region.
pub type Region = Arc<str>;

/// A service as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, which upstreams put into their registrations.
    pub id: ServiceId,
    /// Path of the health check of its upstreams.
    pub health_path: String,
    /// Number of connections that one upstream accepts in total.
    pub connection_limit: u32,
    /// Time for which an upstream is cold after it starts.
    pub slow_start: Duration,
    /// Requests per second from all daemons together that a cold upstream tolerates; 0 if unlimited.
    pub warmup_per_s: f64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            id: ServiceId::from(""),
            health_path: "/".to_owned(),
            connection_limit: 0,
            slow_start: Duration::ZERO,
            warmup_per_s: 0.0,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; higher than that of every earlier configuration.
    pub version: Version,
    /// All services that routes may refer to.
    pub services: Vec<Service>,
    /// All routes.
    pub routes: Vec<Route>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Tenants, whose keys requests must carry; `None` if the configuration has none, and then
    /// requests need no key.
    pub tenants: Option<Vec<Tenant>>,
    /// Parts that could not be read.
    pub gaps: BTreeSet<Gap>,
    /// What was not understood and how it is treated, each with its place.
    pub findings: Vec<String>,
}

/// Timeout of a route that sets none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
