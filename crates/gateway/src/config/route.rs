//! A route from a host name and a path to services.

use std::time::Duration;

use super::{DEFAULT_TIMEOUT, Idempotence, Region, RouteId, ServiceId};

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The service.
    pub service: ServiceId,
    /// Weight of the service relative to the others of the route.
    pub weight: u32,
}

/// Maps a host name and a path prefix to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix ending with a slash; the longest matching prefix wins.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub idempotence: Idempotence,
    /// Time limit from the receipt of a request to its final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value for the caller.
    pub target_latency: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams to which one request may be sent.
    pub attempt_limit: u32,
    /// Services that answer, with their weights; at least one.
    pub parts: Vec<Part>,
    /// Whether requests need no key although the configuration has tenants.
    pub is_public: bool,
    /// Regions whose upstreams and hosts may serve the route; empty if all may.
    pub homes: Vec<Region>,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            id: RouteId::from(""),
            host: String::new(),
            prefix: "/".to_owned(),
            idempotence: Idempotence::NonIdempotent,
            timeout: DEFAULT_TIMEOUT,
            target_latency: DEFAULT_TIMEOUT,
            priority: 0,
            attempt_limit: 1,
            parts: Vec::new(),
            is_public: false,
            homes: Vec::new(),
        }
    }
}
