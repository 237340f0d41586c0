//! Speed of a transfer.

use std::time::{Duration, Instant};

/// Time over which the speed is averaged.
const PERIOD: Duration = Duration::from_secs(1);

/// Measures the speed of a transfer as an average that recent bytes dominate.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    rate: f64,
    updated: Instant,
    progress: Instant,
}

impl Meter {
    /// Starts at a speed of 0.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { rate: 0.0, updated: now, progress: now }
    }

    /// Records bytes that were transferred.
    pub fn record(&mut self, now: Instant, bytes: usize) {
        self.rate = self.rate(now) + bytes as f64 / PERIOD.as_secs_f64();
        self.updated = now;
        self.progress = now;
    }

    /// Keeps the speed as it is, since the transfer is held up on this side.
    pub fn hold(&mut self, now: Instant) {
        self.updated = now;
        self.progress = now;
    }

    /// Bytes per second.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-elapsed / PERIOD.as_secs_f64()).exp()
    }

    /// Time since the last progress.
    #[must_use]
    pub fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progress)
    }
}
