//! Load of a backend server.

use std::fmt;

/// Load of a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of requests in slots.
    pub in_flight: usize,
    /// Number of requests that wait for a slot.
    pub queued: usize,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "in_flight={}, queued={}", self.in_flight, self.queued)
    }
}
