//! Backoff between attempts.

use std::time::Duration;

/// Exponential backoff with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    limit: Duration,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff whose maximum wait doubles from `base` up to `limit`.
    #[must_use]
    pub fn new(base: Duration, limit: Duration, rng: fastrand::Rng) -> Self {
        Self { base, limit, failures: 0, rng }
    }

    /// Counts a failure and returns how long to wait before the next attempt.
    ///
    /// The wait is random between half of the current bound and the bound, so that it is never zero
    /// and clients don't retry simultaneously.
    pub fn failed(&mut self) -> Duration {
        let bound = self.base.saturating_mul(2_u32.saturating_pow(self.failures)).min(self.limit);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(0.5 + 0.5 * self.rng.f64())
    }

    /// Resets to the shortest wait after a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
