//! A request that asks for a slot.

use std::time::{Duration, Instant};

use crate::{Caller, RankId, RequestId};

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id, unique among the requests that the gate holds.
    pub id: RequestId,
    /// Rank of the work.
    pub rank: RankId,
    /// Who asks; the callers of a rank are served fairly.
    pub caller: Caller,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Time that a backend server is expected to need, from dispatch to the whole answer.
    pub expected: Duration,
}

impl Request {
    /// The last moment at which a dispatch can still be answered in time.
    #[must_use]
    pub fn latest_start(&self) -> Option<Instant> {
        self.deadline.checked_sub(self.expected)
    }
}
