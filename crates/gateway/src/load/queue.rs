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
}

/// Requests that wait, most urgent first and in the order of their arrival within a rank.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<(u8, u64), Waiter>,
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
        self.waiters.range(..=(priority, u64::MAX)).count()
    }

    /// Adds a request; gives the number by which it is removed.
    pub fn push(&mut self, waiter: Waiter) -> u64 {
        self.serial += 1;
        self.waiters.insert((waiter.priority, self.serial), waiter);
        self.serial
    }

    /// Removes a request.
    pub fn remove(&mut self, priority: u8, serial: u64) -> Option<Waiter> {
        self.waiters.remove(&(priority, serial))
    }

    /// The request that is next.
    #[must_use]
    pub fn first(&self) -> Option<(u64, &Waiter)> {
        self.waiters.first_key_value().map(|((_, serial), it)| (*serial, it))
    }

    /// Removes and gives the requests that can't be answered in time any more.
    pub fn hopeless(&mut self, now: Instant) -> Vec<u64> {
        let late: Vec<_> =
            self.waiters.iter().filter(|(_, it)| !it.is_hopeful(now)).map(|(it, _)| *it).collect();
        late.iter().for_each(|it| drop(self.waiters.remove(it)));
        late.into_iter().map(|(_, serial)| serial).collect()
    }
}
