//! Request ids, which are unique in the fleet.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

/// Identifies one start of a daemon; drawn at random at each start.
pub type Incarnation = u64;

/// Identifies a request within the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Request {
    /// Incarnation that accepted the request.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub number: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.number)
    }
}

/// Generates request ids.
#[derive(Debug)]
pub struct Source {
    incarnation: Incarnation,
    next: AtomicU64,
}

impl Source {
    /// Creates a source for one incarnation; the first id has number 1.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, next: AtomicU64::new(1) }
    }

    /// Returns the incarnation of the ids.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the next id.
    pub fn next(&self) -> Request {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        Request { incarnation: self.incarnation, number }
    }
}
