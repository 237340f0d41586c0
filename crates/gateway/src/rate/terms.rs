//! Terms of the quotas.

use std::time::Duration;

/// What all daemons together may exceed a quota by, and over which time it is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share by which the requests in one window may exceed the quota.
    pub overshoot: f64,
    /// Requests by which they may exceed it in addition.
    pub slack: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 }
    }
}

impl Terms {
    /// Requests that a quota covers in one window.
    #[must_use]
    pub fn quota(&self, rate_per_s: f64, burst: f64) -> f64 {
        rate_per_s * self.window.as_secs_f64() + burst.max(0.0)
    }

    /// Requests that may run in one window.
    #[must_use]
    pub fn limit(&self, rate_per_s: f64, burst: f64) -> f64 {
        self.quota(rate_per_s, burst) * (1.0 + self.overshoot) + self.slack
    }
}
