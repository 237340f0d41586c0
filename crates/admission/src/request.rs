//! A request that asks for a slot.

use std::time::{Duration, Instant};

use crate::{Caller, RankId, RequestId};

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id, unique among the requests that the gate holds.
    pub id: RequestId,
    /// Rank of the request.
    pub rank: RankId,
    /// Caller; the callers of a rank are served fairly.
    pub caller: Caller,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Expected time from dispatch to the whole answer of the backend server.
    pub expected: Duration,
}

impl Request {
    /// Latest time of dispatch at which the request can still be answered in time.
    #[must_use]
    pub fn latest_start(&self) -> Option<Instant> {
        self.deadline.checked_sub(self.expected)
    }
}
