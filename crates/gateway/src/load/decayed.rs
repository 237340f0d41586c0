//! A sum whose terms lose their weight over time.

use std::time::{Duration, Instant};

/// A sum whose terms decay exponentially.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decayed {
    value: f64,
    at: Instant,
}

impl Decayed {
    /// Creates a sum without terms.
    pub(super) fn new(now: Instant) -> Self {
        Self { value: 0.0, at: now }
    }

    /// The sum at `now`; a term loses 63 % of its weight in `period`.
    pub(super) fn get(&self, now: Instant, period: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / period.as_secs_f64()).exp()
    }

    /// Adds a term. `period` must be the same in all calls.
    pub(super) fn add(&mut self, now: Instant, period: Duration, term: f64) {
        self.value = self.get(now, period) + term;
        self.at = self.at.max(now);
    }
}
