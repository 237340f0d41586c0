//! A daemon that serves requests.

use std::time::{Duration, Instant};

use super::Leaving;

/// A daemon that serves requests and is listed in the directions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ready;

impl Ready {
    /// Starts to leave; from now on the daemon is not listed in directions.
    ///
    /// `lifetime` is the time for which callers may use directions that they already have.
    #[must_use]
    pub fn leave(self, now: Instant, lifetime: Duration) -> Leaving {
        Leaving::new(now + lifetime)
    }
}
