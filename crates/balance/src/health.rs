//! Failures of an upstream and its ejection.

use crate::{
    Settings,
    moment::{Moment, decay, lerp},
};

/// Weight of the latest attempt in the failure share.
const NEWEST_WEIGHT: f64 = 0.2;
/// Ejections after which the duration no longer doubles.
const MAX_DOUBLINGS: u32 = 10;

/// Failures of an upstream and its ejection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failure_share: f64,
    observed_at: Moment,
    consecutive: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
}

impl Health {
    /// Records a successful answer.
    pub(crate) fn succeeded(&mut self, now: Moment, settings: &Settings) {
        self.observe(now, settings, 0.0);
        self.consecutive = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    /// Records a failure.
    pub(crate) fn failed(&mut self, now: Moment, settings: &Settings) {
        self.observe(now, settings, 1.0);
        self.consecutive = self.consecutive.saturating_add(1);
    }

    /// Expected share of failing attempts.
    pub(crate) fn failure_share(&self, now: Moment, settings: &Settings) -> f64 {
        if self.failure_share == 0.0 {
            return 0.0;
        }
        self.failure_share * decay(now - self.observed_at, settings.failure_decay.as_secs_f64())
    }

    /// Whether the consecutive failures suffice for an ejection.
    pub(crate) fn is_failing(&self, settings: &Settings) -> bool {
        self.consecutive >= settings.eject_after
    }

    /// Whether the upstream is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether an ejection has ended and no attempt has succeeded since.
    pub(crate) fn is_half_open(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Ejects the upstream, each time for twice as long up to the maximum.
    pub(crate) fn eject(&mut self, now: Moment, settings: &Settings) {
        let factor = f64::from(1_u32 << self.ejections.min(MAX_DOUBLINGS));
        let time = settings.base_ejection_time.as_secs_f64() * factor;
        self.ejected_until = Some(now + time.min(settings.max_ejection_time.as_secs_f64()));
        self.ejections = self.ejections.saturating_add(1);
    }

    fn observe(&mut self, now: Moment, settings: &Settings, failure: f64) {
        let past = self.failure_share(now, settings);
        self.failure_share = lerp(past, failure, NEWEST_WEIGHT);
        self.observed_at = self.observed_at.max(now);
    }
}
