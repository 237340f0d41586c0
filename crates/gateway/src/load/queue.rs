//! Requests that wait until an upstream has room.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Share of its time that a request may wait once its answer can only be late.
const LATE_WAIT_SHARE: f64 = 0.5;

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Rank of the work; 0 is the most urgent.
    pub priority: u8,
    /// When it began to wait.
    pub since: Instant,
    /// When an answer loses most of its value.
    pub target: Instant,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// Time that an upstream needs for it.
    pub work: Duration,
}

impl Waiter {
    /// Whether it is worth to go on waiting: an answer can come before the deadline, and a late
    /// request has not spent most of its time already. Its caller does better to come back.
    #[must_use]
    pub fn is_hopeful(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        let whole = self.deadline.saturating_duration_since(self.since);
        let is_patient = !self.is_late(now) || waited < whole.mul_f64(LATE_WAIT_SHARE);
        is_patient && now + self.work < self.deadline
    }

    /// Whether an answer can't keep its full value any more.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.work > self.target
    }
}

/// Place in the queue: rank, whether the request is late, the newest first.
type Place = (u8, bool, Reverse<u64>);

/// Requests that wait, most urgent first. Within a rank those that can still be answered within
/// their target go first, and the newest of them before the others: in the order of arrival, a queue
/// that doesn't empty would make every request late.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<Place, Waiter>,
    serial: u64,
}

impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Requests that go before a new one of `priority`.
    #[must_use]
    pub fn ahead(&self, priority: u8) -> usize {
        self.waiters.range(..(priority, true, Reverse(u64::MAX))).count()
    }

    /// Adds a request; gives the number by which it is removed.
    pub fn push(&mut self, waiter: Waiter) -> u64 {
        self.serial += 1;
        self.waiters.insert((waiter.priority, false, Reverse(self.serial)), waiter);
        self.serial
    }

    /// Removes a request.
    pub fn remove(&mut self, priority: u8, serial: u64) -> Option<Waiter> {
        let place = |is_late| (priority, is_late, Reverse(serial));
        self.waiters.remove(&place(false)).or_else(|| self.waiters.remove(&place(true)))
    }

    /// The requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Waiter)> {
        self.waiters.iter().map(|((_, _, serial), it)| (serial.0, it))
    }

    /// Puts requests that have become late behind the others of their rank; removes and gives those
    /// that can't be answered before their deadline any more.
    pub fn tick(&mut self, now: Instant) -> Vec<u64> {
        let hopeless: Vec<_> =
            self.waiters.iter().filter(|(_, it)| !it.is_hopeful(now)).map(|(it, _)| *it).collect();
        self.waiters.retain(|it, _| !hopeless.contains(it));
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
        hopeless.into_iter().map(|(_, _, serial)| serial.0).collect()
    }
}
