//! A route from a request to a service.

use std::time::Duration;

use crate::{RankId, RouteId, ServiceId};

/// Sends requests of one method and path prefix to a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// HTTP method in capitals; `HEAD` requests also match routes of `GET`.
    pub method: String,
    /// Path prefix; the longest matching prefix wins.
    pub path: String,
    /// Service that answers.
    pub service: ServiceId,
    /// Rank of the work.
    pub rank: RankId,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Whether a non-idempotent request without a key is dispatched at most once without one
    /// (`true`) or refused (`false`).
    pub allow_unkeyed: bool,
    /// Time from acceptance to the answer, after which the request is given up.
    pub deadline: Duration,
}
