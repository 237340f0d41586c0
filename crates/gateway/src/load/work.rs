//! Time that the requests of a route need at an upstream.

use std::time::Duration;

/// Weight of a new sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Share of the answers that take at most the high quantile.
const HIGH_SHARE: f64 = 0.9;
/// Step of the quantile's estimate, as a share of the mean.
const QUANTILE_STEP: f64 = 0.1;
/// Factor of the mean that covers most of the variation; upper bound on the high quantile used for
/// decisions.
const MAX_LIKELY_FACTOR: f64 = 1.2;
/// Lower bound on the high quantile used for decisions, as a factor of the mean. With a rare but
/// long tail, the mean lies above the quantile.
const MIN_LIKELY_FACTOR: f64 = 0.7;

/// Running estimate of the time that a route's requests need at an upstream of normal pace.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    mean_s: f64,
    high_s: f64,
}

impl Work {
    /// Creates an estimate from a first sample or an assumption.
    #[must_use]
    pub fn new(first: Duration) -> Self {
        let first = first.as_secs_f64();
        Self { mean_s: first, high_s: first * MAX_LIKELY_FACTOR }
    }

    /// Records the time that an answer took, in seconds.
    pub fn record(&mut self, sample_s: f64) {
        self.mean_s += (sample_s - self.mean_s) * SAMPLE_WEIGHT;
        // Each step moves the estimate by the share of samples that should lie on the other side, so
        // that it settles where that share does.
        let step = self.mean_s * QUANTILE_STEP;
        let is_above = sample_s > self.high_s;
        self.high_s += if is_above { step * HIGH_SHARE } else { -step * (1.0 - HIGH_SHARE) };
        self.high_s = self.high_s.max(0.0);
    }

    /// Mean time, which is what a request costs of an upstream's capacity.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Time within which about nine of ten requests are answered, for the question whether one can
    /// still meet its target.
    #[must_use]
    pub fn likely(&self) -> Duration {
        let (min, max) = (self.mean_s * MIN_LIKELY_FACTOR, self.mean_s * MAX_LIKELY_FACTOR);
        Duration::from_secs_f64(self.high_s.clamp(min, max))
    }
}
