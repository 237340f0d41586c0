//! Estimates for a service as a whole.

use crate::{
    Settings,
    estimator::Estimator,
    moment::{Moment, decay, lerp},
};

/// Time constant of the mean service time, in seconds.
const SERVICE_TIME_DECAY_S: f64 = 10.0;
/// Weight of the initial service time, in answers.
const INITIAL_WEIGHT: f64 = 1.0;
/// Weight of the newest report in the mean load.
const REPORT_WEIGHT: f64 = 0.05;
/// Time constant with which the mean load decays without reports, in seconds.
const LOAD_DECAY_S: f64 = 0.25;

/// Means over all upstreams of a service at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Means {
    /// Service time, in seconds.
    pub(crate) service_time: f64,
    /// Other hosts' requests per slot.
    pub(crate) others_per_slot: f64,
}

/// Estimates for a service as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Service {
    estimator: Estimator,
    others_per_slot: f64,
    reported_at: Moment,
}

impl Service {
    /// Records an answer with a service time of `time` seconds.
    pub(crate) fn answered(&mut self, now: Moment, time: f64) {
        self.estimator.observe_complete(now, SERVICE_TIME_DECAY_S, time);
    }

    /// Records a report of other hosts' requests per slot of one upstream.
    pub(crate) fn reported(&mut self, now: Moment, others_per_slot: f64) {
        let mean = self.others_per_slot(now);
        self.others_per_slot = lerp(mean, others_per_slot, REPORT_WEIGHT);
        self.reported_at = now;
    }

    /// The means at `now`.
    pub(crate) fn means(&self, now: Moment, settings: &Settings) -> Means {
        let initial = settings.initial_service_time.as_secs_f64();
        let service_time =
            self.estimator.estimate(now, SERVICE_TIME_DECAY_S, INITIAL_WEIGHT, initial, 0.0);
        Means { service_time, others_per_slot: self.others_per_slot(now) }
    }

    fn others_per_slot(&self, now: Moment) -> f64 {
        self.others_per_slot * decay(now - self.reported_at, LOAD_DECAY_S)
    }
}
