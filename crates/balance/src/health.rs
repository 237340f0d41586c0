//! Failures of an upstream and its ejection.

use crate::{
    Settings,
    moment::{Moment, blend, fade},
};

/// Weight of the newest attempt in the failure share.
const NEWEST_WEIGHT: f64 = 0.2;
/// Ejections after which the duration no longer doubles.
const MOST_DOUBLINGS: u32 = 10;

/// Failures of an upstream and its ejection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    share: f64,
    at: Moment,
    in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
}

impl Health {
    /// Takes in a good answer.
    pub(crate) fn succeeded(&mut self, now: Moment, settings: &Settings) {
        self.observe(now, settings, 0.0);
        self.in_a_row = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    /// Takes in a failure.
    pub(crate) fn failed(&mut self, now: Moment, settings: &Settings) {
        self.observe(now, settings, 1.0);
        self.in_a_row = self.in_a_row.saturating_add(1);
    }

    /// Share of attempts that is expected to fail.
    pub(crate) fn failure_share(&self, now: Moment, settings: &Settings) -> f64 {
        if self.share == 0.0 {
            return 0.0;
        }
        self.share * fade(now - self.at, settings.failure_memory.as_secs_f64())
    }

    /// Whether the upstream has failed often enough in a row to be ejected.
    pub(crate) fn is_failing(&self, settings: &Settings) -> bool {
        self.in_a_row >= settings.eject_after
    }

    /// Whether the upstream is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether an ejection has ended and no good answer has come since.
    pub(crate) fn is_on_trial(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Ejects the upstream, for longer each time.
    pub(crate) fn eject(&mut self, now: Moment, settings: &Settings) {
        let factor = f64::from(1_u32 << self.ejections.min(MOST_DOUBLINGS));
        let time = settings.eject_for.as_secs_f64() * factor;
        self.ejected_until = Some(now + time.min(settings.eject_at_most.as_secs_f64()));
        self.ejections = self.ejections.saturating_add(1);
    }

    fn observe(&mut self, now: Moment, settings: &Settings, failure: f64) {
        let past = self.failure_share(now, settings);
        self.share = blend(past, failure, NEWEST_WEIGHT);
        self.at = self.at.max(now);
    }
}
