//! The queue of the gateway.

use std::time::{Duration, Instant};

use gateway::load::{Overload, Queue, Waiter};

use super::Policy;

/// The queue of the gateway.
pub struct Current(Queue);

impl Policy for Current {
    fn new(slots: f64, seed: u64) -> Self {
        let mut queue = Queue::new(Overload::default(), seed);
        queue.set_slots(slots);
        Self(queue)
    }

    fn set_slots(&mut self, slots: f64) {
        self.0.set_slots(slots);
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn record_sent(&mut self, now: Instant, waiter: &Waiter) {
        self.0.record_sent(now, waiter);
    }

    fn offer(&mut self, now: Instant, waiter: Waiter) -> Result<u64, Duration> {
        self.0.offer(now, waiter).map_err(|it| it.retry_after)
    }

    fn tick(&mut self, now: Instant) -> Vec<(u64, Duration)> {
        self.0.tick(now).into_iter().map(|it| (it.serial, it.retry_after)).collect()
    }

    fn next(&mut self, now: Instant) -> Option<u64> {
        let (serial, _) = self.0.iter().next()?;
        self.0.grant(now, serial);
        Some(serial)
    }
}
