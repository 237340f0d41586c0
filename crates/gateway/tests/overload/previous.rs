//! The order and the refusals before admission control: priority, then requests that can meet their
//! target before late ones, then newest first; refused on arrival if the expected wait exceeds half
//! of the time left.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use gateway::load::Waiter;

use super::Policy;

const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
const MAX_WAIT_SHARE: f64 = 0.5;
const SERVICE_TIME_MARGIN: f64 = 1.2;

/// The queue before admission control.
pub struct Previous {
    slots: f64,
    serial: u64,
    waiters: BTreeMap<u64, Waiter>,
}

impl Policy for Previous {
    fn new(slots: f64, _seed: u64) -> Self {
        Self { slots: slots.max(0.5), serial: 0, waiters: BTreeMap::new() }
    }

    /// Was an equal share.
    fn set_slots(&mut self, _slots: f64) {}

    fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    fn record_sent(&mut self, _now: Instant, _waiter: &Waiter) {}

    fn offer(&mut self, now: Instant, mut waiter: Waiter) -> Result<u64, Duration> {
        waiter.service_time = waiter.work.mul_f64(SERVICE_TIME_MARGIN);
        let ahead = self.waiters.values().filter(|it| it.priority <= waiter.priority).count();
        let wait = waiter.service_time.mul_f64(ahead as f64 / self.slots);
        if wait > waiter.time_left(now).mul_f64(MAX_WAIT_SHARE) {
            return Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        self.serial += 1;
        self.waiters.insert(self.serial, waiter);
        Ok(self.serial)
    }

    fn tick(&mut self, now: Instant) -> Vec<(u64, Duration)> {
        let expired: Vec<_> =
            self.waiters.iter().filter(|(_, it)| !it.is_viable(now)).map(|(it, _)| *it).collect();
        self.waiters.retain(|serial, _| !expired.contains(serial));
        expired.into_iter().map(|it| (it, MIN_RETRY_AFTER)).collect()
    }

    fn next(&mut self, now: Instant) -> Option<u64> {
        let position =
            |(serial, it): &(&u64, &Waiter)| (it.priority, it.is_late(now), Reverse(**serial));
        let serial = self.waiters.iter().min_by_key(position).map(|(serial, _)| *serial)?;
        self.waiters.remove(&serial);
        Some(serial)
    }
}
