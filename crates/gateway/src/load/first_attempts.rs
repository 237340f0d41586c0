//! How long before its arrival the caller of a request made its first attempt.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::config::RouteId;

/// Weight of a new sample in a running mean. When a burst begins, the first callers refused by other
/// daemons arrive here among usual requests; with a weight of 0.02 they hid that limits are uniform.
const SAMPLE_WEIGHT: f64 = 0.005;
/// Time limits within this factor of the usual one count as equal.
const EQUAL_FACTOR: f64 = 0.97;
/// Share of requests with a shorter time limit from which callers of the route are assumed to set
/// limits of their own.
const MAX_SHORT_SHARE: f64 = 0.1;
/// Requests from which the usual time limit is known.
const MIN_REQUESTS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Limits {
    usual: Duration,
    short_share: f64,
    count: u32,
}

/// Usual time limits by route. A caller that comes back after a refusal states the time that it has
/// left, so the difference to the usual limit shows when it made its first attempt, from which its
/// target counts.
#[derive(Debug, Default)]
pub(super) struct FirstAttempts {
    routes: HashMap<RouteId, Limits>,
}

impl FirstAttempts {
    /// Records the time limit of a request that arrived while no caller had reason to come back.
    pub(super) fn record(&mut self, route: &RouteId, limit: Duration) {
        let it = self.routes.entry(route.clone()).or_default();
        it.count = it.count.saturating_add(1);
        let is_short = limit < it.usual.mul_f64(EQUAL_FACTOR);
        it.short_share += (f64::from(u8::from(is_short)) - it.short_share) * SAMPLE_WEIGHT;
        // Grows at once, and decays when no request has the longest limit any more.
        let weight = if limit > it.usual { 1.0 } else { SAMPLE_WEIGHT / 2.0 };
        it.usual = it.usual.mul_f64(1.0 - weight) + limit.mul_f64(weight);
    }

    /// When the first attempt of a request with the time limit `limit` was probably made.
    pub(super) fn at(&self, route: &str, received: Instant, limit: Duration) -> Instant {
        let Some(it) = self.routes.get(route) else { return received };
        let is_known = it.count >= MIN_REQUESTS && it.short_share < MAX_SHORT_SHARE;
        if !is_known || limit >= it.usual.mul_f64(EQUAL_FACTOR) {
            return received;
        }
        received.checked_sub(it.usual.saturating_sub(limit)).unwrap_or(received)
    }
}
