//! The answer to a request for a slot.

use std::time::Duration;

use crate::RequestId;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// At the measured service rate the answer would come after the deadline.
    Deadline,
    /// The queue is full, and no other caller holds more of it.
    QueueFull,
    /// The rank isn't known.
    UnknownRank,
    /// The gate already holds a request of this id.
    DuplicateId,
}

/// A refusal; the request was never dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the same request would be let in at the present rate.
    pub retry_after: Duration,
}

/// A waiting request that lost its place to one of a caller with fewer waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Displacement {
    /// The request that lost its place; it was never dispatched.
    pub id: RequestId,
    /// Time after which the same request would be let in at the present rate.
    pub retry_after: Duration,
}

/// The answer to a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request holds a slot and may be dispatched.
    Admitted,
    /// The request waits; an [`Event`](crate::Event) says what becomes of it.
    Queued {
        /// The request that had to go to make room.
        displaced: Option<Displacement>,
    },
    /// The request isn't let in.
    Refused(Refusal),
}
