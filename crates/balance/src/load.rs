//! The other entry hosts' requests at an upstream, from its reports.

use crate::moment::{Moment, fade};

/// The part of an upstream's last report that is not one's own doing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    others: f64,
    at: Option<Moment>,
}

impl Load {
    /// Takes in a report of `total` requests, `own` of which are one's own.
    pub(crate) fn reported(&mut self, now: Moment, total: u32, own: usize) {
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.others = f64::from(total.saturating_sub(own));
        self.at = Some(now);
    }

    /// Others' requests in the last report.
    pub(crate) fn others(&self) -> f64 {
        self.others
    }

    /// Seconds since the last report, if there was one.
    pub(crate) fn age(&self, now: Moment) -> Option<f64> {
        self.at.map(|at| (now - at).max(0.0))
    }

    /// Weight of the last report against the service's mean.
    pub(crate) fn freshness(&self, now: Moment, memory: f64) -> f64 {
        self.age(now).map_or(0.0, |age| fade(age, memory))
    }
}
