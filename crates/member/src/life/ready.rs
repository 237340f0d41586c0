//! A daemon that serves.

use std::time::{Duration, Instant};

use super::Leaving;

/// A daemon that serves and stands in the directions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ready;

impl Ready {
    /// The daemon is to leave: from now on it is in no directions.
    ///
    /// `lifetime` is how long callers may keep directions that they already have.
    #[must_use]
    pub fn leave(self, now: Instant, lifetime: Duration) -> Leaving {
        Leaving::new(now + lifetime)
    }
}
