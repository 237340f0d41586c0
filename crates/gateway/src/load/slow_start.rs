//! Limit on the requests to cold upstreams of a service.

use std::time::Duration;

/// Upper bound on the number of daemons that share the rate of one cold upstream. Each may hold one
/// request back and send it at any time, so together they exceed the rate by up to this many.
const MAX_SHARERS: usize = 4;
/// Part of the known daemons above which those in contact with each other may use the whole rate:
/// no second group can be as large.
const MAJORITY: f64 = 0.5;
/// Duration assumed for a slow start if the configuration sets none.
const DEFAULT_DURATION: Duration = Duration::from_secs(10);

/// How many requests the cold upstreams of a service tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Time for which an upstream is cold after it starts.
    pub duration: Duration,
    /// Requests per second from all daemons together; 0 if unlimited.
    pub warmup_per_s: f64,
    /// Requests per second that are still allowed, as a multiple of `warmup_per_s`.
    pub overshoot: f64,
    /// Requests that are allowed in addition in any second.
    pub slack: f64,
}

impl Default for SlowStart {
    fn default() -> Self {
        Self { duration: Duration::ZERO, warmup_per_s: 0.0, overshoot: 1.5, slack: 8.0 }
    }
}

impl SlowStart {
    /// Whether cold upstreams are limited.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.warmup_per_s > 0.0
    }

    /// Longest time for which an upstream counts as cold without a further statement.
    #[must_use]
    pub fn max_duration(&self) -> Duration {
        if self.duration.is_zero() { DEFAULT_DURATION } else { self.duration }
    }

    /// Number of daemons that share the rate of one cold upstream, and the rate of each, in a group
    /// of daemons that makes up the part `presence` of all known ones.
    ///
    /// Groups that are cut off from each other stay within the limit together. A majority uses the
    /// whole rate, a smaller group its part of it, and one too small for a single sharer nothing:
    /// then there are at most twice as many sharers as in a fleet without faults, and at most 1.5
    /// times the rate.
    #[must_use]
    pub fn shares(&self, presence: f64) -> (usize, f64) {
        let margin = self.warmup_per_s * (self.overshoot - 1.0) + self.slack;
        let mut all = MAX_SHARERS;
        while all > 1 && 2.0 * all as f64 > margin {
            all -= 1;
        }
        let count = all as f64;
        if presence > MAJORITY {
            return (all, self.warmup_per_s / count);
        }
        if presence * 2.0 * count < 1.0 {
            return (0, 0.0);
        }
        let mut sharers = all;
        while sharers > 1 && sharers as f64 > presence * count {
            sharers -= 1;
        }
        (sharers, self.warmup_per_s * presence / sharers as f64)
    }
}
