//! An upstream's service time, from answers and from requests still in flight.

use crate::moment::{Moment, fade};

/// Estimate of a mean time from complete and incomplete observations, which fade with time.
///
/// This is the estimate of greatest likelihood for an exponential time under right censoring: all
/// time spent waiting, divided by the answers that came. A request in flight adds its age and no
/// answer, so a stuck upstream looks slow before any answer comes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    spent: f64,
    answers: f64,
    at: Moment,
}

impl Speed {
    /// Takes in an answer that took `time` seconds of service.
    pub(crate) fn answered(&mut self, now: Moment, memory: f64, time: f64) {
        self.spent(now, memory, time);
        self.answers += 1.0;
    }

    /// Takes in `time` seconds that ended without an answer.
    pub(crate) fn spent(&mut self, now: Moment, memory: f64, time: f64) {
        let kept = fade(now - self.at, memory);
        self.spent = self.spent * kept + time;
        self.answers *= kept;
        self.at = self.at.max(now);
    }

    /// The estimate in seconds, given `prior` answers of `mean` seconds and `pending` seconds of
    /// requests still in flight.
    pub(crate) fn estimate(
        &self,
        now: Moment,
        memory: f64,
        prior: f64,
        mean: f64,
        pending: f64,
    ) -> f64 {
        let kept = fade(now - self.at, memory);
        let spent = prior * mean + self.spent * kept + pending;
        let answers = self.answers * kept + prior;
        if answers <= f64::EPSILON { mean } else { spent / answers }
    }
}
