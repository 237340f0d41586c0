//! What operators have decided: routes, services and limits on callers.

mod kind;
mod limits;
mod route;
mod table;

use std::{sync::Arc, time::Duration};

pub use kind::Kind;
pub use limits::Limits;
pub use route::{Part, Route};
pub use table::Table;

/// Version of a configuration; it only grows.
pub type Version = u64;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a route.
pub type RouteId = Arc<str>;

/// A service as the operators describe it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name, which upstreams give when they register.
    pub id: ServiceId,
    /// Path of an upstream's own health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all callers together.
    pub connection_limit: u32,
}

/// One whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version, larger than that of every earlier configuration.
    pub version: Version,
    /// Every service that a route may name.
    pub services: Vec<Service>,
    /// Routes of all host names.
    pub routes: Vec<Route>,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// Time that a route without a timeout may take.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
