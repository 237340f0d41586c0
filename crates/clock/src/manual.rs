//! A clock that only advances by explicit calls.

use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

use crate::Clock;

/// A clock for tests and simulations; its monotonic time starts at its creation and its wall-clock
/// time at the Unix epoch.
#[derive(Debug)]
pub struct Manual {
    origin: Instant,
    elapsed: Mutex<Duration>,
}

impl Default for Manual {
    fn default() -> Self {
        Self { origin: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }
}

impl Manual {
    /// Moves the clock forward by `step`.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while holding the lock.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("clock lock") += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock")
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
