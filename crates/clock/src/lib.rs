//! The clock as an interface, so that every decision can be replayed in a test.
//!
//! Code that decides takes `now` as an argument; code at the edge holds a [`Clock`].

mod manual;
mod system;

use std::time::{Instant, SystemTime};

pub use manual::Manual;
pub use system::System;

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and intervals.
    fn now(&self) -> Instant;

    /// Wall-clock time, for records that people read.
    fn wall(&self) -> SystemTime;
}
