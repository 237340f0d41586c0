//! Parameters of admission control.

use std::time::Duration;

/// Parameters of the decision which requests wait, and which are refused, when capacity is
/// insufficient.
#[derive(Clone, Debug, PartialEq)]
pub struct Overload {
    /// Share of the target latency from which the expected wait of a priority counts as long. Below
    /// it, the newest requests go first; from it on, requests are ordered by cost and refused if
    /// they would be late.
    pub long_wait_share: f64,
    /// Share of the target latency for which a request that is refused may be held at no cost to the
    /// caller.
    pub free_hold_share: f64,
    /// Share of the time left that a request may be expected to wait when there is no overload.
    pub max_wait_share: f64,
    /// Factor on the expected wait when it is compared with what is left until the target while more
    /// work arrives than is given slots.
    pub wait_margin: f64,
    /// Share of the overall service rate below which a route's or a tenant's requests go first. The
    /// callers' bound is a quarter; the difference covers what one daemon does not see.
    pub floor: f64,
    /// Factor by which a tenant may exceed its share of the slots before its requests go behind
    /// those of others.
    pub tenant_tolerance: f64,
    /// Shortest `Retry-After`.
    pub min_retry_after: Duration,
    /// Longest `Retry-After`.
    pub max_retry_after: Duration,
    /// Share of the time left that `Retry-After` may take; callers honour up to a third.
    pub retry_share: f64,
    /// Share of the time until a request must be sent to meet its target that `Retry-After` may
    /// take; the rest is for the wait on return.
    pub in_time_retry_share: f64,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            long_wait_share: 0.125,
            free_hold_share: 0.125,
            max_wait_share: 0.5,
            wait_margin: 2.0,
            floor: 0.4,
            tenant_tolerance: 1.25,
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(2),
            retry_share: 0.3,
            in_time_retry_share: 0.4,
        }
    }
}
