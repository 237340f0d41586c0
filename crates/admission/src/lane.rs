//! One rank's share of a gate.

use std::time::{Duration, Instant};

use crate::{Counts, Rank, RankId, estimate::Estimate, queue::Queue, snapshot};

/// Time constant over which the use of slots is smoothed, in seconds.
const USAGE_WINDOW_S: f64 = 0.25;
/// Largest debt or claim on a fraction of a slot, in slot-seconds.
const CREDIT_LIMIT: f64 = 2.0;

/// One rank's queue, slots in use and claim on its floor.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) rank: RankId,
    pub(crate) order: u8,
    /// Whether the document still names the rank.
    pub(crate) is_current: bool,
    pub(crate) queue: Queue,
    pub(crate) in_flight: u32,
    pub(crate) service: Estimate,
    pub(crate) counts: Counts,
    floor_percent: u8,
    floor: f64,
    usage: f64,
    credit: f64,
    updated: Instant,
}

impl Lane {
    pub(crate) fn new(now: Instant, rank: &Rank, capacity: u32) -> Self {
        let mut lane = Self {
            rank: rank.id.clone(),
            order: rank.order,
            is_current: true,
            queue: Queue::default(),
            in_flight: 0,
            service: Estimate::default(),
            counts: Counts::default(),
            floor_percent: rank.floor_percent,
            floor: 0.0,
            usage: 0.0,
            credit: 0.0,
            updated: now,
        };
        lane.set_capacity(capacity);
        lane
    }

    /// Takes over a new definition of the rank; `None` if there is none any more.
    pub(crate) fn redefine(&mut self, rank: Option<&Rank>) {
        self.is_current = rank.is_some();
        self.order = rank.map_or(u8::MAX, |it| it.order);
        self.floor_percent = rank.map_or(0, |it| it.floor_percent);
    }

    pub(crate) fn set_capacity(&mut self, capacity: u32) {
        self.floor = f64::from(capacity) * f64::from(self.floor_percent) / 100.0;
    }

    /// Guaranteed slots, with their fraction.
    pub(crate) fn floor(&self) -> f64 {
        self.floor
    }

    /// Slots in use, smoothed over time.
    pub(crate) fn usage(&self) -> f64 {
        self.usage
    }

    /// Unused slots that the lane is likely to need soon: recent use and its spread, up to `share`
    /// of the floor.
    pub(crate) fn unused_reserve(&self, share: f64) -> f64 {
        let likely = self.usage + 2.0 * self.usage.sqrt() + 1.0;
        (likely.min(self.floor * share) - f64::from(self.in_flight)).max(0.0)
    }

    /// Guaranteed slots that the lane has work for.
    pub(crate) fn claimed_floor(&self) -> f64 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let demand = f64::from(self.in_flight) + f64::from(queued);
        self.floor.min(demand)
    }

    /// Whether the next slot is the lane's own by its floor.
    ///
    /// A fraction of a slot is granted whenever the lane has used less than it until now.
    pub(crate) fn is_below_floor(&self) -> bool {
        let in_flight = f64::from(self.in_flight);
        if in_flight + 1.0 <= self.floor {
            return true;
        }
        in_flight < self.floor && self.credit >= 0.0
    }

    /// Brings usage and credit up to `now`; `contended` says whether another lane has a backlog.
    pub(crate) fn advance(&mut self, now: Instant, contended: bool) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated = now;
        let in_flight = f64::from(self.in_flight);
        self.usage += (in_flight - self.usage) * elapsed / (elapsed + USAGE_WINDOW_S);
        let fraction = self.floor.fract();
        if in_flight <= self.floor.trunc() {
            self.credit += fraction * elapsed;
        } else if contended {
            self.credit -= (1.0 - fraction) * elapsed;
        }
        let most = if self.queue.is_empty() { 0.0 } else { CREDIT_LIMIT };
        self.credit = self.credit.clamp(-CREDIT_LIMIT, most);
    }

    /// Mean service time in seconds, or `prior` before the first answer.
    pub(crate) fn service_seconds(&self, prior: Duration) -> f64 {
        self.service.seconds_or(prior)
    }

    pub(crate) fn snapshot(&self) -> snapshot::Lane {
        snapshot::Lane {
            rank: self.rank.clone(),
            floor_slots: self.floor,
            queued: self.queue.len(),
            in_flight: self.in_flight,
            counts: self.counts,
        }
    }
}
