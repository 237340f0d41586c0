//! A route from a request to a service.

use std::time::Duration;

use ini::Keys;

use crate::{RankId, RouteId, ServiceId, name};

/// Methods allowed in routes.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Shortest deadline of a route.
const MIN_DEADLINE: Duration = Duration::from_millis(1);
/// Longest deadline of a route.
const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Deadline of a route without the key `deadline`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

/// Sends requests of one method and path prefix to a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// HTTP method in capitals; `HEAD` requests also match routes of `GET`.
    pub method: String,
    /// Path prefix; the longest matching prefix wins.
    pub path: String,
    /// Service that handles the requests.
    pub service: ServiceId,
    /// Rank of the requests.
    pub rank: RankId,
    /// Whether requests are idempotent.
    pub idempotent: bool,
    /// Whether a non-idempotent request without an idempotency key is dispatched at most once (`true`)
    /// or refused (`false`).
    pub allow_unkeyed: bool,
    /// Time from acceptance to the answer, after which the request times out.
    pub deadline: Duration,
}

impl Route {
    pub(crate) fn read(id: RouteId, keys: &mut Keys<'_>) -> Self {
        keys.require(&["path", "service", "rank"]);
        let method = keys.one_of("method", &METHODS).unwrap_or("GET").to_owned();
        let is_safe = matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS");
        Self {
            id,
            path: keys.path("path").unwrap_or_default().to_owned(),
            service: keys.read("service", name::check).unwrap_or_default(),
            rank: keys.read("rank", name::check).unwrap_or_default(),
            idempotent: keys.flag("idempotent").unwrap_or(is_safe),
            allow_unkeyed: keys.flag("allow_unkeyed").unwrap_or(false),
            deadline: keys
                .duration("deadline", MIN_DEADLINE..=MAX_DEADLINE)
                .unwrap_or(DEFAULT_DEADLINE),
            method,
        }
    }
}
