//! The decision on a request for a slot.

use std::time::Duration;

use crate::RequestId;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// At the measured service rate the answer would arrive after the deadline.
    Deadline,
    /// The queue is full, and no other caller has more requests in it.
    QueueFull,
    /// The rank isn't configured.
    UnknownRank,
    /// The gate already holds a request of this id.
    DuplicateId,
}

/// A refusal; the request was never dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the same request would be accepted at the current service rate.
    pub retry_after: Duration,
}

/// A waiting request that was displaced by one of a caller with fewer waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Displacement {
    /// The displaced request; it was never dispatched.
    pub id: RequestId,
    /// Time after which the same request would be accepted at the current service rate.
    pub retry_after: Duration,
}

/// The decision on a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request holds a slot and may be dispatched.
    Admitted,
    /// The request waits; a later [`Event`](crate::Event) admits it or lets it expire.
    Queued {
        /// The request that was displaced to make room.
        displaced: Option<Displacement>,
    },
    /// The request is refused.
    Refused(Refusal),
}
