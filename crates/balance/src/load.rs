//! The other entry hosts' requests at an upstream, from its reports.

use crate::moment::{Moment, decay};

/// The part of the load in an upstream's last report that this host did not cause.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    others: f64,
    reported_at: Option<Moment>,
}

impl Load {
    /// Records a report of `total` requests, `own` of which this host sent.
    pub(crate) fn reported(&mut self, now: Moment, total: u32, own: usize) {
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.others = f64::from(total.saturating_sub(own));
        self.reported_at = Some(now);
    }

    /// Other hosts' requests in the last report.
    pub(crate) fn others(&self) -> f64 {
        self.others
    }

    /// Seconds since the last report, if there was one.
    pub(crate) fn age(&self, now: Moment) -> Option<f64> {
        self.reported_at.map(|at| (now - at).max(0.0))
    }

    /// Weight of the last report relative to the service's mean, from 0 to 1.
    pub(crate) fn freshness(&self, now: Moment, time_constant: f64) -> f64 {
        self.age(now).map_or(0.0, |age| decay(age, time_constant))
    }
}
