//! The configurations that have been published.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Times at which the store acknowledged the configurations, the one of version 1 first.
#[derive(Default)]
pub(crate) struct Publications(Mutex<Vec<Instant>>);

impl Publications {
    /// Records that the store has acknowledged the next configuration.
    pub(crate) fn record(&self) {
        self.times().push(Instant::now());
    }

    /// Version of the newest configuration, 0 before the first.
    pub(crate) fn newest(&self) -> u64 {
        self.times().len() as u64
    }

    /// Version of the newest configuration that has been published longer ago than `limit`.
    pub(crate) fn settled(&self, limit: Duration) -> u64 {
        let times = self.times();
        let count = times.iter().filter(|it| it.elapsed() > limit).count() as u64;
        // No daemon can have an older one than the first.
        count.max(1)
    }

    fn times(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
