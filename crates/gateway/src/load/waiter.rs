//! A request that waits for free capacity.

use std::time::{Duration, Instant};

use crate::config::{RouteId, TenantId};

/// Share of its time limit that a request may wait once its answer can no longer meet the target.
const LATE_WAIT_SHARE: f64 = 0.5;

/// A waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Route of the request.
    pub route: RouteId,
    /// Tenant whose key the request carries, if any.
    pub tenant: Option<TenantId>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// When it was read.
    pub received: Instant,
    /// When it was queued.
    pub since: Instant,
    /// Time within which an answer has its full value, as configured for the route.
    pub target_latency: Duration,
    /// Time after which an answer has lost most of its value.
    pub target: Instant,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// Time that its caller had left when the request was read, at most the limit of the route. The
    /// deadline may be sooner, because the daemon leaves.
    pub time_limit: Duration,
    /// Service time within which an upstream probably answers.
    pub service_time: Duration,
    /// Mean time for which it occupies a slot of an upstream.
    pub work: Duration,
}

impl Waiter {
    /// Whether the request should stay queued: it can still be answered before its deadline and, if
    /// it is late, has not yet waited for [`LATE_WAIT_SHARE`] of its time. After that the caller
    /// does better to retry.
    #[must_use]
    pub fn is_viable(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        let whole = self.deadline.saturating_duration_since(self.since);
        let may_wait = !self.is_late(now) || waited < whole.mul_f64(LATE_WAIT_SHARE);
        may_wait && now + self.service_time < self.deadline
    }

    /// Whether an answer can no longer meet the target.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.service_time > self.target
    }

    /// Time from `now` until the request must be sent in order to meet its target.
    #[must_use]
    pub fn slack(&self, now: Instant) -> Duration {
        self.target.saturating_duration_since(now).saturating_sub(self.service_time)
    }

    /// Time from `now` until the request must be sent in order to be answered before its deadline.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now).saturating_sub(self.service_time)
    }
}
