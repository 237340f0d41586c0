//! Time source as a trait, so that tests can control time and replay decisions.
//!
//! Decision logic takes `now` as an argument; code that does I/O holds a [`Clock`].

mod manual;
mod system;

use std::time::{Duration, Instant, SystemTime};

pub use manual::Manual;
pub use system::System;

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and intervals.
    fn now(&self) -> Instant;

    /// Time since boot, including suspension, which [`Self::now`] leaves out. For the age of what
    /// others have said.
    fn since_boot(&self) -> Duration;

    /// Wall-clock time, for timestamps in logs and records.
    fn wall(&self) -> SystemTime;
}
