//! A clock that moves only when told to.

use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

use crate::Clock;

/// A clock for tests and simulations; it starts at the moment of its creation.
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
    /// Panics if another thread panicked while it moved the clock.
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

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
