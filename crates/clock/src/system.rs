//! The operating system's clock.

use std::time::{Instant, SystemTime};

use crate::Clock;

/// Reads the operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
