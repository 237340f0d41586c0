//! Requests that wait until an upstream has room.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

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
    /// Whether an answer can still be in time if the request is sent at `now`.
    #[must_use]
    pub fn is_hopeful(&self, now: Instant) -> bool {
        now + self.work < self.deadline
    }

    /// Whether an answer can't keep its full value any more.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.work > self.target
    }
}

/// Place in the queue: rank, whether the request is late, order of arrival.
type Place = (u8, bool, u64);

/// Requests that wait, most urgent first. Within a rank those that can still be answered within
/// their target go first: in a flood, all would be late otherwise.
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
        self.waiters.range(..(priority, true, 0)).count()
    }

    /// Adds a request; gives the number by which it is removed.
    pub fn push(&mut self, waiter: Waiter) -> u64 {
        self.serial += 1;
        self.waiters.insert((waiter.priority, false, self.serial), waiter);
        self.serial
    }

    /// Removes a request.
    pub fn remove(&mut self, priority: u8, serial: u64) -> Option<Waiter> {
        let place = |is_late| (priority, is_late, serial);
        self.waiters.remove(&place(false)).or_else(|| self.waiters.remove(&place(true)))
    }

    /// The requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Waiter)> {
        self.waiters.iter().map(|((_, _, serial), it)| (*serial, it))
    }

    /// Puts requests that have become late behind the others of their rank; removes and gives those
    /// that can't be answered before their deadline any more.
    pub fn tick(&mut self, now: Instant) -> Vec<u64> {
        let hopeless: Vec<_> =
            self.waiters.iter().filter(|(_, it)| !it.is_hopeful(now)).map(|(it, _)| *it).collect();
        hopeless.iter().for_each(|it| drop(self.waiters.remove(it)));
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
        hopeless.into_iter().map(|(_, _, serial)| serial).collect()
    }
}
