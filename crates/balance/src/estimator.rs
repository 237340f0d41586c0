//! Estimates a mean service time from answers and from requests still in flight.

use crate::moment::{Moment, decay};

/// Estimate of a mean time from complete and incomplete observations, with exponential decay.
///
/// This is the maximum likelihood estimate for an exponential distribution under right censoring:
/// the total time of all requests, divided by the number of answers. A request in flight adds its
/// age and no answer, so the estimate for a stuck upstream rises before any answer is received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimator {
    total_s: f64,
    answers: f64,
    updated_at: Moment,
}

impl Estimator {
    /// Records an answer with a service time of `time` seconds.
    pub(crate) fn observe_complete(&mut self, now: Moment, time_constant: f64, time: f64) {
        self.observe_censored(now, time_constant, time);
        self.answers += 1.0;
    }

    /// Records a request that ended without an answer after `time` seconds.
    pub(crate) fn observe_censored(&mut self, now: Moment, time_constant: f64, time: f64) {
        let kept = decay(now - self.updated_at, time_constant);
        self.total_s = self.total_s * kept + time;
        self.answers *= kept;
        self.updated_at = self.updated_at.max(now);
    }

    /// The estimate in seconds, with a prior of `prior` answers of `mean` seconds, and with
    /// `pending` seconds spent so far on requests still in flight.
    pub(crate) fn estimate(
        &self,
        now: Moment,
        time_constant: f64,
        prior: f64,
        mean: f64,
        pending: f64,
    ) -> f64 {
        let kept = decay(now - self.updated_at, time_constant);
        let total_s = prior * mean + self.total_s * kept + pending;
        let answers = self.answers * kept + prior;
        if answers <= f64::EPSILON { mean } else { total_s / answers }
    }
}
