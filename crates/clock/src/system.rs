//! The operating system's clock.

use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

use crate::Clock;

/// Reads the operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn since_boot(&self) -> Duration {
        // The clock never shows a negative time.
        Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
