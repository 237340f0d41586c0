//! Recent service of one route or tenant.

use std::time::{Duration, Instant};

use super::decayed::Decayed;

/// Time over which served and refused requests lose their weight.
pub(super) const SERVICE_PERIOD: Duration = Duration::from_secs(4);
/// Time over which work that was given slots loses its weight.
pub(super) const USE_PERIOD: Duration = Duration::from_secs(2);
/// Time over which arriving work loses its weight.
pub(super) const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Time over which usual demand loses its weight.
pub(super) const USUAL_PERIOD: Duration = Duration::from_mins(1);
/// Weight of recent requests below which an account is not judged.
pub(super) const MIN_REQUESTS: f64 = 3.0;

/// Recent service of one name.
#[derive(Clone, Copy, Debug)]
pub(super) struct Account {
    /// Requests that were sent.
    pub(super) served: Decayed,
    /// Requests that were sent or refused.
    pub(super) settled: Decayed,
    /// Work that was given slots, in seconds.
    pub(super) used_s: Decayed,
    /// Work that arrived, in seconds.
    pub(super) demand_s: Decayed,
    /// Work that arrived while there was no overload, in seconds.
    pub(super) usual_s: Decayed,
}

impl Account {
    /// Creates an account without any service.
    pub(super) fn new(now: Instant) -> Self {
        let empty = Decayed::new(now);
        Self { served: empty, settled: empty, used_s: empty, demand_s: empty, usual_s: empty }
    }

    /// Records that a request was sent or refused.
    pub(super) fn settle(&mut self, now: Instant, is_served: bool, work_s: f64) {
        self.settled.add(now, SERVICE_PERIOD, 1.0);
        if is_served {
            self.served.add(now, SERVICE_PERIOD, 1.0);
            self.used_s.add(now, USE_PERIOD, work_s);
        }
    }

    /// Share of the recent requests that were served, if there were enough of them.
    pub(super) fn served_share(&self, now: Instant) -> Option<f64> {
        let settled = self.settled.get(now, SERVICE_PERIOD);
        (settled >= MIN_REQUESTS).then(|| self.served.get(now, SERVICE_PERIOD) / settled)
    }
}
