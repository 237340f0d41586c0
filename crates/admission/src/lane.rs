//! The state of one rank at a gate.

use std::time::{Duration, Instant};

use crate::{Counts, Rank, RankId, estimate::Estimate, queue::Queue, snapshot};

/// Time constant of the mean slot usage, in seconds.
const USAGE_DECAY_S: f64 = 0.25;
/// Bound on the credit for a fraction of a slot, in either direction, in slot-seconds.
const CREDIT_LIMIT_SLOT_S: f64 = 2.0;

/// One rank's queue, slots in use and credit towards its floor.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) rank: RankId,
    pub(crate) order: u8,
    /// Whether the rank is still configured.
    pub(crate) is_current: bool,
    pub(crate) queue: Queue,
    pub(crate) in_flight: u32,
    pub(crate) service_time: Estimate,
    pub(crate) counts: Counts,
    floor_percent: u8,
    /// Guaranteed slots, with their fraction.
    floor: f64,
    usage: f64,
    /// Unused part of the fractional floor slot, in slot-seconds; negative if overused.
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
            service_time: Estimate::default(),
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

    /// Applies a new definition of the rank; `None` if the rank is no longer configured.
    pub(crate) fn update_rank(&mut self, rank: Option<&Rank>) {
        self.is_current = rank.is_some();
        self.order = rank.map_or(u8::MAX, |it| it.order);
        self.floor_percent = rank.map_or(0, |it| it.floor_percent);
    }

    pub(crate) fn set_capacity(&mut self, capacity: u32) {
        self.floor = f64::from(capacity) * f64::from(self.floor_percent) / 100.0;
    }

    /// Guaranteed slots; may be a fraction.
    pub(crate) fn floor(&self) -> f64 {
        self.floor
    }

    /// Moving average of the slots in use.
    pub(crate) fn usage(&self) -> f64 {
        self.usage
    }

    /// Unused slots that the lane is likely to need soon, estimated from the mean and the variance
    /// of its recent usage, up to `share` of the floor.
    pub(crate) fn unused_reserve(&self, share: f64) -> f64 {
        let likely = self.usage + 2.0 * self.usage.sqrt() + 1.0;
        (likely.min(self.floor * share) - f64::from(self.in_flight)).max(0.0)
    }

    /// Guaranteed slots that the lane has requests for.
    pub(crate) fn claimed_floor(&self) -> f64 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let demand = f64::from(self.in_flight) + f64::from(queued);
        self.floor.min(demand)
    }

    /// Whether the lane's floor entitles it to another slot.
    ///
    /// For the fractional part of its floor, the lane is entitled to a slot as long as its average
    /// usage of that part has been below the fraction.
    pub(crate) fn is_below_floor(&self) -> bool {
        let in_flight = f64::from(self.in_flight);
        if in_flight + 1.0 <= self.floor {
            return true;
        }
        in_flight < self.floor && self.credit >= 0.0
    }

    /// Updates usage and credit to `now`; `contended` is whether another lane has a backlog.
    pub(crate) fn advance(&mut self, now: Instant, contended: bool) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated = now;
        let in_flight = f64::from(self.in_flight);
        self.usage += (in_flight - self.usage) * elapsed / (elapsed + USAGE_DECAY_S);
        let fraction = self.floor.fract();
        if in_flight <= self.floor.trunc() {
            self.credit += fraction * elapsed;
        } else if contended {
            self.credit -= (1.0 - fraction) * elapsed;
        }
        let max_credit = if self.queue.is_empty() { 0.0 } else { CREDIT_LIMIT_SLOT_S };
        self.credit = self.credit.clamp(-CREDIT_LIMIT_SLOT_S, max_credit);
    }

    /// Mean service time in seconds, or `prior` before the first answer.
    pub(crate) fn service_time_s(&self, prior: Duration) -> f64 {
        self.service_time.seconds_or(prior)
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
