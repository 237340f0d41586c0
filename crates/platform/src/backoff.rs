//! Waiting times between attempts.

use std::time::Duration;

/// Exponential backoff with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    limit: Duration,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff whose longest wait doubles from `base` up to `limit`.
    #[must_use]
    pub fn new(base: Duration, limit: Duration, rng: fastrand::Rng) -> Self {
        Self { base, limit, failures: 0, rng }
    }

    /// Counts a failure and returns how long to wait before the next attempt.
    ///
    /// The wait lies between half of the present bound and the bound, so that it is never zero and
    /// many clients do not return at the same instant.
    pub fn failed(&mut self) -> Duration {
        let bound = self.base.saturating_mul(2_u32.saturating_pow(self.failures)).min(self.limit);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(0.5 + 0.5 * self.rng.f64())
    }

    /// Starts again from the shortest wait, after a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
