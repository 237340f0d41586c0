//! A moving average of durations.

use std::time::Duration;

/// Inverse of a new sample's weight.
const SMOOTHING: f64 = 16.0;

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    seconds: Option<f64>,
}

impl Estimate {
    pub(crate) fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.seconds = Some(match self.seconds {
            Some(mean) => mean + (sample - mean) / SMOOTHING,
            None => sample,
        });
    }

    /// The average in seconds, or `prior` before the first sample.
    pub(crate) fn seconds_or(self, prior: Duration) -> f64 {
        self.seconds.unwrap_or(prior.as_secs_f64())
    }
}
