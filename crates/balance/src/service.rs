//! What is known of a service as a whole.

use crate::{
    Settings,
    moment::{Moment, blend, fade},
    speed::Speed,
};

/// Time constant of the mean service time, in seconds.
const SERVICE_MEMORY_S: f64 = 10.0;
/// Answers' worth of weight that the initial service time has.
const INITIAL_WEIGHT: f64 = 1.0;
/// Weight of the newest report in the mean load.
const REPORT_WEIGHT: f64 = 0.05;
/// Time constant with which the mean load is forgotten without reports, in seconds.
const LOAD_MEMORY_S: f64 = 0.25;

/// Means over all upstreams of a service at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Means {
    /// Service time in seconds.
    pub(crate) service_time: f64,
    /// Others' requests for each slot.
    pub(crate) others_per_slot: f64,
}

/// What is known of a service as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Service {
    speed: Speed,
    others_per_slot: f64,
    reported_at: Moment,
}

impl Service {
    /// Takes in an answer that took `time` seconds of service.
    pub(crate) fn answered(&mut self, now: Moment, time: f64) {
        self.speed.answered(now, SERVICE_MEMORY_S, time);
    }

    /// Takes in a report of others' requests for each slot of one upstream.
    pub(crate) fn reported(&mut self, now: Moment, others_per_slot: f64) {
        let mean = self.others_per_slot(now);
        self.others_per_slot = blend(mean, others_per_slot, REPORT_WEIGHT);
        self.reported_at = now;
    }

    /// The means at `now`.
    pub(crate) fn means(&self, now: Moment, settings: &Settings) -> Means {
        let initial = settings.initial_service_time.as_secs_f64();
        let service_time = self.speed.estimate(now, SERVICE_MEMORY_S, INITIAL_WEIGHT, initial, 0.0);
        Means { service_time, others_per_slot: self.others_per_slot(now) }
    }

    fn others_per_slot(&self, now: Moment) -> f64 {
        self.others_per_slot * fade(now - self.reported_at, LOAD_MEMORY_S)
    }
}
