//! Rate at which the queue of a service gets capacity.

use std::time::{Duration, Instant};

/// Time over which observations lose their weight.
const PERIOD_S: f64 = 1.0;
/// Time for which the assumed rate counts as observed.
const ASSUMED_S: f64 = 0.5;

/// Rate at which waiting requests are given slots, in seconds of work per second; that is the number
/// of slots that this daemon's queue gets of those that all daemons share.
///
/// Only times with a backlog count: otherwise the rate shows the demand.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    work_s: f64,
    time_s: f64,
    backlogged_at: Option<Instant>,
}

impl Drain {
    /// Accounts for the time up to `now`; `is_backlogged` says whether requests wait from now on.
    pub(super) fn advance(&mut self, now: Instant, is_backlogged: bool) {
        if let Some(at) = self.backlogged_at {
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            let weight = (-elapsed / PERIOD_S).exp();
            self.work_s *= weight;
            self.time_s = self.time_s * weight + PERIOD_S * (1.0 - weight);
        }
        self.backlogged_at = is_backlogged.then_some(now);
    }

    /// Records that a waiting request was given a slot.
    pub(super) fn record(&mut self, work: Duration) {
        self.work_s += work.as_secs_f64();
    }

    /// The rate; `assumed` is the rate to expect without observations.
    pub(super) fn rate(&self, assumed: f64) -> f64 {
        (self.work_s + assumed * ASSUMED_S) / (self.time_s + ASSUMED_S)
    }
}
