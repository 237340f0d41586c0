//! Requests that wait until an upstream has free capacity.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Share of its time limit that a request may wait once its answer can no longer meet the target.
const LATE_WAIT_SHARE: f64 = 0.5;

/// A waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// When it was queued.
    pub since: Instant,
    /// Time after which an answer has lost most of its value.
    pub target: Instant,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// Service time that an upstream needs for it.
    pub service_time: Duration,
}

impl Waiter {
    /// Whether the request should stay queued: it can still be answered before its deadline and, if
    /// it is late, has not yet waited for [`LATE_WAIT_SHARE`] of its time. After that the caller
    /// does better to retry.
    #[must_use]
    pub fn is_viable(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        let whole = self.deadline.saturating_duration_since(self.since);
        let may_wait = !self.is_late(now) || waited < whole.mul_f64(LATE_WAIT_SHARE);
        may_wait && now + self.service_time < self.deadline
    }

    /// Whether an answer can no longer meet the target.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.service_time > self.target
    }
}

/// Position in the queue: priority, whether the request is late, newest first.
type Position = (u8, bool, Reverse<u64>);

/// Waiting requests, most urgent first.
///
/// Within a priority, requests that can still meet their target go first, the newest of them before
/// older ones. Served in order of arrival, a queue that does not drain would make every request
/// late.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<Position, Waiter>,
    serial: u64,
}

impl Queue {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Number of requests that would be served before a new one of `priority`.
    #[must_use]
    pub fn ahead(&self, priority: u8) -> usize {
        self.waiters.range(..(priority, true, Reverse(u64::MAX))).count()
    }

    /// Adds a request; returns the serial by which it can be removed.
    pub fn push(&mut self, waiter: Waiter) -> u64 {
        self.serial += 1;
        self.waiters.insert((waiter.priority, false, Reverse(self.serial)), waiter);
        self.serial
    }

    /// Removes a request.
    pub fn remove(&mut self, priority: u8, serial: u64) -> Option<Waiter> {
        let position = |is_late| (priority, is_late, Reverse(serial));
        self.waiters.remove(&position(false)).or_else(|| self.waiters.remove(&position(true)))
    }

    /// The requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Waiter)> {
        self.waiters.iter().map(|((_, _, serial), it)| (serial.0, it))
    }

    /// Moves requests that have become late behind the others of their priority. Removes those that
    /// can no longer be answered in time and returns their serials.
    pub fn tick(&mut self, now: Instant) -> Vec<u64> {
        let expired: Vec<_> =
            self.waiters.iter().filter(|(_, it)| !it.is_viable(now)).map(|(it, _)| *it).collect();
        self.waiters.retain(|it, _| !expired.contains(it));
        let late: Vec<_> = self
            .waiters
            .iter()
            .filter(|((_, is_late, _), it)| !is_late && it.is_late(now))
            .map(|(it, _)| *it)
            .collect();
        for (priority, is_late, serial) in late {
            if let Some(it) = self.waiters.remove(&(priority, is_late, serial)) {
                self.waiters.insert((priority, true, serial), it);
            }
        }
        expired.into_iter().map(|(_, _, serial)| serial.0).collect()
    }
}
