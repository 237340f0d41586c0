//! Configuration published by operators: routes, services and limits on callers.

mod idempotence;
mod limits;
mod role;
mod route;
mod table;

use std::{sync::Arc, time::Duration};

pub use idempotence::Idempotence;
pub use limits::Limits;
pub use role::Role;
pub use route::{Part, Route};
pub use table::Table;

/// Version of a configuration; it only increases.
pub type Version = u64;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a route.
pub type RouteId = Arc<str>;

/// A service as configured.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name, which upstreams put into their registrations.
    pub id: ServiceId,
    /// Path of the health check of its upstreams.
    pub health_path: String,
    /// Number of connections that one upstream accepts in total.
    pub connection_limit: u32,
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
}

/// Timeout of a route that sets none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
